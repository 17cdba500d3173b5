package placer

import (
	"math"
	"time"
)

// prefixMatch is how much of a prompt an engine, or the store of cached parts, is
// believed to hold.
type prefixMatch struct {
	state   *upstreamState // nil for the store
	version int
	tokens  int
	// probability is the chance that it hasn't been evicted since.
	probability float64
	usable      bool // as a source for engines
	// prefillRemainingMs is for how long it is still being read there.
	prefillRemainingMs float64
}

// prefixMatches is what is believed of the holders of one prompt.
type prefixMatches []prefixMatch

// expectedPrefix is what an engine would find of the shared parts of a prompt.
type expectedPrefix struct {
	available float64 // tokens, its own and fetched
	own       float64 // of these, its own
	// fetched tokens of have come from source; nil for none.
	fetched float64
	source  *prefixMatch
	// stored is how many tokens the store of cached parts holds.
	stored float64
}

const (
	// engineCacheLifetime is the time after which an engine still holds a part with a
	// chance of 1 in e.
	engineCacheLifetime = 9 * time.Second
	// maxCacheStoreLifetime and shortestKept bound the same time of the store of cached
	// parts, which follows from its size and what is saved there.
	maxCacheStoreLifetime = 12 * time.Second
	minCacheStoreLifetime = time.Second
	// saveWindow is the time over which saving is averaged.
	saveWindow = 3 * time.Second
	// minSaveLifetime is the time below which the store keeps parts for too short to
	// save those that nobody has asked for before.
	minSaveLifetime = 6 * time.Second
)

// saveRate follows how much this node saves in the store of cached parts.
type saveRate struct {
	tokens float64 // of the last saveMemory, fading
	at     time.Time
}

func (s *saveRate) add(now time.Time, tokens int) {
	s.tokens = s.decayed(now) + float64(tokens)
	s.at = now
}

func (s *saveRate) decayed(now time.Time) float64 {
	return s.tokens * math.Exp(-float64(now.Sub(s.at))/float64(saveWindow))
}

// cacheStoreLifetime returns how long the store of cached parts keeps one, if the other
// nodes save as much as this one.
func (p *Placer) cacheStoreLifetime(now time.Time, q *Query) time.Duration {
	rate := p.saveRate.decayed(now) * float64(max(1, p.placingNodes)) / float64(saveWindow)
	if rate <= 0 || q.CacheTokens <= 0 {
		return maxCacheStoreLifetime
	}
	return min(maxCacheStoreLifetime, max(minCacheStoreLifetime, time.Duration(float64(q.CacheTokens)/rate)))
}

// findMatches finds the engines that hold the shared parts of the prompt, or its
// first ones: who holds a part holds all before it too.
func (p *Placer) findMatches(now time.Time, q *Query) prefixMatches {
	p.matches = p.matches[:0]
	tokens := q.Prompt.Shared()
	for i := len(p.hashes) - 2; i >= 0; i-- {
		for _, entry := range p.index.find(p.hashes[i]) {
			m, ok := p.matchOf(now, entry, q)
			if !ok || p.matches.hasDeeper(m) {
				continue
			}
			m.tokens = tokens
			p.matches = append(p.matches, m)
		}
		tokens -= q.Prompt.Parts[i].Tokens
	}
	return p.matches
}

// hasDeeper reports whether a deeper part of the same holder is known.
func (pm prefixMatches) hasDeeper(m prefixMatch) bool {
	for _, x := range pm {
		if x.state == m.state && x.version == m.version {
			return true
		}
	}
	return false
}

// coverShared reports whether all shared parts of the prompt were asked for lately.
func (pm prefixMatches) coverShared(q *Query) bool {
	return len(pm) > 0 && pm[0].tokens == q.Prompt.Shared()
}

// matchOf reads what a holder is worth at now.
func (p *Placer) matchOf(now time.Time, entry indexEntry, q *Query) (prefixMatch, bool) {
	age := float64(p.index.age(now, entry))
	if entry.upstreamKey == cacheStoreKey {
		if q.CacheAddress == "" || entry.version == 0 {
			return prefixMatch{}, false
		}
		return prefixMatch{
			version: int(entry.version), probability: math.Exp(-age / float64(p.cacheStoreLifetime(now, q))), usable: true, prefillRemainingMs: p.prefillRemainingMs(now, entry),
		}, true
	}
	s := p.byKey[entry.upstreamKey]
	if s == nil || !s.registered || entry.version != int32(s.version(q.Prompt.Model)) {
		return prefixMatch{}, false
	}
	usable := !s.up.Draining && s.breaker.Allows(now) && s.up.Service == q.Service && !now.Before(s.suspendedUntil)
	return prefixMatch{
		state: s, version: int(entry.version), probability: math.Exp(-age / float64(engineCacheLifetime)), usable: usable, prefillRemainingMs: p.prefillRemainingMs(now, entry),
	}, true
}

func (p *Placer) prefillRemainingMs(now time.Time, entry indexEntry) float64 {
	return float64(p.index.prefillRemaining(now, entry)) / float64(time.Millisecond)
}

// expect weighs what an engine holds itself and where the rest is best fetched
// from, once the engine turns to the prompt after a wait in ms.
func (pm prefixMatches) expect(s *upstreamState, version int, delay float64) expectedPrefix {
	var e expectedPrefix
	own := 0.0
	for i := range pm {
		m := &pm[i]
		if m.version != version {
			continue
		}
		switch {
		case m.state == s:
			own = float64(m.tokens) * m.probability
		case m.state == nil:
			e.stored = float64(m.tokens) * m.probability
		}
	}
	e.available, e.own = own, own
	for i := range pm {
		m := &pm[i]
		if m.version != version || m.state == s || !m.usable || m.prefillRemainingMs > delay {
			continue
		}
		if fetched := (float64(m.tokens) - own) * m.probability; own+fetched > e.available {
			e.available, e.fetched, e.source = own+fetched, fetched, m
		}
	}
	return e
}
