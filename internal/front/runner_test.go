package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

// Guards against a request that counts as running at its upstream for good, since its
// handler panicked.
func TestRunOfPanickedRequestEnds(t *testing.T) {
	sched := scheduler.New(systemclock.New(), 16, rand.New(rand.NewPCG(1, 1)))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = sched.Run(ctx) })
	defer running.Wait()
	defer cancel()
	sched.SetEngines([]router.Engine{{ID: "e", Pool: "p", Slots: 8}})
	p := sched.Pick(router.Query{Pool: "p", RecomputeWeight: 1}, nil, 1, false)
	if !p.Found() || sched.Snapshot().Running != 1 {
		t.Fatalf("picked %+v, snapshot %+v", p, sched.Snapshot())
	}
	r := &runner{f: &Front{sched: sched}, run: &p.Run}
	func() {
		defer func() {
			if recover() == nil {
				t.Error("a runner without a machine didn't panic")
			}
		}()
		r.serve()
	}()
	for end := time.Now().Add(5 * time.Second); sched.Snapshot().Running != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("snapshot %+v", sched.Snapshot())
		}
	}
}

// Guards against a suspect that runs nowhere any more, since a request that ended before it
// was sent keeps its reservation.
func TestReservationOfUnsentSuspectEnds(t *testing.T) {
	const suspect quarantiner.Fingerprint = 1
	sched := scheduler.New(systemclock.New(), 16, rand.New(rand.NewPCG(1, 1)))
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = sched.Run(ctx) })
	defer running.Wait()
	defer cancel()
	sched.SetEngines([]router.Engine{{ID: "e", Pool: "p", Slots: 8}})
	sched.MergeReports([]quarantiner.Report{{Fingerprint: suspect, Crashes: 1, Until: time.Now().Add(time.Minute), Upstream: "e"}})
	pick := func() scheduler.PickResult {
		return sched.Pick(router.Query{Pool: "p", RecomputeWeight: 1}, nil, suspect, false)
	}
	for name, r := range map[string]*runner{
		"picked on admission": {firstPick: &scheduler.PickResult{Reserved: true}},
		"asking":              {reserved: true},
	} {
		if p := pick(); !p.Reserved {
			t.Fatalf("%s: picked %+v, want a reservation", name, p)
		}
		if p := pick(); !p.Wait {
			t.Errorf("%s: picked %+v beside a reservation, want Wait", name, p)
		}
		r.f, r.job = &Front{sched: sched}, &job{fingerprint: suspect}
		r.release()
	}
	if p := pick(); !p.Reserved {
		t.Errorf("picked %+v, want a reservation", p)
	}
}
