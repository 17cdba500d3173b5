// Package selector says which nodes serve a workspace. All nodes agree on it
// as far as they agree on the membership.
package selector

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/member"
)

// spare is how many nodes serve a workspace besides those of its weight, so
// that one node's loss leaves another that knows its prefixes.
const spare = 1

// Selector chooses the nodes of a workspace by consistent hashing. The fewer
// nodes serve a workspace, the better each knows where its prefixes are, and the
// spare is the node that takes over when the usual one is lost.
type Selector struct {
	// region tells the region of a data centre, and home is that of the node.
	region func(dataCentre string) string
	home   string
}

// New returns a Selector that puts nodes of the region of dataCentre first.
func New(dataCentre string, region func(dataCentre string) string) Selector {
	return Selector{region: region, home: dataCentre}
}

// Select returns the nodes of a workspace of the given weight, the usual one
// first. Nodes of other regions serve only while this region has too few.
func (s Selector) Select(live []member.Info, workspace string, weight int) []member.Info {
	want := max(1, weight) + spare
	near, far := s.split(live)
	out := follow(near, workspace, want)
	return append(out, follow(far, workspace, want-len(out))...)
}

func (s Selector) split(live []member.Info) (near, far []member.Info) {
	home := s.region(s.home)
	for _, m := range live {
		switch {
		case m.State != member.Alive:
		case s.region(m.DataCentre) == home:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return near, far
}

// pointsPerNode evens out the shares of the ring, and bounds how many other
// nodes have the spare of a node's workspaces.
const pointsPerNode = 8

type point struct {
	hash uint64
	node int
}

// follow returns up to n different nodes of the ring from the place of a
// workspace on. When the first is lost, the second takes its place.
func follow(nodes []member.Info, workspace string, n int) []member.Info {
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
	place := xxhash.Sum64String(workspace)
	at := sort.Search(len(ring), func(i int) bool { return ring[i].hash >= place })
	out := make([]member.Info, 0, n)
	taken := make([]bool, len(nodes))
	for i := 0; i < len(ring) && len(out) < n; i++ {
		if node := ring[(at+i)%len(ring)].node; !taken[node] {
			taken[node] = true
			out = append(out, nodes[node])
		}
	}
	return out
}
