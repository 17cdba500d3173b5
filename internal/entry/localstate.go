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
	"github.com/auburnnotch/auburnnotch/pkg/detector"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/roster"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// leavingTTL is how long a leaving peer is omitted from the directory. By then its
// registration has ended, even if the store has executed its last renewal late.
const leavingTTL = 30 * time.Second

// leavingSuspension is how long peers send no new work to an upstream that has told this node
// that it is leaving. By then the registry doesn't list it as ready any more.
const leavingSuspension = 30 * time.Second

// localState connects the broadcaster with the node's other services. It
// implements broadcaster.LocalState, orderer.Traffic and adviser.Coordinator.
type localState struct {
	self        string // name of this node
	startedAt   time.Time
	clk         clock.Clock
	boot        boottime.Clock
	obs         *observer.Observer
	relay       *relayer.Relayer
	broadcaster *broadcaster.Broadcaster
	cache       *prober.Prober

	mu           sync.Mutex
	leaving      map[string]leavingPeer
	storeReaders map[string]time.Time // when each store reader last sent a message
	// betterReaderAt is when a store reader that ranks before this node last sent a
	// message.
	betterReaderAt time.Time
	sentLoads      []placer.Load // loads in the last message
	sentEvidence   int           // items of evidence for all nodes in the last message
}

// fleetTotal is the source name of totals over all other nodes.
const fleetTotal = "*"

type leavingPeer struct {
	bootID uint64
	at     time.Time
}

// Fill implements broadcaster.LocalState.
func (s *localState) Fill(m *broadcaster.Message) {
	s.relay.SetJudge(s.receivesAll())
	s.relay.SetFleet(s.limitFleet())
	t := s.relay.TakeReport()
	m.Report, m.Placements, m.Evidence, m.Samples = t.Report, t.Placements, t.Evidence, t.Samples
	s.fillLimits(m, &t)
	s.flushNewEvidence(t.Evidence)
	for _, key := range t.Leaving {
		s.broadcaster.AnnounceSuspension(key, s.clk.Now().Add(leavingSuspension))
	}
	d, fresh := s.obs.Digest()
	m.Revision, m.Hash, m.LatestConfig = d.Revision, d.Hash, d.ConfigVersion
	fleet := s.roster()
	m.StoreReader = fresh && s.readsForOthers()
	m.CacheStoreDown = s.cache.AllDown()
	if fleet.Rank(s.self) == 0 && len(fleet.Nodes()) > 0 {
		s.relay.SetPlacingNodes(1)
	} else {
		s.relay.SetPlacingNodes(len(fleet.Nodes()))
	}
	s.mu.Lock()
	s.sentLoads = t.Loads
	s.mu.Unlock()
	proof := s.obs.Proof()
	if age, ok := proof.Age(s.boot.Elapsed()); ok {
		m.ConfigVersion, m.ProofAgeMS = proof.Version(), age.Milliseconds()+1
	}
	if since, now := s.obs.StoreInReachSince(), s.clk.Now(); !since.IsZero() {
		m.StoreAgeMS = now.Sub(since).Milliseconds()
	}
	if v := s.obs.View(); v != nil {
		now := s.clk.Now()
		for model, versions := range v.Versions {
			for _, w := range versions {
				m.Announcements = append(m.Announcements, broadcaster.Announcement{Model: model, Version: w.Version, AgeMS: now.Sub(w.AnnouncedAt).Milliseconds()})
			}
		}
	}
}

// flushNewEvidence sends the next message to all nodes of a large fleet if it has more
// evidence than the last one: each of them may clear a suspect, or claim the same trial.
func (s *localState) flushNewEvidence(e detector.Evidence) {
	size := len(e.Suspects) + len(e.Cleared) + len(e.Poisons) + len(e.Claims)
	s.mu.Lock()
	grown := size > s.sentEvidence
	s.sentEvidence = size
	s.mu.Unlock()
	if grown && s.receivesAll() {
		s.broadcaster.FlushEvents()
	}
}

// readsForOthers reports whether this node reads the store for other nodes.
func (s *localState) readsForOthers() bool {
	s.mu.Lock()
	since := s.startedAt
	if s.betterReaderAt.After(since) {
		since = s.betterReaderAt
	}
	s.mu.Unlock()
	return s.roster().ReadsStore(s.self, s.clk.Now().Sub(since))
}

// pace returns when this node reads the store for itself.
func (s *localState) pace() roster.Pace { return s.roster().Pace(s.self) }

