package placer

import "time"

// Load is the load that one node has put on an upstream.
type Load struct {
	Upstream uint32 // its Key
	Running  int
	// PrefillTokens is the number of tokens to prefill for requests without a first
	// event.
	PrefillTokens int
	// MemoryTokens is the memory of the running requests, in tokens.
	MemoryTokens int
	// Pinned is the number of running requests that can't move to another upstream.
	Pinned int
	// OldestWaitMS is how long the oldest request without a first event has waited.
	OldestWaitMS int64
	// ActivityAgeMS is the time since the node last received anything from the
	// upstream, plus 1; 0 for never.
	ActivityAgeMS int64
}

// Plus returns the sum of two loads of an upstream.
func (l Load) Plus(o Load) Load {
	return Load{
		Upstream: o.Upstream, Running: l.Running + o.Running, PrefillTokens: l.PrefillTokens + o.PrefillTokens, MemoryTokens: l.MemoryTokens + o.MemoryTokens,
		Pinned: l.Pinned + o.Pinned, OldestWaitMS: max(l.OldestWaitMS, o.OldestWaitMS),
		ActivityAgeMS: minAge(l.ActivityAgeMS, o.ActivityAgeMS),
	}
}

// minAge returns the smaller of two ages, where 0 stands for none.
func minAge(a, b int64) int64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// Minus returns l without o, which is part of the sum l. Counts don't go below 0.
func (l Load) Minus(o Load) Load {
	l.Running = max(0, l.Running-o.Running)
	l.PrefillTokens = max(0, l.PrefillTokens-o.PrefillTokens)
	l.MemoryTokens = max(0, l.MemoryTokens-o.MemoryTokens)
	l.Pinned = max(0, l.Pinned-o.Pinned)
	return l
}

// Placement is a placement hint for peers: where a prompt was sent.
type Placement struct {
	Upstream uint32 // its Key
	// Version is the version of the weights that computes the prefill.
	Version int
	// Cached is set if the cache store has the prompt too.
	Cached bool
	// Prefix is the chained hash of the parts that may be shared.
	Prefix uint64
}

// peerSum is the load that all peers have put on an upstream.
type peerSum struct {
	Load
	// oldestSince is when the oldest request of a peer without a first event was
	// sent, zero if there is none.
	oldestSince time.Time
	// lastActivity is when a peer last received anything from the upstream, zero for
	// never.
	lastActivity time.Time
}

func (p *peerSum) oldestWaitMS(now time.Time) float64 {
	if p.oldestSince.IsZero() {
		return 0
	}
	return float64(now.Sub(p.oldestSince)) / float64(time.Millisecond)
}

const (
	// maxReportedTripped bounds the size of a report.
	maxReportedTripped = 64
	// minTrippedPeers is the number of peers with an open circuit breaker at which an
	// upstream is excluded here as well. A single peer may have a bad link.
	minTrippedPeers = 2
)

// maxPlacements bounds the placement hints that are queued for peers.
const maxPlacements = 64

// TakePlacements returns the placement hints since the last call, and clears them.
func (p *Placer) TakePlacements() []Placement {
	out := p.placements
	p.placements = nil
	return out
}

// peerPrefillTime is the remaining prefill time of a prompt when a peer's hint about
// it arrives: hints arrive about 100 ms late, and the prefill takes up to 300 ms.
const peerPrefillTime = 200 * time.Millisecond

// AddPlacement adds a peer's placement hint to the index.
func (p *Placer) AddPlacement(now time.Time, pl Placement) {
	prefix := []uint64{pl.Prefix}
	p.index.add(now, prefix, indexEntry{upstreamKey: pl.Upstream, version: int32(pl.Version)}, peerPrefillTime)
	if pl.Cached {
		p.index.add(now, prefix, indexEntry{upstreamKey: cacheStoreKey, version: int32(pl.Version)}, peerPrefillTime)
	}
}

// LocalLoads returns the loads of the requests that this node has in flight.
func (p *Placer) LocalLoads(now time.Time) []Load {
	var out []Load
	for _, s := range p.states {
		if s.local.Running > 0 {
			l := s.local
			l.Upstream = s.key
			if len(s.waiting) > 0 {
				l.OldestWaitMS = now.Sub(s.waiting[0].since).Milliseconds()
			}
			if !s.lastActivity.IsZero() {
				l.ActivityAgeMS = now.Sub(s.lastActivity).Milliseconds() + 1
			}
			out = append(out, l)
		}
	}
	return out
}

// Report is the part of a node's traffic report that MergeReport takes.
type Report struct {
	Loads []Load
	// Settled is the number of a placement question. The advice for it and for all
	// earlier questions of the node is included in Loads or was dropped.
	Settled uint64
	// Tripped lists the keys of the upstreams whose circuit breaker is open at the
	// node.
	Tripped []uint32
}

// MergeReport replaces the report of a peer. Pending advice that the report settles
// is dropped, and so are outdated reports of other peers.
func (p *Placer) MergeReport(now time.Time, peer string, r Report) {
	pending := p.peers[peer].pending
	kept := pending[:0]
	for _, advice := range pending {
		if advice.question > r.Settled && now.Sub(advice.givenAt) < pendingAdviceTTL {
			kept = append(kept, advice)
		}
	}
	p.peers[peer] = peerReport{receivedAt: now, Report: r, pending: kept}
	for name, r := range p.peers {
		if now.Sub(r.receivedAt) > peerReportTTL {
			delete(p.peers, name)
		}
	}
	p.peerSumsValid = false
}

// sumPeers adds up the reports and the pending advice of all peers, unless the sums
// are up to date.
func (p *Placer) sumPeers(now time.Time) {
	if p.peerSumsValid && now.Sub(p.peerSumsAt) < peerReportTTL {
		return
	}
	p.peerSumsValid, p.peerSumsAt = true, now
	for _, s := range p.states {
		s.peers, s.trippedPeers = peerSum{}, 0
	}
	for _, r := range p.peers {
		if now.Sub(r.receivedAt) > peerReportTTL {
			continue
		}
		for _, l := range r.Loads {
			if s, ok := p.byKey[l.Upstream]; ok {
				s.peers.add(l, r.receivedAt.Add(-time.Duration(l.OldestWaitMS)*time.Millisecond))
				if at := r.receivedAt.Add(-time.Duration(l.ActivityAgeMS) * time.Millisecond); l.ActivityAgeMS > 0 && at.After(s.peers.lastActivity) {
					s.peers.lastActivity = at
				}
			}
		}
		for _, advice := range r.pending {
			if s, ok := p.byKey[advice.load.Upstream]; ok {
				s.peers.add(advice.load, advice.givenAt)
			}
		}
		if len(r.Tripped) > len(p.byKey)/2 {
			continue // more likely, the peer itself is cut off
		}
		for _, key := range r.Tripped {
			if s, ok := p.byKey[key]; ok {
				s.trippedPeers++
			}
		}
	}
}

// add adds the load of a peer, whose oldest request without a first event was sent
// at oldestSince.
func (p *peerSum) add(l Load, oldestSince time.Time) {
	p.Load = p.Plus(l)
	if l.OldestWaitMS > 0 && (p.oldestSince.IsZero() || oldestSince.Before(p.oldestSince)) {
		p.oldestSince = oldestSince
	}
}

// Tripped returns the keys of the upstreams whose circuit breaker is open at now.
func (p *Placer) Tripped(now time.Time) []uint32 {
	var out []uint32
	for _, s := range p.states {
		if s.registered && !s.breaker.Allows(now) && len(out) < maxReportedTripped {
			out = append(out, s.key)
		}
	}
	return out
}
