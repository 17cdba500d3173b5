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

// node is a scheduler with engines e1 to en.
type node struct {
	*scheduler.Scheduler
	t       *testing.T
	engines []string
}

func newNode(t *testing.T, engines int) *node {
	t.Helper()
	n := &node{Scheduler: scheduler.New(systemclock.New(), 16, rand.New(rand.NewPCG(1, 1))), t: t}
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

func (n *node) pick(f quarantiner.Fingerprint, retry bool, exclude ...string) scheduler.PickResult {
	return n.Pick(router.Query{Pool: "p", RecomputeWeight: 1, Exclude: exclude}, nil, f, retry)
}

// runAt starts a run of f at engine.
func (n *node) runAt(f quarantiner.Fingerprint, engine string) scheduler.Run {
	n.t.Helper()
	others := slices.DeleteFunc(slices.Clone(n.engines), func(e string) bool { return e == engine })
	p := n.pick(f, false, others...)
	if !p.Found() || p.Run.Choice.ID != engine {
		n.t.Fatalf("no run of %d at %s: %+v", f, engine, p)
	}
	return p.Run
}

// heard is a peer's report of one crash.
func (n *node) heard(f quarantiner.Fingerprint, engine string) {
	n.MergeReports([]quarantiner.Report{{Fingerprint: f, Crashes: 1, Until: time.Now().Add(time.Minute), Upstream: engine}})
}

// TestSuspectIsKeptFromRunsThatBecameSuspect guards against a poisoned request
// that is sent again to the engine where the node runs an innocent one, which a
// peer's report has made a suspect in mid-run and which then fell twice.
func TestSuspectIsKeptFromRunsThatBecameSuspect(t *testing.T) {
	const innocent quarantiner.Fingerprint = 500
	for _, engine := range []string{"e1", "e2", "e3"} {
		for _, poison := range []quarantiner.Fingerprint{innocent - 1, innocent + 1} {
			t.Run(fmt.Sprintf("%s, poison %d", engine, poison), func(t *testing.T) {
				n := newNode(t, 4)
				n.runAt(innocent, engine)
				fell := n.runAt(poison, "e4")
				n.heard(innocent, "e4")
				n.RecordCrash(fell)
				p := n.pick(poison, true, "e4")
				if !p.Found() || p.Run.Choice.ID == engine {
					t.Fatalf("the poisoned request: %+v, want an engine other than %s", p, engine)
				}
				for _, r := range n.RecordCrash(p.Run) {
					if r.Fingerprint == innocent {
						t.Errorf("the innocent request is accused of the crash of %s", r.Upstream)
					}
				}
				if p := n.pick(innocent, true, "e4"); p.Quarantine {
					t.Error("the innocent request is in quarantine")
				}
			})
		}
	}
}

func TestSuspectWaitsWhileOthersRunEverywhere(t *testing.T) {
	n := newNode(t, 2)
	run := n.runAt(2, "e1")
	fell := n.runAt(1, "e2")
	n.heard(2, "e2")
	n.RecordCrash(fell)
	if p := n.pick(1, true, "e2"); !p.Wait {
		t.Errorf("while another suspect runs: %+v, want a wait", p)
	}
	n.RecordEnd(run, scheduler.Result{})
	if p := n.pick(1, true, "e2"); !p.Found() {
		t.Errorf("after its end: %+v, want an engine", p)
	}
}

// TestWaitingTakesNothingFromTheRetryBudget guards against suspects that use up
// the budget of all by asking again while they wait, and then fail as
// overloaded.
func TestWaitingTakesNothingFromTheRetryBudget(t *testing.T) {
	n := newNode(t, 2)
	run := n.runAt(2, "e1")
	fell := n.runAt(1, "e2")
	n.heard(2, "e2")
	n.RecordCrash(fell)
	const looks = 100 // more than the budget holds
	for i := range looks {
		if p := n.pick(1, true, "e2"); !p.Wait {
			t.Fatalf("look %d: %+v, want a wait", i, p)
		}
	}
	n.RecordEnd(run, scheduler.Result{})
	if p := n.pick(1, true, "e2"); !p.Found() {
		t.Errorf("after the wait: %+v, want an engine", p)
	}
}
