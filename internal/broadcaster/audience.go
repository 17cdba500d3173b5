package broadcaster

import (
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// audience is the set of nodes that one round sends to.
type audience struct {
	fleet *roster.Roster
	// everyone is set if all nodes must learn something at once.
	everyone bool
	// relays is set if this node's messages keep the other nodes informed.
	relays bool
	round  int
}

// includes reports whether the round sends to the node at position i, besides the
// aggregators. The nodes take turns, since messages to hundreds of nodes at once
// would hold up the answers to questions on the link.
func (a audience) includes(i int) bool {
	return a.everyone || a.fleet.FullMesh() || a.relays && i%roundsPerTotal == a.round%roundsPerTotal
}

// broadcast sends one message to each node that should receive one. In a small
// fleet, each node sends to all others. In a large fleet, nodes send to the
// aggregators, and those that keep the others informed send to the rest.
func (b *Broadcaster) broadcast() {
	fleet := b.fleet()
	m := b.message()
	to := audience{fleet: fleet, everyone: b.takeEveryone(), relays: fleet.IsAggregator(b.self.Name) || m.StoreReader, round: b.round}
	readers := b.actingReaders()
	var others *Message
	for i, n := range fleet.Nodes() {
		switch {
		case n.Name == b.self.Name:
		case fleet.FullMesh(), fleet.IsAggregator(n.Name):
			b.sendMessage(&n, m)
		case to.includes(i), readers[n.Name]:
			if others == nil {
				others = b.messageToOthers(fleet, m)
			}
			b.sendMessage(&n, others)
		}
	}
	for _, n := range b.unregisteredLeavers(fleet) {
		switch {
		case fleet.FullMesh():
			b.sendMessage(&n, m)
		case to.relays && (to.everyone || to.includes(0)):
			if others == nil {
				others = b.messageToOthers(fleet, m)
			}
			b.sendMessage(&n, others)
		}
	}
}

// unregisteredLeavers returns the nodes in graceful shutdown that still send messages.
// They serve callers and answer as directories until they end, for which they need the
// state of the fleet.
func (b *Broadcaster) unregisteredLeavers(fleet *roster.Roster) []traffic.Node {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []traffic.Node
	for name, l := range b.leavers {
		_, registered := fleet.Find(name)
		switch {
		case b.clk.Now().Sub(l.at) > aggregatorSilence:
			delete(b.leavers, name)
		case !registered:
			out = append(out, traffic.Node{Name: name, Peer: l.peer})
		}
	}
	return out
}

// messageToOthers returns the message for the nodes of a large fleet that aren't
// aggregators. One aggregator adds the totals of the loads.
func (b *Broadcaster) messageToOthers(fleet *roster.Roster, m *Message) *Message {
	others := *m
	others.Loads, others.Placements, others.Tripped = nil, nil, nil
	// A receiver that has just become an aggregator must not take the usage so far for new.
	others.Usage, others.Samples = limiter.Report{Periods: m.Usage.Periods}, placer.Samples{}
	others.UpstreamUsage = limiter.Report{Periods: m.UpstreamUsage.Periods}
	others.Evidence = m.Evidence.WithoutReports()
	// A new aggregator that doesn't hear most nodes yet would report that none is silent.
	if !b.sendsTotals(fleet) || !b.hearsMostNodes(fleet.Nodes()) {
		return &others
	}
	others.Aggregated = true
	others.SilentNodes = b.SilentNodes()
	others.Loads = b.aggregator.total(b.clk.Now(), m.Loads)
	return &others
}

// sendsTotals reports whether this node is the first aggregator that isn't silent.
func (b *Broadcaster) sendsTotals(fleet *roster.Roster) bool {
	for _, n := range fleet.Aggregators() {
		if n.Name == b.self.Name {
			return true
		}
		b.mu.Lock()
		silent := b.clk.Now().Sub(b.lastReceived[n.Name]) > silenceThreshold
		b.mu.Unlock()
		if !silent {
			return false
		}
	}
	return false
}

// takeEveryone reports whether the next messages go to all nodes. Events wait for
// each other for eventFlushInterval; they are sent to the aggregators at once.
func (b *Broadcaster) takeEveryone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clk.Now()
	if !b.everyone && (!b.eventsPending || now.Sub(b.flushedAt) < eventFlushInterval) {
		return false
	}
	b.everyone, b.eventsPending, b.flushedAt = false, false, now
	return true
}

// actingReaders returns the nodes that read the store for others although they
// aren't aggregators. They need this node's messages in order to echo them.
func (b *Broadcaster) actingReaders() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]bool{}
	for name, at := range b.storeReaders {
		if b.clk.Now().Sub(at) < silenceThreshold {
			out[name] = true
		} else {
			delete(b.storeReaders, name)
		}
	}
	return out
}
