package placer

import "time"

// Load is what one node has sent to an upstream.
type Load struct {
	Upstream uint32 // its Key
	Running  int
	// PrefillTokens is the prompt tokens without a first event yet.
	PrefillTokens int
	// MemoryTokens is the memory of the running requests, in tokens.
	MemoryTokens int
	// Pinned is how many of the running requests can't go on elsewhere.
	Pinned int
	// OldestWaitMS is how long the oldest request without a first event waits.
	OldestWaitMS int64
	// ActivityAgeMS is how long ago the node has had a sign of life of it, plus 1; 0
	// for never.
	ActivityAgeMS int64
}

// Plus returns the sum of what two nodes have sent to an upstream.
func (l Load) Plus(o Load) Load {
	return Load{
		Upstream: o.Upstream, Running: l.Running + o.Running, PrefillTokens: l.PrefillTokens + o.PrefillTokens, MemoryTokens: l.MemoryTokens + o.MemoryTokens,
		Pinned: l.Pinned + o.Pinned, OldestWaitMS: max(l.OldestWaitMS, o.OldestWaitMS),
		ActivityAgeMS: minAge(l.ActivityAgeMS, o.ActivityAgeMS),
	}
}

// minAge returns the smaller age of two, where 0 stands for none.
func minAge(a, b int64) int64 {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// Minus returns what is left of a sum without a part of it.
func (l Load) Minus(o Load) Load {
	l.Running = max(0, l.Running-o.Running)
	l.PrefillTokens = max(0, l.PrefillTokens-o.PrefillTokens)
	l.MemoryTokens = max(0, l.MemoryTokens-o.MemoryTokens)
	l.Pinned = max(0, l.Pinned-o.Pinned)
	return l
}

// Placement tells where a prompt was sent.
type Placement struct {
	Upstream uint32 // its Key
	// Version is that of the weights that the prompt is read on.
	Version int
	// Cached says that the store of cached parts has it too.
	Cached bool
	// Prefix is the chained hash of the parts that may be shared.
	Prefix uint64
}

// peerSum is what all peers have sent to an upstream.
type peerSum struct {
	Load
	// oldestSince is since when a request of a peer waits; zero for none.
	oldestSince time.Time
	// lastActivity is the last sign of life that a peer has had; zero for none.
	lastActivity time.Time
}

func (p *peerSum) oldestWaitMs(now time.Time) float64 {
	if p.oldestSince.IsZero() {
		return 0
	}
	return float64(now.Sub(p.oldestSince)) / float64(time.Millisecond)
}

const (
	// maxReportedTripped bounds a report.
	maxReportedTripped = 64
	// minTrippedPeers is how many nodes' failures keep an upstream from the work
	// of all: one alone may have a bad link.
	minTrippedPeers = 2
)

// maxPlacements bounds what waits to be told to peers.
const maxPlacements = 64

// TakePlacements returns where prompts were sent since the last call.
func (p *Placer) TakePlacements() []Placement {
	out := p.placements
	p.placements = nil
	return out
}

// peerPrefillTime is how long the engine still reads a prompt of which a peer tells:
// one is told of about 100 ms late, and read in up to 300 ms.
const peerPrefillTime = 200 * time.Millisecond

// AddPlacement takes a peer's word about where it sent a prompt.
func (p *Placer) AddPlacement(now time.Time, pl Placement) {
	prefix := []uint64{pl.Prefix}
	p.index.add(now, prefix, indexEntry{upstreamKey: pl.Upstream, version: int32(pl.Version)}, peerPrefillTime)
	if pl.Cached {
		p.index.add(now, prefix, indexEntry{upstreamKey: cacheStoreKey, version: int32(pl.Version)}, peerPrefillTime)
	}
}

// LocalLoads returns what this node has sent and not seen end.
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

// Report is what a node tells of its own traffic.
type Report struct {
	Loads []Load
	// Settled is the last question up to which all of the node's questions to a
	// node in charge have shown in Loads, or were dropped.
	Settled uint64
	// Tripped are the upstreams that the node keeps from work for their failures.
	Tripped []uint32
}

// MergeReport takes the report of a peer.
func (p *Placer) MergeReport(now time.Time, peer string, r Report) {
	pending := p.peers[peer].pending
	kept := pending[:0]
	for _, g := range pending {
		if g.question > r.Settled && now.Sub(g.givenAt) < pendingAdviceTTL {
			kept = append(kept, g)
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

// sumPeers adds up what the peers have sent, unless nothing has changed since.
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
		for _, g := range r.pending {
			if s, ok := p.byKey[g.load.Upstream]; ok {
				s.peers.add(g.load, g.givenAt)
			}
		}
		if len(r.Tripped) > len(p.byKey)/2 {
			continue // the node itself is cut off
		}
		for _, key := range r.Tripped {
			if s, ok := p.byKey[key]; ok {
				s.trippedPeers++
			}
		}
	}
}

// add counts what a peer has sent, of which the oldest without a first event
// waits since a time.
func (p *peerSum) add(l Load, oldestSince time.Time) {
	p.Load = p.Plus(l)
	if l.OldestWaitMS > 0 && (p.oldestSince.IsZero() || oldestSince.Before(p.oldestSince)) {
		p.oldestSince = oldestSince
	}
}

// Tripped returns the upstreams that are kept from work for their failures.
func (p *Placer) Tripped(now time.Time) []uint32 {
	var out []uint32
	for _, s := range p.states {
		if s.registered && !s.breaker.Allows(now) && len(out) < maxReportedTripped {
			out = append(out, s.key)
		}
	}
	return out
}
