package router_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/hasher"
	"github.com/auburnnotch/auburnnotch/pkg/router"
)

var now = time.Unix(1_800_000_000, 0)

func newRouter(engines int) *router.Router {
	r := router.New(router.DefaultCosts(), router.DefaultIndexEntries, rand.New(rand.NewPCG(1, 1)))
	r.SetEngines(engineList(engines))
	return r
}

func engineList(n int) []router.Engine {
	out := make([]router.Engine, n)
	for i := range out {
		out[i] = router.Engine{ID: fmt.Sprint("e", i), Pool: "p", Slots: 8}
	}
	return out
}

func prompt(parts ...uint64) hasher.Chain {
	var c hasher.Chain
	for _, p := range parts {
		c = appendLevel(c, 2, p)
	}
	return c
}

func pick(t *testing.T, r *router.Router, q router.Query) router.Choice {
	t.Helper()
	q.Pool, q.RecomputeWeight = "p", 1
	c, ok := r.Pick(now, &q)
	if !ok {
		t.Fatal("no eligible engine")
	}
	return c
}

func TestPickPrefersEngineWithCachedPrefix(t *testing.T) {
	for _, engines := range []int{4, 18, 300} {
		r := newRouter(engines)
		first := pick(t, r, router.Query{Chain: prompt(1, 2, 3), SuspectRank: -1})
		r.RecordSend(now, first, prompt(1, 2, 3))
		r.RecordEnd(now, first, false)
		second := pick(t, r, router.Query{Chain: prompt(1, 2, 4), SuspectRank: -1})
		if second.ID != first.ID || second.Hits != 4 {
			t.Errorf("%d engines: first %s, second %s with %d hits, want the same engine with 4", engines, first.ID, second.ID, second.Hits)
		}
	}
}

func TestRestartClearsExpectedHits(t *testing.T) {
	for name, restart := range map[string]func(*router.Router, string){
		"crash recorded":             func(r *router.Router, id string) { r.RecordCrash(now, id) },
		"other incarnation reported": func(r *router.Router, id string) { r.ReceiveReport(now, id, router.Report{Incarnation: "b"}) },
		"other incarnation recorded": func(r *router.Router, id string) { r.RecordIncarnation(now, id, "b") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(1)
			r.ReceiveReport(now, "e0", router.Report{Incarnation: "a"})
			c := pick(t, r, router.Query{Chain: prompt(1, 2), SuspectRank: -1})
			r.RecordSend(now, c, prompt(1, 2))
			restart(r, "e0")
			now2 := now.Add(time.Hour)
			q := router.Query{Pool: "p", Chain: prompt(1, 2), RecomputeWeight: 1, SuspectRank: -1}
			if c, ok := r.Pick(now2, &q); !ok || c.Hits != 0 {
				t.Errorf("found %t with %d expected hits, want true with 0", ok, c.Hits)
			}
		})
	}
}

func TestPickSkipsLeavingEngine(t *testing.T) {
	leaving := engineList(3)
	leaving[0].LeavesAt = now
	for name, c := range map[string]struct {
		engines []router.Engine
		change  func(*router.Router)
	}{
		"LeavesAt has passed":    {leaving, func(*router.Router) {}},
		"removed from the list":  {engineList(3)[1:], func(*router.Router) {}},
		"reported by the engine": {engineList(3), func(r *router.Router) { r.ReceiveReport(now, "e0", router.Report{Leaving: true}) }},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(3)
			for range 50 { // e0 holds the prefix
				r.AddHint("e0", prompt(7, 8))
			}
			r.SetEngines(c.engines)
			c.change(r)
			for range 100 {
				if got := pick(t, r, router.Query{Chain: prompt(7, 8), SuspectRank: -1}); got.ID == "e0" {
					t.Fatal("picked the leaving engine")
				}
			}
			if !r.Leaving(now, "e0") {
				t.Error("Leaving is false for e0")
			}
		})
	}
}

func TestSuspectsOfDifferentRanksRunOnDifferentEngines(t *testing.T) {
	r := newRouter(3)
	seen := map[string]bool{}
	for rank := range 3 {
		seen[pick(t, r, router.Query{Chain: prompt(1), SuspectRank: rank}).ID] = true
	}
	if len(seen) != 3 {
		t.Errorf("three suspects on %d engines, want 3", len(seen))
	}
	if _, ok := r.Pick(now, &router.Query{Pool: "p", Chain: prompt(1), SuspectRank: 3}); ok {
		t.Error("a fourth suspect got an engine")
	}
}

func TestSuspectAvoidsEnginesWithOtherSuspects(t *testing.T) {
	for name, c := range map[string]struct {
		rank     int
		occupied []string
		want     string
	}{
		"engine of its rank is free": {0, []string{"e1"}, "e0"},
		"engine of its rank is used": {0, []string{"e0"}, "e3"},
		"last engine is used too":    {1, []string{"e1", "e3"}, "e2"},
		"all engines are used":       {0, []string{"e0", "e1", "e2", "e3"}, ""},
		"more suspects than engines": {4, []string{"e0"}, ""},
	} {
		q := router.Query{Pool: "p", Chain: prompt(1), SuspectRank: c.rank, SuspectEngines: c.occupied}
		if got, _ := newRouter(4).Pick(now, &q); got.ID != c.want {
			t.Errorf("%s: %q, want %q", name, got.ID, c.want)
		}
	}
}

func TestLateReportKeepsNewerLocalChanges(t *testing.T) {
	r := newRouter(2)
	c := pick(t, r, router.Query{Chain: prompt(1, 2, 3), SuspectRank: -1})
	r.RecordSend(now, c, prompt(1, 2, 3))
	r.ReceiveReport(now.Add(time.Second), c.ID, router.Report{TakenAt: now.Add(-time.Second)}) // taken before the request was sent
	if capacity := r.Capacity(now, "p"); capacity.Pending != 6 || capacity.Occupied != 1 {
		t.Errorf("pending %d, occupied %d, want 6 and 1", capacity.Pending, capacity.Occupied)
	}
	r.RecordEnd(now, c, false)
	if capacity := r.Capacity(now, "p"); capacity.Pending != 0 || capacity.Occupied != 0 {
		t.Errorf("after the end: pending %d, occupied %d, want 0 and 0", capacity.Pending, capacity.Occupied)
	}
}

// BenchmarkDecision reports the time and the allocations of a decision, and the
// memory of the router's state, by the number of engines and workspaces.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{18, 200, 1400} {
		for _, workspaces := range []int{8, 22_000} {
			b.Run(fmt.Sprintf("engines=%d/workspaces=%d", engines, workspaces), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				r := newRouter(engines)
				prompts := make([]hasher.Chain, 4096)
				rnd := rand.New(rand.NewPCG(2, 2))
				for i := range prompts {
					prompts[i] = prompt(uint64(rnd.IntN(workspaces)), uint64(rnd.IntN(20)), uint64(rnd.IntN(10)), uint64(i))
				}
				q := router.Query{Pool: "p", RecomputeWeight: 1, SuspectRank: -1}
				decide := func(i int) {
					q.Chain = prompts[i%len(prompts)]
					c, _ := r.Pick(now, &q)
					r.RecordSend(now, c, q.Chain)
					r.RecordEnd(now, c, false)
				}
				for i := range prompts {
					decide(i)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					decide(i)
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
			})
		}
	}
}