// Receive implements broadcaster.LocalState.
func (s *localState) Receive(m *broadcaster.Message) {
	now := s.clk.Now()
	s.mergeLoads(m)
	s.mergeLimits(m)
	s.relay.MergeEvidence(m.Evidence)
	if m.StoreReader {
		s.mu.Lock()
		s.storeReaders[m.From] = now
		if s.roster().Rank(m.From) < s.roster().Rank(s.self) {
			s.betterReaderAt = now
		}
		s.mu.Unlock()
		d := observer.Digest{Revision: m.Revision, Hash: m.Hash, ConfigVersion: m.LatestConfig}
		for _, w := range m.Announcements {
			d.Weights = append(d.Weights, traffic.Weights{Model: w.Model, Version: w.Version})
		}
		s.obs.ReceiveDigest(m.From, d)
		s.cache.ReceiveState(m.CacheStoreDown)
	}
	if m.StoreAgeMS > 0 {
		s.obs.ReceiveOutage(time.Duration(m.StoreAgeMS) * time.Millisecond)
	}
	for _, w := range m.Announcements {
		s.obs.ReceiveAnnouncement(w.Model, w.Version, time.Duration(w.AgeMS)*time.Millisecond)
	}
	for _, c := range m.Suspensions {
		if inc := s.relay.Incarnation(c.Upstream); inc != "" {
			s.relay.Suspend(inc, now.Add(time.Duration(c.DurationMS)*time.Millisecond))
		}
	}
	for _, u := range m.Upgrades {
		if inc := s.relay.Incarnation(u.Upstream); inc != "" {
			s.relay.RecordUpgrade(inc, u.Model, u.Version)
		}
	}
	// The peer measured the proof's age after it had received Echo, so the
	// proof isn't older than Echo minus that age.
	if m.ProofAgeMS >= 0 && m.Echo > 0 {
		s.obs.ReceiveProof(m.ConfigVersion, time.Duration(m.Echo)-time.Duration(m.ProofAgeMS)*time.Millisecond)
	}
	if m.Leaving {
		s.mu.Lock()
		s.leaving[m.From] = leavingPeer{bootID: m.BootID, at: now}
		s.mu.Unlock()
	}
}

// mergeLoads merges the loads of each peer in a small fleet and on aggregators,
// and the totals of an aggregator on other nodes.
func (s *localState) mergeLoads(m *broadcaster.Message) {
	each := s.receivesAll()
	switch {
	case each && !m.Aggregated:
		s.relay.MergeReport(m.From, relayer.TrafficReport{Report: m.Report, Placements: m.Placements, Samples: m.Samples})
	case !each && m.Aggregated:
		s.relay.MergeReport(fleetTotal, relayer.TrafficReport{Report: placer.Report{Loads: s.subtractOwn(m.Loads)}, Placements: m.Placements})
	}
}

// subtractOwn subtracts this node's own loads, as last sent, from totals.
func (s *localState) subtractOwn(sum []placer.Load) []placer.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := make(map[uint32]placer.Load, len(s.sentLoads))
	for _, l := range s.sentLoads {
		own[l.Upstream] = l
	}
	for i, l := range sum {
		sum[i] = l.Minus(own[l.Upstream])
	}
	return sum
}

// roster returns the registered nodes with their fleet-wide roles.
func (s *localState) roster() *roster.Roster { return s.obs.Snapshot().Roster }

// receivesAll reports whether every node sends its traffic report to this node.
func (s *localState) receivesAll() bool {
	fleet := s.roster()
	return fleet.FullMesh() || fleet.IsAggregator(s.self)
}

// isLeaving reports whether a node has announced that it is leaving.
func (s *localState) isLeaving(name string, bootID uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leaving[name]
	return ok && l.bootID == bootID && s.clk.Now().Sub(l.at) < leavingTTL
}

// storeReaderTTL is how long a message of a store reader is valid. It spans
// three messages in a large fleet.
const storeReaderTTL = 1500 * time.Millisecond

// ReadsStore implements adviser.Coordinator.
func (s *localState) ReadsStore(node string) bool {
	if node == s.self {
		_, fresh := s.obs.Digest()
		return fresh
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clk.Now().Sub(s.storeReaders[node]) < storeReaderTTL
}

// Advise implements adviser.Coordinator.
func (s *localState) Advise(peer string, question uint64, q *placer.Query) (placer.Advice, placer.Verdict) {
	return s.relay.Advise(peer, question, q)
}

// Suspend implements orderer.Traffic.
func (s *localState) Suspend(incarnation string, until time.Time) {
	s.relay.Suspend(incarnation, until)
	s.broadcaster.AnnounceSuspension(placer.Key(incarnation), until)
}

// RecordUpgrade implements orderer.Traffic.
func (s *localState) RecordUpgrade(incarnation, model string, version int) {
	s.relay.RecordUpgrade(incarnation, model, version)
	s.broadcaster.AnnounceUpgrade(broadcaster.Upgrade{Upstream: placer.Key(incarnation), Model: model, Version: version})
}

// Status implements orderer.Traffic.
func (s *localState) Status(incarnation string) placer.UpstreamStatus {
	return s.relay.Status(incarnation)
}
