// Package selector says which nodes serve a workspace. All nodes agree on it
// as far as they agree on the membership.
package selector

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/member"
)

// spare is how many nodes serve a workspace besides those of its weight, so
// that one node's loss leaves another that knows its prefixes.
const spare = 1

// Selector chooses nodes by rendezvous hashing, the usual one first: the fewer
// nodes serve a workspace, the better each knows where its prefixes are.
type Selector struct {
	// region tells the region of a data centre, and home is that of the node.
	region func(dataCentre string) string
	home   string
}

// New returns a Selector that puts nodes of the region of dataCentre first.
func New(dataCentre string, region func(dataCentre string) string) Selector {
	return Selector{region: region, home: dataCentre}
}

type scored struct {
	info member.Info
	near bool
	rank uint64
}

// Select returns the nodes of a workspace of the given weight, best first.
func (s Selector) Select(live []member.Info, workspace string, weight int) []member.Info {
	home := s.region(s.home)
	nodes := make([]scored, 0, len(live))
	for _, m := range live {
		if m.State == member.Alive {
			nodes = append(nodes, scored{info: m, near: s.region(m.DataCentre) == home, rank: xxhash.Sum64String(m.Name + "/" + workspace)})
		}
	}
	sort.Slice(nodes, func(i, j int) bool {
		if nodes[i].near != nodes[j].near {
			return nodes[i].near
		}
		return nodes[i].rank > nodes[j].rank
	})
	out := make([]member.Info, 0, weight+spare)
	for _, n := range nodes[:min(len(nodes), max(1, weight)+spare)] {
		out = append(out, n.info)
	}
	return out
}
