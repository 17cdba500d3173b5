package roster

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// aggregatorCount is the number of nodes that read the store for the others, place
	// their prompts and, in a large fleet, sum their traffic reports. The second
	// one covers the loss of the first.
	aggregatorCount = 2
	// maxFullMeshNodes is the size of a fleet up to which every node sends its
	// traffic report to every other node. In larger fleets, these datagrams would
	// take more than 2% of a small VM's core.
	maxFullMeshNodes = 16
)

// Roster is the list of nodes at one moment. It is immutable.
type Roster struct {
	nodes  []traffic.Node
	ranked []traffic.Node // aggregators first
}

// New returns the Roster of nodes, which must not be modified afterwards. Nodes rank
// by processor share, then by the hash of their name, so that all nodes agree on the
// aggregators regardless of the order of the list.
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

// Nodes returns all nodes. The caller must not modify them.
func (r *Roster) Nodes() []traffic.Node { return r.nodes }

// Aggregators returns the aggregators, the placement coordinator first.
func (r *Roster) Aggregators() []traffic.Node { return r.ranked[:min(aggregatorCount, len(r.ranked))] }

// Rank returns the position of a node in the ranking, from 0 on, aggregators first. A
// node that isn't registered ranks last.
func (r *Roster) Rank(name string) int {
	for i := range r.ranked {
		if r.ranked[i].Name == name {
			return i
		}
	}
	return len(r.ranked)
}

// SuccessionRank returns the position of a node among those that may take over from a leader that
// stops as planned, from 0 on. In a rolling restart, the node that started last is the one that
// keeps running the longest.
func (r *Roster) SuccessionRank(name string) int {
	candidates := slices.Clone(r.ranked[:min(standInCount, len(r.ranked))])
	slices.SortStableFunc(candidates, func(a, b traffic.Node) int { return b.StartedAt.Compare(a.StartedAt) })
	if i := slices.IndexFunc(candidates, func(n traffic.Node) bool { return n.Name == name }); i >= 0 {
		return i
	}
	return r.Rank(name)
}

// Find returns the node with a name, and whether it is registered.
func (r *Roster) Find(name string) (traffic.Node, bool) {
	i := r.Rank(name)
	if i == len(r.ranked) {
		return traffic.Node{}, false
	}
	return r.ranked[i], true
}

// IsAggregator reports whether a node is an aggregator.
func (r *Roster) IsAggregator(name string) bool {
	return slices.ContainsFunc(r.Aggregators(), func(n traffic.Node) bool { return n.Name == name })
}

// FullMesh reports whether the fleet is small enough that every node sends its
// traffic report to every other node.
func (r *Roster) FullMesh() bool { return len(r.nodes) <= maxFullMeshNodes }
