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
