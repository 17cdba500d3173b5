package entry

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

const (
	// keep is how long callers may keep an answer. Some keep it three times as
	// long, which must fit into the time that a stopping node has.
	keep = time.Second
	// nearEnough is how many nodes of a caller's own data centre make others
	// needless.
	nearEnough = 2
	// mostEntries bounds an answer.
	mostEntries = 64
)

// directory tells callers which nodes to use. It implements
// ingress.Directory.
type directory struct {
	self    traffic.Node
	looks   *observer.Observer
	talk    *gossip
	most    time.Duration
	leaving atomic.Bool
}

func newDirectory(self traffic.Node, looks *observer.Observer, talk *gossip, mostSeconds float64) *directory {
	return &directory{self: self, looks: looks, talk: talk, most: config.Seconds(mostSeconds)}
}

func (d *directory) leave() { d.leaving.Store(true) }

// TTL implements ingress.Directory.
func (d *directory) TTL() time.Duration { return min(keep, d.most) }

// Entries implements ingress.Directory.
func (d *directory) Entries(dataCentre, region string) []string {
	silent := d.talk.silentNodes()
	var nodes []traffic.Node
	for _, n := range d.looks.Snapshot().Nodes {
		if !slices.Contains(silent, n.Name) {
			nodes = append(nodes, n)
		}
	}
	for _, near := range []func(n *traffic.Node) bool{
		func(n *traffic.Node) bool { return n.DataCentre == dataCentre },
		func(n *traffic.Node) bool { return n.Region == region },
		func(*traffic.Node) bool { return true },
	} {
		if out := d.pick(nodes, near); len(out) >= nearEnough {
			return out
		}
	}
	return d.pick(nodes, func(*traffic.Node) bool { return true })
}

func (d *directory) pick(nodes []traffic.Node, near func(n *traffic.Node) bool) []string {
	var out []string
	for i := range nodes {
		n := &nodes[i]
		if n.Name == d.self.Name && (d.leaving.Load() || n.BootID != d.self.BootID) ||
			d.talk.leaves(n.Name, n.BootID) || !near(n) || len(out) >= mostEntries {
			continue
		}
		out = append(out, n.Entry)
	}
	return out
}
