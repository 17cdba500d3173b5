package roster

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// aggregatorCount is how many nodes read the store for the others, place their
	// prompts and, in a large fleet, add up what they send. A second one covers
	// the loss of the first.
	aggregatorCount = 2
	// maxFullMeshNodes is the size of a fleet up to which every node tells every other
	// one: with more, the datagrams would take more than 2% of a small VM's core.
	maxFullMeshNodes = 16
)

// Roster is the nodes at one moment. It is immutable.
type Roster struct {
	nodes  []traffic.Node
	ranked []traffic.Node // hubs first
}

// New returns the Roster of nodes, which mustn't be changed any more. The hubs
// are those of the most powerful nodes that hashing puts first, so that all
// nodes agree.
func New(nodes []traffic.Node) *Roster {
	ranked := append([]traffic.Node(nil), nodes...)
	sort.Slice(ranked, func(i, j int) bool {
		if ranked[i].MilliCores != ranked[j].MilliCores {
			return ranked[i].MilliCores > ranked[j].MilliCores
		}
		return xxhash.Sum64String(ranked[i].Name) > xxhash.Sum64String(ranked[j].Name)
	})
	return &Roster{nodes: nodes, ranked: ranked}
}

// Nodes returns all nodes. They mustn't be changed.
func (r *Roster) Nodes() []traffic.Node { return r.nodes }

// Aggregators returns the nodes that work for the others, the one in charge first.
func (r *Roster) Aggregators() []traffic.Node { return r.ranked[:min(aggregatorCount, len(r.ranked))] }

// Rank returns the place of a node among all, from 0 on, hubs first. A node that
// isn't registered comes last.
func (r *Roster) Rank(name string) int {
	for i := range r.ranked {
		if r.ranked[i].Name == name {
			return i
		}
	}
	return len(r.ranked)
}

// IsAggregator reports whether a node works for the others.
func (r *Roster) IsAggregator(name string) bool {
	return slices.ContainsFunc(r.Aggregators(), func(n traffic.Node) bool { return n.Name == name })
}

// FullMesh reports whether the fleet is so small that every node tells every other
// one of its traffic.
func (r *Roster) FullMesh() bool { return len(r.nodes) <= maxFullMeshNodes }
