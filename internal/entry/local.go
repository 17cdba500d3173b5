package entry

import (
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/boottime"
	"github.com/auburnnotch/auburnnotch/internal/broadcaster"
	"github.com/auburnnotch/auburnnotch/internal/observer"
	"github.com/auburnnotch/auburnnotch/internal/prober"
	"github.com/auburnnotch/auburnnotch/internal/relayer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
)

// leavingTTL is how long a peer that leaves isn't listed: it is off the
// registered nodes by then.
const leavingTTL = 15 * time.Second

// localState joins the broadcaster with what the node knows. It implements
// broadcaster.Local and orderer.Traffic.
type localState struct {
	self        string // name of this node
	clk         clock.Clock
	boot        boottime.Clock
	obs         *observer.Observer
	relay       *relayer.Relayer
	broadcaster *broadcaster.Broadcaster
	cache       *prober.Prober

	mu             sync.Mutex
	leaving        map[string]leavingPeer
	storeReaders   map[string]time.Time // when hubs were heard that read the store
	silent         []string             // nodes that a hub doesn't hear from
	silentReceived time.Time            // of the last word about them
	sentLoads      []placer.Load        // in the last message
}

// fleetTotal stands for all other nodes as the source of a sum.
const fleetTotal = "*"

type leavingPeer struct {
	boot uint64
	at   time.Time
}

// Fill implements broadcaster.Local.
func (g *localState) Fill(m *broadcaster.Message) {
	t := g.relay.TakeReport()
	m.Report, m.Placements = t.Report, t.Placements
	d, fresh := g.obs.Digest()
	m.Revision, m.Hash, m.LatestConfig = d.Revision, d.Hash, d.ConfigVersion
	fleet := g.roster()
	m.StoreReader = fresh && fleet.IsAggregator(g.self)
	m.CacheStoreDown = g.cache.Down()
	if fleet.Rank(g.self) == 0 && len(fleet.Nodes()) > 0 {
		g.relay.SetPlacingNodes(1)
	} else {
		g.relay.SetPlacingNodes(len(fleet.Nodes()))
	}
	g.mu.Lock()
	g.sentLoads = t.Loads
	g.mu.Unlock()
	proof := g.obs.Proof()
	if age, ok := proof.Age(g.boot.Elapsed()); ok {
		m.ConfigVersion, m.ProofAgeMS = proof.Version(), age.Milliseconds()+1
	}
	if v := g.obs.View(); v != nil {
		now := g.clk.Now()
		for model, versions := range v.Weights {
			for _, w := range versions {
				m.Announcements = append(m.Announcements, broadcaster.Announcement{Model: model, Version: w.Version, AgeMS: now.Sub(w.Known).Milliseconds()})
			}
		}
	}
}

// Receive implements broadcaster.Local.
func (g *localState) Receive(m *broadcaster.Message) {
	now := g.clk.Now()
	g.mergeLoads(m)
	if m.StoreReader {
		g.mu.Lock()
		g.storeReaders[m.From] = now
		g.mu.Unlock()
		g.obs.ReceiveDigest(observer.Digest{Revision: m.Revision, Hash: m.Hash, ConfigVersion: m.LatestConfig})
		g.cache.ReceiveState(m.CacheStoreDown)
	}
	for _, w := range m.Announcements {
		g.obs.ReceiveAnnouncement(w.Model, w.Version, time.Duration(w.AgeMS)*time.Millisecond)
	}
	for _, c := range m.Suspensions {
		if inc := g.relay.Incarnation(c.Upstream); inc != "" {
			g.relay.Suspend(inc, now.Add(time.Duration(c.DurationMS)*time.Millisecond))
		}
	}
	for _, u := range m.Upgrades {
		if inc := g.relay.Incarnation(u.Upstream); inc != "" {
			g.relay.RecordUpgrade(inc, u.Model, u.Version)
		}
	}
	// The peer's proof was of that age when it had heard of Echo already.
	if m.ProofAgeMS >= 0 && m.Echo > 0 {
		g.obs.ReceiveProof(m.ConfigVersion, time.Duration(m.Echo)-time.Duration(m.ProofAgeMS)*time.Millisecond)
	}
	if m.Leaving {
		g.mu.Lock()
		g.leaving[m.From] = leavingPeer{boot: m.BootID, at: now}
		g.mu.Unlock()
	}
}

