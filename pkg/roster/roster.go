package roster

import (
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
	hubs  []traffic.Node
}

// New returns the Roster of nodes, which mustn't be changed any more. The hubs
// are those of the most powerful nodes that hashing puts first, so that all
// nodes agree.
func New(nodes []traffic.Node) *Roster {
	hubs := append([]traffic.Node(nil), nodes...)
	sort.Slice(hubs, func(i, j int) bool {
		if hubs[i].Power != hubs[j].Power {
			return hubs[i].Power > hubs[j].Power
		}
		return xxhash.Sum64String(hubs[i].Name) > xxhash.Sum64String(hubs[j].Name)
	})
	return &Roster{nodes: nodes, hubs: hubs[:min(hubCount, len(hubs))]}
}

// Nodes returns all nodes. They mustn't be changed.
func (r *Roster) Nodes() []traffic.Node { return r.nodes }

// Hubs returns the nodes that work for the others, the one in charge first.
func (r *Roster) Hubs() []traffic.Node { return r.hubs }

// IsHub reports whether a node works for the others.
func (r *Roster) IsHub(name string) bool {
	for i := range r.hubs {
		if r.hubs[i].Name == name {
			return true
		}
	}
	return false
}

// Mesh reports whether the fleet is so small that every node tells every other
// one of its traffic.
func (r *Roster) Mesh() bool { return len(r.nodes) <= meshNodes }
