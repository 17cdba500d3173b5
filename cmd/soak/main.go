// Command soak runs soak tests: it starts a fleet of real processes on loopback,
// injects random faults under load, and checks the guarantees against what callers
// and upstreams observed. It exits with status 2 if a guarantee was violated.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/internal/soak/reporter"
	"github.com/auburnnotch/auburnnotch/internal/soak/soaker"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
)

type arguments struct {
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the first soak; the same seed gives the same faults"`
	Seeds       int           `arg:"--seeds" default:"1" help:"how many soaks, with seeds that follow each other"`
	Fresh       bool          `arg:"--fresh" help:"begin with a seed drawn from the time"`
	Regressions bool          `arg:"--regressions" help:"run the seeds that have failed before"`
	Length      time.Duration `arg:"--length" default:"16s" help:"of the traffic of a soak, without the recovery"`
	Nodes       int           `arg:"--nodes" default:"5"`
	Plain       int           `arg:"--plain" default:"3" help:"back ends of each plain service"`
	Engines     int           `arg:"--engines" default:"5"`
	Callers     int           `arg:"--callers" default:"24"`
	Jobs        int           `arg:"--jobs" default:"2" help:"soaks at a time"`
	Program     string        `arg:"--program" help:"the auburnnotch program (default: built from this directory)"`
	Dir         string        `arg:"--dir" help:"for logs, plots and settings (default: a new one)"`
}

func main() {
	var a arguments
	p := arg.MustParse(&a)
	if a.Seeds < 1 || a.Nodes < 2 || a.Plain < 1 || a.Engines < 1 || a.Callers < 1 || a.Jobs < 1 || a.Length < 10*time.Second {
		p.Fail("--seeds, --plain, --engines, --callers and --jobs are 1 or more, --nodes 2 or more, --length 10s or more")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed, err := run(ctx, &a)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
	if failed {
		os.Exit(2) // a guarantee was violated
	}
}

func run(ctx context.Context, a *arguments) (failed bool, err error) {
	if a.Dir == "" {
		if a.Dir, err = os.MkdirTemp("", "soak"); err != nil {
			return false, errors.Trace(err)
		}
	}
	if a.Program == "" {
		a.Program = filepath.Join(a.Dir, "auburnnotch")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", a.Program, ".").CombinedOutput(); err != nil {
			return false, errors.Annotatef(err, "build auburnnotch: %s", out)
		}
	}
	seeds := a.seeds()
	results := make([]reporter.Result, len(seeds))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(a.Jobs)
	for i, seed := range seeds {
		g.Go(func() (err error) {
			results[i], err = a.runSoak(ctx, seed, i)
			return errors.Annotatef(err, "seed %d", seed)
		})
	}
	if err := g.Wait(); err != nil {
		return false, err
	}
	for i := range results {
		failed = failed || results[i].Failed()
	}
	if err := reporter.New(os.Stdout).Table(results); err != nil {
		return failed, errors.Trace(err)
	}
	fmt.Println("logs and plots:", a.Dir)
	return failed, nil
}

// seeds returns the seeds of all soaks to run.
func (a *arguments) seeds() []uint64 {
	if a.Regressions {
		return regressions()
	}
	first := a.Seed
	if a.Fresh {
		first = uint64(time.Now().Unix())
	}
	var out []uint64
	for i := range a.Seeds {
		out = append(out, first+uint64(i))
	}
	return out
}

// runSoak runs one soak, checks its history and draws its plot. The index i selects
// its network, so that soaks of this process that run at the same time use
// different ones.
func (a *arguments) runSoak(ctx context.Context, seed uint64, i int) (reporter.Result, error) {
	dir := filepath.Join(a.Dir, fmt.Sprint("seed-", seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return reporter.Result{}, errors.Trace(err)
	}
	out, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		return reporter.Result{}, errors.Trace(err)
	}
	defer out.Close()
	log := logrus.New()
	log.SetOutput(out)
	s := soaker.Settings{
		Program: a.Program, Dir: dir, Network: network(i), Seed: seed, Length: a.Length,
		Nodes: a.Nodes, PlainBackEnds: a.Plain, Engines: a.Engines, Callers: a.Callers,
	}
	plan := planner.New(seed, planner.Options{
		Nodes: a.Nodes, Upstreams: 2*a.Plain + a.Engines, Keys: soaker.KeyCount, PlainRoutes: soaker.PlainRoutes, StreamRoutes: soaker.StreamRoutes, Length: a.Length,
	}).Plan()
	o := reporter.Result{Seed: seed, Plan: plan, StartedAt: time.Now()}
	if o.History, o.Problems, err = soaker.New(s, systemclock.New(), log).Run(ctx, plan); err != nil {
		return o, err
	}
	o.Violations = checker.New(soaker.Bounds()).Check(o.History)
	for _, v := range o.Violations {
		log.WithFields(logrus.Fields{"event": "broken", "rule": v.Rule, "request": v.Request}).Error(v.Detail)
	}
	plot, err := os.Create(filepath.Join(dir, "plot.svg"))
	if err != nil {
		return o, errors.Trace(err)
	}
	defer plot.Close()
	reporter.New(plot).Plot(&o)
	return o, nil
}

// network returns the first three bytes of a loopback network that no other soak on
// the machine is likely to use.
func network(i int) string {
	return fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, i%250)
}
