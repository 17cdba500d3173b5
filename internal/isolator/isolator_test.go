package isolator_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/isolator"
	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/member"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

const fingerprint quarantiner.Fingerprint = 500

// fleet is a group of nodes whose messages take random times.
type fleet struct {
	t     *testing.T
	nodes []*node
	delay time.Duration // at most, of each message

	mu   sync.Mutex
	rnd  *rand.Rand
	down map[string]error // by address: the error of exchanges
	live []member.Info
	// asked is the address of the last arbiter that was asked.
	asked string
	bg    errgroup.Group
}

type node struct {
	*scheduler.Scheduler
	*isolator.Isolator
	fleet *fleet
	self  member.Info
}

func newFleet(t *testing.T, seed uint64, nodes, engines int, delay time.Duration) *fleet {
	t.Helper()
	f := &fleet{t: t, rnd: rand.New(rand.NewPCG(seed, 1)), delay: delay, down: map[string]error{}}
	var list []router.Engine
	for i := range engines {
		list = append(list, router.Engine{ID: fmt.Sprint("e", i), Pool: "p", Slots: 64})
	}
	clk := systemclock.New()
	ctx, cancel := context.WithCancel(context.Background())
	var running errgroup.Group
	for i := range nodes {
		name := fmt.Sprint("n", i)
		n := &node{fleet: f, self: member.Info{Name: name, Address: name, BootID: 1, State: member.Alive}}
		n.Scheduler = scheduler.New(clk, 64, rand.New(rand.NewPCG(seed, uint64(i))))
		n.Isolator = isolator.New(clk, f, n, n.Scheduler)
		n.SetEngines(list)
		running.Go(func() error { return n.Run(ctx) })
		f.nodes = append(f.nodes, n)
		f.live = append(f.live, n.self)
	}
	t.Cleanup(func() {
		_ = f.bg.Wait()
		cancel()
		_ = running.Wait()
	})
	return f
}

func (n *node) Self() member.Info { return n.self }

func (n *node) Live() []member.Info {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return append([]member.Info(nil), n.fleet.live...)
}

// pause waits for a random time.
func (f *fleet) pause() {
	f.mu.Lock()
	d := time.Duration(f.rnd.Int64N(int64(f.delay) + 1))
	f.mu.Unlock()
	time.Sleep(d)
}

// ExchangeWithin implements isolator.Exchanger.
func (f *fleet) ExchangeWithin(ctx context.Context, addr string, m *peerlink.Message, _ time.Duration) (*peerlink.Message, error) {
	f.pause()
	f.mu.Lock()
	err := f.down[addr]
	if m.Permit != nil {
		f.asked = addr
	}
	f.mu.Unlock()
	if err != nil {
		return nil, errors.Annotate(err, "exchange")
	}
	for _, n := range f.nodes {
		if n.self.Address == addr {
			defer f.pause()
			return n.HandleMessage(ctx, m), nil
		}
	}
	return nil, errors.NotFoundf("node %s", addr)
}

// pick returns the pick of one attempt, as the front makes it. It reports whether the
// request was a suspect.
func (n *node) pick() (scheduler.PickResult, bool) {
	q := router.Query{Pool: "p", RecomputeWeight: 1}
	p := n.Pick(q, nil, fingerprint, false)
	if !p.Reserved {
		return p, false
	}
	if n.Ask(n.fleet.t.Context(), fingerprint) == quarantiner.Wait {
		n.CancelReservation(fingerprint)
		return scheduler.PickResult{Wait: true}, true
	}
	return n.PickReserved(q, nil, fingerprint, false), true
}

// Guards against a request that crashes upstreams and runs at several nodes at once after
// its first crash, since none of them knows of the others' runs: the crashes grew with the
// number of nodes.
func TestSuspectThatCrashesUpstreamsRunsOnce(t *testing.T) {
	for _, nodes := range []int{3, 9} {
		for _, together := range []bool{true, false} {
			for seed := range uint64(10) {
				t.Run(fmt.Sprintf("%d nodes, together %t, seed %d", nodes, together, seed), func(t *testing.T) {
					f := newFleet(t, seed, nodes, 4*nodes, 5*time.Millisecond)
					var begun, crashes atomic.Int64
					send := func(n *node) error {
						for {
							p, suspect := n.pick()
							switch {
							case p.Quarantine:
								return nil
							case !p.Found():
								f.pause()
								continue
							case !suspect:
								begun.Add(1)
							}
							f.pause() // the run
							crashes.Add(1)
							reports := n.RecordCrash(p.Run)
							for _, o := range f.nodes {
								if o != n {
									f.bg.Go(func() error { f.pause(); o.MergeReports(reports); return nil })
								}
							}
							n.RecordEnd(p.Run, scheduler.Result{Failed: true})
						}
					}
					var g errgroup.Group
					if !together {
						g.Go(func() error { return send(f.nodes[0]) })
						f.pause()
						f.pause()
					}
					for _, n := range f.nodes {
						for range 2 { // the caller sends it again
							g.Go(func() error { return send(n) })
						}
					}
					if err := g.Wait(); err != nil {
						t.Fatal(err)
					}
					if crashes.Load() > begun.Load()+2 {
						t.Errorf("%d crashes, want at most 2 more than the %d runs that began before their node knew of one", crashes.Load(), begun.Load())
					}
				})
			}
		}
	}
}

