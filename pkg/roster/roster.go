package roster

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// hubCount is how many nodes read the store for the others, place their
	// prompts and, in a large fleet, add up what they send. A second one covers
	// the loss of the first.
	hubCount = 2
	// meshNodes is the size of a fleet up to which every node tells every other
	// one: with more, the datagrams would take more than 2% of a small VM's core.
	meshNodes = 16
)

// Roster is the nodes at one moment. It is immutable.
type Roster struct {
	nodes []traffic.Node
	order []traffic.Node // hubs first
}

// New returns the Roster of nodes, which mustn't be changed any more. The hubs
// are those of the most powerful nodes that hashing puts first, so that all
// nodes agree.
func New(nodes []traffic.Node) *Roster {
	order := append([]traffic.Node(nil), nodes...)
	sort.Slice(order, func(i, j int) bool {
		if order[i].MilliCores != order[j].MilliCores {
			return order[i].MilliCores > order[j].MilliCores
		}
		return xxhash.Sum64String(order[i].Name) > xxhash.Sum64String(order[j].Name)
	})
	return &Roster{nodes: nodes, order: order}
}

// Nodes returns all nodes. They mustn't be changed.
func (r *Roster) Nodes() []traffic.Node { return r.nodes }

// Aggregators returns the nodes that work for the others, the one in charge first.
func (r *Roster) Aggregators() []traffic.Node { return r.order[:min(hubCount, len(r.order))] }

// Rank returns the place of a node among all, from 0 on, hubs first. A node that
// isn't registered comes last.
func (r *Roster) Rank(name string) int {
	for i := range r.order {
		if r.order[i].Name == name {
			return i
		}
	}
	return len(r.order)
}

// IsAggregator reports whether a node works for the others.
func (r *Roster) IsAggregator(name string) bool {
	return slices.ContainsFunc(r.Aggregators(), func(n traffic.Node) bool { return n.Name == name })
}

// FullMesh reports whether the fleet is so small that every node tells every other
// one of its traffic.
func (r *Roster) FullMesh() bool { return len(r.nodes) <= meshNodes }