// mergeLoads takes the loads of each peer in a small fleet and at a hub, and the
// sum that a hub tells elsewhere.
func (g *localState) mergeLoads(m *broadcaster.Message) {
	each := g.receivesAll()
	switch {
	case each && !m.Aggregated:
		g.relay.MergeReport(m.From, relayer.TrafficReport{Report: m.Report, Placements: m.Placements})
	case !each && m.Aggregated:
		g.mu.Lock()
		g.silent, g.silentReceived = m.SilentNodes, g.clk.Now()
		g.mu.Unlock()
		g.relay.MergeReport(fleetTotal, relayer.TrafficReport{Report: placer.Report{Loads: g.subtractOwn(m.Loads)}, Placements: m.Placements})
	}
}

// subtractOwn takes this node's own loads, as told last, out of a sum.
func (g *localState) subtractOwn(sum []placer.Load) []placer.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := make(map[uint32]placer.Load, len(g.sentLoads))
	for _, l := range g.sentLoads {
		own[l.Upstream] = l
	}
	for i, l := range sum {
		sum[i] = l.Minus(own[l.Upstream])
	}
	return sum
}

// roster returns the registered nodes and those that work for the others.
func (g *localState) roster() *roster.Roster { return g.obs.Snapshot().Roster }

// receivesAll reports whether every node tells this one of its traffic.
func (g *localState) receivesAll() bool {
	fleet := g.roster()
	return fleet.FullMesh() || fleet.IsAggregator(g.self)
}

// isLeaving reports whether a node has said that it leaves.
func (g *localState) isLeaving(name string, boot uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, ok := g.leaving[name]
	return ok && l.boot == boot && g.clk.Now().Sub(l.at) < leavingTTL
}

// storeReaderTTL is how long a hub's word that it reads the store counts: three of
// its messages in a large fleet.
const storeReaderTTL = 1500 * time.Millisecond

// Informed implements adviser.Placement.
func (g *localState) Informed(node string) bool {
	if node == g.self {
		_, fresh := g.obs.Digest()
		return fresh
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.clk.Now().Sub(g.storeReaders[node]) < storeReaderTTL
}

// Advise implements adviser.Placement.
func (g *localState) Advise(peer string, question uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	return g.relay.Advise(peer, question, q)
}

// silentTTL is how long a hub's word about silent nodes counts.
const silentTTL = 3 * time.Second

// silentNodes returns the registered nodes that give no sign of life.
func (g *localState) silentNodes() []string {
	if g.receivesAll() {
		return g.broadcaster.SilentNodes()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clk.Now().Sub(g.silentReceived) > silentTTL {
		return nil
	}
	return g.silent
}

// Suspend implements orderer.Traffic.
func (g *localState) Suspend(incarnation string, until time.Time) {
	g.relay.Suspend(incarnation, until)
	g.broadcaster.AnnounceSuspension(placer.Key(incarnation), until)
}

// RecordUpgrade implements orderer.Traffic.
func (g *localState) RecordUpgrade(incarnation, model string, version int) {
	g.relay.RecordUpgrade(incarnation, model, version)
	g.broadcaster.AnnounceUpgrade(broadcaster.Upgrade{Upstream: placer.Key(incarnation), Model: model, Version: version})
}

// Status implements orderer.Traffic.
func (g *localState) Status(incarnation string) placer.UpstreamStatus {
	return g.relay.Status(incarnation)
}