// Guards against a sound request that was in flight at a crash and then runs at one node
// after the other, or at none.
func TestSuspectRunsEverywhereAfterSuccess(t *testing.T) {
	f := newFleet(t, 1, 5, 20, 0)
	crashed, _ := f.nodes[0].pick()
	reports := f.nodes[0].RecordCrash(crashed.Run)
	f.nodes[0].RecordEnd(crashed.Run, scheduler.Result{Failed: true})
	for _, n := range f.nodes[1:] {
		n.MergeReports(reports)
	}
	first, suspect := f.nodes[0].pick()
	if !first.Found() || !suspect {
		t.Fatalf("pick of the suspect: %+v, %t", first, suspect)
	}
	for i, n := range f.nodes {
		if p, _ := n.pick(); !p.Wait {
			t.Errorf("node %d while the suspect runs: %+v, want Wait", i, p)
		}
	}
	f.nodes[0].RecordEnd(first.Run, scheduler.Result{})
	for i, n := range f.nodes {
		if p, _ := n.pick(); !p.Found() {
			t.Errorf("node %d after the success: %+v, want an engine", i, p)
		}
		if v := n.SuspectState(fingerprint).Verdict; v != quarantiner.Clear {
			t.Errorf("node %d: verdict %d, want clear", i, v)
		}
	}
}

func TestSuspectWhenNodesAreUnreachable(t *testing.T) {
	const holder, asker, arbiter = 0, 1, 2
	timeout := errors.Timeoutf("exchange")
	for name, c := range map[string]struct {
		fault func(f *fleet)
		want  quarantiner.Verdict
	}{
		"holder still runs it":          {func(*fleet) {}, quarantiner.Wait},
		"holder is gone":                {func(f *fleet) { f.live = f.live[1:] }, quarantiner.Isolated},
		"holder has restarted":          {func(f *fleet) { f.live[holder].BootID++ }, quarantiner.Isolated},
		"holder doesn't reply":          {func(f *fleet) { f.down["n0"] = timeout }, quarantiner.Wait},
		"arbiter doesn't reply":         {func(f *fleet) { f.down["n2"] = timeout }, quarantiner.Wait},
		"arbiter of an earlier release": {func(f *fleet) { f.down["n2"] = io.EOF }, quarantiner.Isolated},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 3, 8, 0)
			suspect := f.suspectOf(f.nodes[arbiter])
			run := f.nodes[holder].Pick(router.Query{Pool: "p", RecomputeWeight: 1}, nil, suspect, false)
			if !run.Reserved || f.nodes[holder].Ask(t.Context(), suspect) != quarantiner.Isolated {
				t.Fatal("the first node isn't permitted")
			}
			f.mu.Lock()
			c.fault(f)
			f.mu.Unlock()
			if got := f.nodes[asker].Ask(t.Context(), suspect); got != c.want {
				t.Errorf("verdict %d, want %d", got, c.want)
			}
		})
	}
}

// suspectOf returns a suspect, known to all nodes, whose arbiter is n.
func (f *fleet) suspectOf(n *node) quarantiner.Fingerprint {
	f.t.Helper()
	for s := range quarantiner.Fingerprint(100) {
		f.asked = ""
		f.nodes[0].Ask(f.t.Context(), s)
		if f.asked != n.self.Address {
			continue
		}
		for _, o := range f.nodes {
			o.MergeReports([]quarantiner.Report{{Fingerprint: s, Crashes: 1, Until: time.Now().Add(time.Minute), Upstream: "e0"}})
		}
		return s
	}
	f.t.Fatalf("no suspect has %s as its arbiter", n.self.Name)
	return 0
}
