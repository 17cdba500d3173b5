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
	// entryTTL is how long callers may cache a response. Some cache it three
	// times as long, which must fit into the grace period.
	entryTTL = time.Second
	// minNearbyNodes is the number of nodes in a caller's own data centre or
	// region that make nodes farther away unnecessary.
	minNearbyNodes = 2
	// maxEntries bounds the addresses in a response.
	maxEntries = 64
)

// directory returns the addresses of the nodes that a caller may use. It
// implements ingress.Directory.
type directory struct {
	self    traffic.Node
	obs     *observer.Observer
	state   *localState
	maxTTL  time.Duration
	leaving atomic.Bool
}

func newDirectory(self traffic.Node, obs *observer.Observer, state *localState, maxTTLSeconds float64) *directory {
	return &directory{self: self, obs: obs, state: state, maxTTL: config.Seconds(maxTTLSeconds)}
}

func (d *directory) startLeaving() { d.leaving.Store(true) }

// TTL implements ingress.Directory.
func (d *directory) TTL() time.Duration { return min(entryTTL, d.maxTTL) }

// Entries implements ingress.Directory. A node that has just started returns none until it
// knows the fleet: callers then ask another one. Registrations alone don't tell which
// nodes are running.
func (d *directory) Entries(dataCentre, region string) []string {
	if !d.state.broadcaster.KnowsFleet() {
		return nil
	}
	silent := append(d.state.broadcaster.SilentNodes(), d.state.broadcaster.NeverHeard()...)
	var nodes []traffic.Node
	for _, n := range d.obs.Snapshot().Nodes {
		if !slices.Contains(silent, n.Name) {
			nodes = append(nodes, n)
		}
	}
	for _, near := range []func(n *traffic.Node) bool{
		func(n *traffic.Node) bool { return n.DataCentre == dataCentre },
		func(n *traffic.Node) bool { return n.Region == region },
		func(*traffic.Node) bool { return true },
	} {
		if out := d.addresses(nodes, near); len(out) >= minNearbyNodes {
			return out
		}
	}
	return d.addresses(nodes, func(*traffic.Node) bool { return true })
}

func (d *directory) addresses(nodes []traffic.Node, near func(n *traffic.Node) bool) []string {
	var out []string
	for i := range nodes {
		n := &nodes[i]
		if n.Name == d.self.Name && (d.leaving.Load() || n.BootID != d.self.BootID) ||
			d.state.isLeaving(n.Name, n.BootID) || !near(n) || len(out) >= maxEntries {
			continue
		}
		out = append(out, n.Entry)
	}
	return out
}
