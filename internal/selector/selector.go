// Package selector chooses the entry nodes that serve a workspace, by consistent
// hashing. Nodes with the same view of the membership make the same choice.
package selector

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/member"
)

// spareNodes is how many nodes serve a workspace in addition to its weight, so
// that after the loss of one node another has the cached prefixes in its index.
const spareNodes = 1

// Selector chooses the nodes of a workspace by consistent hashing. The fewer
// nodes serve a workspace, the larger the share of its cached prefixes that each
// has in its index. If the preferred node is lost, a spare takes over.
type Selector struct {
	// region returns the region of a data centre.
	region     func(dataCentre string) string
	dataCentre string // of this node
}

// New returns a Selector that prefers nodes in the region of dataCentre.
func New(dataCentre string, region func(dataCentre string) string) Selector {
	return Selector{region: region, dataCentre: dataCentre}
}

// Select returns the nodes that serve a workspace of the given weight, the
// preferred one first. Nodes in other regions are used only while this region has
// too few.
func (s Selector) Select(live []member.Info, workspace string, weight int) []member.Info {
	want := max(1, weight) + spareNodes
	local, remote := s.splitByRegion(live)
	out := successors(local, workspace, want)
	return append(out, successors(remote, workspace, want-len(out))...)
}

// splitByRegion returns the nodes that are alive, divided into those in this
// region and those in others.
func (s Selector) splitByRegion(live []member.Info) (local, remote []member.Info) {
	localRegion := s.region(s.dataCentre)
	for _, m := range live {
		switch {
		case m.State != member.Alive:
		case s.region(m.DataCentre) == localRegion:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	return local, remote
}

// pointsPerNode is the number of points of a node on the hash ring. Several
// points even out the nodes' shares of the ring. The number also bounds how many
// other nodes serve as spares for a node's workspaces.
const pointsPerNode = 8

// point is a point on the hash ring.
type point struct {
	hash uint64
	node int // index of the node
}

// successors returns up to n distinct nodes, in the order of the hash ring from
// the hash of the workspace on. If the first is lost, the second becomes the first.
func successors(nodes []member.Info, workspace string, n int) []member.Info {
	if len(nodes) == 0 || n <= 0 {
		return nil
	}
	ring := make([]point, 0, len(nodes)*pointsPerNode)
	for i, m := range nodes {
		for p := range pointsPerNode {
			ring = append(ring, point{hash: xxhash.Sum64String(m.Name + "/" + strconv.Itoa(p)), node: i})
		}
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	hash := xxhash.Sum64String(workspace)
	start := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= hash })
	out := make([]member.Info, 0, n)
	selected := make([]bool, len(nodes))
	for i := 0; i < len(ring) && len(out) < n; i++ {
		if node := ring[(start+i)%len(ring)].node; !selected[node] {
			selected[node] = true
			out = append(out, nodes[node])
		}
	}
	return out
}
