package broadcaster

import (
	"slices"

	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// SilentNodes returns the registered nodes that callers shouldn't be directed to, since
// they have sent no message recently. In a large fleet, only the aggregators receive
// messages from all nodes, and report to the others which ones are silent.
func (b *Broadcaster) SilentNodes() []string {
	fleet := b.fleet()
	b.mu.Lock()
	defer b.mu.Unlock()
	if fleet.FullMesh() || fleet.IsAggregator(b.self.Name) {
		return b.unheardNodes(fleet.Nodes())
	}
	return b.reportedSilentNodes(fleet)
}

// KnowsFleet reports whether this node knows which of the registered nodes are running. One
// that has just started doesn't until it hears from most of them or, in a large fleet,
// has received a report about them.
func (b *Broadcaster) KnowsFleet() bool {
	fleet := b.fleet()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.clk.Now().Sub(b.startedAt) > hearingTime {
		return true
	}
	if fleet.FullMesh() || fleet.IsAggregator(b.self.Name) {
		_, ok := b.listUnheard(fleet.Nodes())
		return ok
	}
	return b.hasReport
}

// NeverHeard returns the registered nodes that this node has heard nothing from since its
// start. In a large fleet only the aggregators hear all nodes; others know of none.
func (b *Broadcaster) NeverHeard() []string {
	fleet := b.fleet()
	b.mu.Lock()
	defer b.mu.Unlock()
	if !fleet.FullMesh() && !fleet.IsAggregator(b.self.Name) {
		return nil
	}
	var out []string
	for _, n := range fleet.Nodes() {
		if _, heard := b.lastReceived[n.Name]; !heard && n.Name != b.self.Name {
			out = append(out, n.Name)
		}
	}
	return out
}

// unheardNodes returns the nodes that this node has heard nothing from. If these are
// half of the nodes or more, it knows too little, and returns the last report: it is
// probably cut off itself, or has just become an aggregator.
func (b *Broadcaster) unheardNodes(nodes []traffic.Node) []string {
	if out, ok := b.listUnheard(nodes); ok {
		b.reportedSilent = out // for the time when another node is the aggregator
	}
	return slices.Clone(b.reportedSilent)
}

// hearsMostNodes reports whether this node hears enough of the fleet to report on it.
func (b *Broadcaster) hearsMostNodes(nodes []traffic.Node) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.listUnheard(nodes)
	return ok
}

// listUnheard returns the nodes that this node has heard nothing from. ok is false if
// these are half of the nodes or more.
func (b *Broadcaster) listUnheard(nodes []traffic.Node) (unheard []string, ok bool) {
	now := b.clk.Now()
	var out []string
	for i := range nodes {
		if name := nodes[i].Name; name != b.self.Name && now.Sub(b.lastReceived[name]) > silenceThreshold {
			out = append(out, name)
		}
	}
	return out, 2*len(out) < len(nodes)
}

// reportedSilentNodes returns the last report of an aggregator, which stays valid for a
// node that is cut off from all others, and the aggregators that are silent themselves
// while other nodes are heard.
func (b *Broadcaster) reportedSilentNodes(fleet *roster.Roster) []string {
	now := b.clk.Now()
	out := slices.Clone(b.reportedSilent)
	hearsOthers := false
	for _, at := range b.lastReceived {
		hearsOthers = hearsOthers || now.Sub(at) <= aggregatorSilence
	}
	if !hearsOthers || now.Sub(b.startedAt) <= aggregatorSilence {
		return out
	}
	for _, n := range fleet.Aggregators() {
		if now.Sub(b.lastReceived[n.Name]) > aggregatorSilence && !slices.Contains(out, n.Name) {
			out = append(out, n.Name)
		}
	}
	return out
}
