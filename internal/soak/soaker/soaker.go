package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/soak/judge"
	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/standin/operator"
)

// Settings describes a soak.
type Settings struct {
	Program string
	// Dir takes the settings and logs of the nodes.
	Dir string
	// Net is the loopback network of the nodes, such as 127.20.1.
	Net     string
	Seed    uint64
	Length  time.Duration
	Nodes   int
	Plain   int // back ends of each of the two plain services
	Engines int
	Callers int
}

// The bounds that the nodes are given, in the users' sheets' figures.
const (
	revoke    = 5 * time.Second
	grace     = 8 * time.Second
	orderGap  = 3 * time.Second
	weights   = 12 * time.Second
	entryKeep = 5 * time.Second
)

// Bounds returns what the promises are checked against.
func Bounds() judge.Bounds {
	return judge.Bounds{
		Contact: 3 * time.Second, Revoke: revoke, Config: 2 * time.Second, Regress: 250 * time.Millisecond,
		Drain: 2 * time.Second, Lease: orderGap, Thaw: 300 * time.Millisecond, Recover: 12 * time.Second, Grace: grace,
		Slack: 200 * time.Millisecond,
	}
}

const (
	// tick is how often the soak looks whether the machine lets it run.
	tick = 20 * time.Millisecond
	// stall is the delay of a tick that counts as a disturbance of all nodes: the
	// machine has no processor for them either.
	stall = 100 * time.Millisecond
	// start bounds the time in which the fleet is ready.
	start = 10 * time.Second
	// farewell is the time for the last answers and for runs that come late.
	farewell = 2 * time.Second
)

// Soaker runs one soak.
type Soaker struct {
	set   Settings
	clk   clock.Clock
	log   logrus.FieldLogger
	store *metastore.Store
	ops   *operator.Operator
	nodes []*node
	slots []*slot
	acts  *errgroup.Group // what follows faults

	mu       sync.Mutex
	history  judge.History
	runs     map[runKey]int // index in history.Runs
	problems []string       // broken promises that are none of a request
	version  uint64         // of the configuration
	weights  int
	moved    bool
	names    int // of upstreams
}

type runKey struct{ id, upstream string }

// New returns a Soaker.
func New(s Settings, clk clock.Clock, log logrus.FieldLogger) *Soaker {
	store := metastore.New(clk)
	return &Soaker{
		set: s, clk: clk, log: log, store: store, ops: operator.New(store), runs: map[runKey]int{}, weights: 1,
		history: judge.History{Taken: map[string]time.Time{}, Left: map[string]time.Time{}, Moving: prefixMoving},
	}
}

// Run runs the fleet under the faults of the plan, and returns what was seen
// and the problems that are none of a request.
func (s *Soaker) Run(ctx context.Context, plan []planner.Step) (*judge.History, []string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	background, ctx := errgroup.WithContext(ctx)
	defer func() { cancel(); _ = background.Wait() }() // its error ends ctx, which is reported below
	defer s.kill()
	if err := s.open(ctx, background); err != nil {
		return nil, nil, err
	}
	if err := s.ready(ctx); err != nil {
		return nil, nil, err
	}
	began := s.clk.Now()
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	callers, _ := errgroup.WithContext(traffic)
	for i := range 2 * s.set.Callers { // the second half asks for long streams
		rnd := rand.New(rand.NewPCG(s.set.Seed, uint64(i)))
		callers.Go(func() error { s.call(traffic, i, rnd); return nil })
	}
	s.acts, _ = errgroup.WithContext(ctx)
	for _, step := range plan {
		if !clock.Sleep(ctx, s.clk, began.Add(step.At).Sub(s.clk.Now())) {
			break
		}
		s.log.WithFields(logrus.Fields{"event": "fault", "atMs": step.At.Milliseconds(), "fault": fmt.Sprintf("%T%+v", step.Fault, step.Fault)}).Info("a fault strikes")
		s.strike(ctx, step.Fault)
	}
	_ = s.acts.Wait() // the goroutines return no errors
	s.mu.Lock()
	s.history.Quiet = s.clk.Now()
	s.mu.Unlock()
	clock.Sleep(ctx, s.clk, began.Add(s.set.Length).Sub(s.clk.Now()))
	s.recover(ctx)
	stopTraffic()
	_ = callers.Wait() // the goroutines return no errors
	clock.Sleep(ctx, s.clk, farewell)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.End = s.clk.Now()
	h := s.history
	return &h, s.problems, errors.Trace(context.Cause(ctx))
}

const (
	// shown is the time over which recovery is looked at.
	shown = 2 * time.Second
	// wellShare is the part of the requests that is served once all is well; one
	// that is reached sooner than the bound ends the soak.
	wellShare = 0.9
)

// recover lets the traffic go on until all is well, or until the time to recover
// has passed and shows how much is served.
func (s *Soaker) recover(ctx context.Context) {
	until := s.clk.Now().Add(Bounds().Recover + shown)
	for s.clk.Now().Before(until) && clock.Sleep(ctx, s.clk, shown) && s.served(shown) < wellShare {
	}
}

// served returns the part of the latest requests that is served.
func (s *Soaker) served(last time.Duration) float64 {
	since := s.clk.Now().Add(-last)
	s.mu.Lock()
	defer s.mu.Unlock()
	asked, served := 0, 0
	for i := range s.history.Requests {
		r := &s.history.Requests[i]
		if _, taken := s.history.Taken[r.Key]; r.SentAt.Before(since) || taken {
			continue
		}
		asked++
		if r.Status == http.StatusOK && r.Whole {
			served++
		}
	}
	return float64(served) / float64(max(1, asked))
}

// open starts the stand-ins and the nodes.
func (s *Soaker) open(ctx context.Context, g *errgroup.Group) error {
	if err := s.configure(); err != nil {
		return err
	}
	if err := s.ops.Announce(model, s.weights); err != nil {
		return errors.Trace(err)
	}
	for i := range 2*s.set.Plain + s.set.Engines {
		sl, err := s.newSlot(ctx, g, i)
		if err != nil {
			return err
		}
		s.slots = append(s.slots, sl)
	}
	g.Go(func() error { s.beat(ctx); return nil })
	g.Go(func() error { s.watchMachine(ctx); return nil })
	for i := range s.set.Nodes {
		n, err := s.newNode(ctx, g, i, filepath.Join(s.set.Dir, fmt.Sprint("node-", i)))
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// ready waits until all nodes can serve.
func (s *Soaker) ready(ctx context.Context) error {
	until := s.clk.Now().Add(start)
	for _, n := range s.nodes {
		for !n.ready() {
			if s.clk.Now().After(until) || !clock.Sleep(ctx, s.clk, tick) {
				return errors.Timeoutf("start of %s; its log is %s.log", n.name, n.path)
			}
		}
	}
	return nil
}

// watchMachine notes when the machine doesn't let the soak run.
func (s *Soaker) watchMachine(ctx context.Context) {
	last := s.clk.Now()
	for clock.Sleep(ctx, s.clk, tick) {
		now := s.clk.Now()
		if now.Sub(last) > stall {
			s.disturb(judge.Disturbance{Node: -1, From: last, To: now})
			s.log.WithFields(logrus.Fields{"event": "stall", "ms": now.Sub(last).Milliseconds()}).Warn("the machine didn't let the soak run")
		}
		last = now
	}
}

func (s *Soaker) disturb(d judge.Disturbance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Disturbances = append(s.history.Disturbances, d)
}

// problem notes a broken promise that is none of a request.
func (s *Soaker) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}
