package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
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
