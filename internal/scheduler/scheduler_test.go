package scheduler_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

// testScheduler is a running scheduler with engines e1 to en.
type testScheduler struct {
	*scheduler.Scheduler
	t       *testing.T
	engines []string
}

func newTestScheduler(t *testing.T, engines int) *testScheduler {
	t.Helper()
	n := &testScheduler{Scheduler: scheduler.New(systemclock.New(), 16, rand.New(rand.NewPCG(1, 1))), t: t}
	var list []router.Engine
	for i := range engines {
		n.engines = append(n.engines, fmt.Sprint("e", i+1))
		list = append(list, router.Engine{ID: n.engines[i], Pool: "p", Slots: 8})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var eg errgroup.Group
	eg.Go(func() error { return n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := eg.Wait(); err != nil {
			t.Error(err)
		}
	})
	n.SetEngines(list)
	return n
}

func (n *testScheduler) pick(f quarantiner.Fingerprint, retry bool, exclude ...string) scheduler.PickResult {
	q := router.Query{Pool: "p", RecomputeWeight: 1, Exclude: exclude}
	p := n.Pick(q, nil, f, retry)
	if p.Reserved {
		p = n.PickReserved(q, nil, f, retry)
	}
	return p
}

// runAt starts a run of f at engine and fails the test if it is sent elsewhere.
func (n *testScheduler) runAt(f quarantiner.Fingerprint, engine string) scheduler.Run {
	n.t.Helper()
	others := slices.DeleteFunc(slices.Clone(n.engines), func(e string) bool { return e == engine })
	p := n.pick(f, false, others...)
	if !p.Found() || p.Run.Choice.ID != engine {
		n.t.Fatalf("run of %d did not start at %s: %+v", f, engine, p)
	}
	return p.Run
}

// receiveReport merges a peer's report that engine crashed with f in flight.
func (n *testScheduler) receiveReport(f quarantiner.Fingerprint, engine string) {
	n.MergeReports([]quarantiner.Report{{Fingerprint: f, Crashes: 1, Until: time.Now().Add(time.Minute), Upstream: engine}})
}

// TestSuspectAvoidsEnginesOfRunsThatBecameSuspect guards against a retry of a
// poison request at an engine that runs a harmless request which a peer's report
// has made a suspect during its run. The harmless request would be in flight at a
// second crash and be quarantined.
func TestSuspectAvoidsEnginesOfRunsThatBecameSuspect(t *testing.T) {
	const harmless quarantiner.Fingerprint = 500
	for _, engine := range []string{"e1", "e2", "e3"} {
		for _, poison := range []quarantiner.Fingerprint{harmless - 1, harmless + 1} {
			t.Run(fmt.Sprintf("%s, poison %d", engine, poison), func(t *testing.T) {
				n := newTestScheduler(t, 4)
				n.runAt(harmless, engine)
				crashed := n.runAt(poison, "e4")
				n.receiveReport(harmless, "e4")
				n.RecordCrash(crashed)
				p := n.pick(poison, true, "e4")
				if !p.Found() || p.Run.Choice.ID == engine {
					t.Fatalf("retry of the poison request: %+v, want an engine other than %s", p, engine)
				}
				for _, r := range n.RecordCrash(p.Run) {
					if r.Fingerprint == harmless {
						t.Errorf("the harmless request is reported as a suspect in the crash of %s", r.Upstream)
					}
				}
				if p := n.pick(harmless, true, "e4"); p.Quarantine {
					t.Error("the harmless request is quarantined")
				}
			})
		}
	}
}

func TestSuspectWaitsWhileOtherSuspectsOccupyAllEngines(t *testing.T) {
	n := newTestScheduler(t, 2)
	run := n.runAt(2, "e1")
	crashed := n.runAt(1, "e2")
	n.receiveReport(2, "e2")
	n.RecordCrash(crashed)
	if p := n.pick(1, true, "e2"); !p.Wait {
		t.Errorf("pick while another suspect runs: %+v, want Wait", p)
	}
	n.RecordEnd(run, scheduler.Result{})
	if p := n.pick(1, true, "e2"); !p.Found() {
		t.Errorf("pick after the run ended: %+v, want an engine", p)
	}
}

// TestWaitingDoesNotUseRetryBudget guards against waiting suspects that take a
// retry token with every repeated pick. They would exhaust the budget of all
// requests and then fail as overloaded.
func TestWaitingDoesNotUseRetryBudget(t *testing.T) {
	n := newTestScheduler(t, 2)
	run := n.runAt(2, "e1")
	crashed := n.runAt(1, "e2")
	n.receiveReport(2, "e2")
	n.RecordCrash(crashed)
	const picks = 100 // more than the retry budget holds
	for i := range picks {
		if p := n.pick(1, true, "e2"); !p.Wait {
			t.Fatalf("pick %d: %+v, want Wait", i, p)
		}
	}
	n.RecordEnd(run, scheduler.Result{})
	if p := n.pick(1, true, "e2"); !p.Found() {
		t.Errorf("pick after the wait: %+v, want an engine", p)
	}
}

// Guards against a request that runs twice at a node since its first run began before a
// peer's report made it a suspect, and wasn't counted.
func TestSuspectWaitsForRunThatBeganBeforeReport(t *testing.T) {
	n := newTestScheduler(t, 4)
	run := n.runAt(1, "e1")
	n.receiveReport(1, "e4")
	if p := n.pick(1, false); !p.Wait {
		t.Errorf("pick during the run: %+v, want Wait", p)
	}
	n.RecordEnd(run, scheduler.Result{Failed: true})
	if p := n.pick(1, false); !p.Found() {
		t.Errorf("pick after the run: %+v, want an engine", p)
	}
}

// Guards against a run that is counted as ended twice, by the crash and by its own end, so
// that its request runs twice at a node.
func TestRunThatCrashedEndsOnce(t *testing.T) {
	n := newTestScheduler(t, 4)
	crashed := n.runAt(1, "e1")
	n.RecordCrash(crashed)
	if p := n.pick(1, false, "e1"); !p.Found() {
		t.Fatalf("pick after the crash: %+v, want an engine", p)
	}
	n.RecordEnd(crashed, scheduler.Result{Failed: true})
	if p := n.pick(1, false, "e1"); !p.Wait {
		t.Errorf("pick during the second run: %+v, want Wait", p)
	}
}
