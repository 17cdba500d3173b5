package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

func TestAggregatorsAreAgreedOn(t *testing.T) {
	var nodes, reversed []traffic.Node
	for i := range 40 {
		n := traffic.Node{Name: fmt.Sprint("n", i), MilliCores: 192}
		if i%10 == 3 {
			n.MilliCores = 800
		}
		nodes = append(nodes, n)
		reversed = append([]traffic.Node{n}, reversed...)
	}
	a, b := roster.New(nodes).Aggregators(), roster.New(reversed).Aggregators()
	if len(a) != 2 || a[0].Name != b[0].Name || a[1].Name != b[1].Name {
		t.Fatalf("aggregators differ: %v and %v", a, b)
	}
	for _, aggregator := range a {
		if aggregator.MilliCores != 800 {
			t.Errorf("node %s with a small processor share is an aggregator", aggregator.Name)
		}
		if !roster.New(nodes).IsAggregator(aggregator.Name) {
			t.Errorf("IsAggregator is false for aggregator %s", aggregator.Name)
		}
	}
	if single := roster.New(nodes[:1]).Aggregators(); len(single) != 1 {
		t.Errorf("aggregators of a single node: %v", single)
	}
}

func TestFullMeshOnlyInSmallFleets(t *testing.T) {
	for _, c := range []struct {
		nodes int
		mesh  bool
	}{{0, true}, {16, true}, {17, false}} {
		if got := roster.New(make([]traffic.Node, c.nodes)).FullMesh(); got != c.mesh {
			t.Errorf("%d nodes: full mesh %v", c.nodes, got)
		}
	}
}

// The store refuses some machines and serves the others: while both aggregators are
// among them, a few nodes read the store for hundreds.
func TestFewNodesStandInForAggregators(t *testing.T) {
	for _, n := range []int{9, 295} {
		var nodes []traffic.Node
		for i := range n {
			nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), MilliCores: 1000 - i})
		}
		r := roster.New(nodes)
		readers := func(silence time.Duration) (count int) {
			for i := range nodes {
				if r.ReadsStore(nodes[i].Name, silence) {
					count++
				}
			}
			return count
		}
		if got := readers(0); got != 2 {
			t.Errorf("%d of %d nodes read the store for others, want the aggregators", got, n)
		}
		if got := readers(time.Minute); got < 3 || got > 8 {
			t.Errorf("%d of %d nodes read the store while the aggregators are silent, want 3 to 8", got, n)
		}
		last := nodes[n-1].Name
		if r.Pace(last).Patience < r.Pace(nodes[2].Name).Patience {
			t.Errorf("the last of %d nodes reads the store before the one that stands in", n)
		}
		if r.ReadsStore("unknown", time.Minute) {
			t.Error("a node that isn't registered reads the store for others")
		}
	}
}

// Guards against a rolling restart in which the leadership moves to a node that stops next, and
// against a node far down a large fleet that takes over.
func TestNodeThatStartedLastSucceeds(t *testing.T) {
	at := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
	var nodes []traffic.Node
	for i := range 295 {
		nodes = append(nodes, traffic.Node{Name: fmt.Sprint("n", i), MilliCores: 1000 - i, StartedAt: at})
	}
	nodes[5].StartedAt = at.Add(time.Minute)
	nodes[2].StartedAt = at.Add(2 * time.Minute)
	nodes[100].StartedAt = at.Add(3 * time.Minute)
	r := roster.New(nodes)
	for name, want := range map[string]int{"n2": 0, "n5": 1, "n0": 2, "n1": 3, "n7": 7, "n100": 100, "unknown": 295} {
		if got := r.SuccessionRank(name); got != want {
			t.Errorf("%s has rank %d, want %d", name, got, want)
		}
	}
	if r.Rank("n2") != 2 || !r.IsAggregator("n0") {
		t.Error("the ranking itself has changed")
	}
}
