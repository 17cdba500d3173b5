package placer

import (
	"math"
	"time"
)

// prefixMatch is the longest prefix of a prompt that an engine, or the cache store,
// is expected to have cached on a version of the weights.
type prefixMatch struct {
	state   *upstreamState // nil for the cache store
	version int
	tokens  int
	// probability is the chance that the prefix hasn't been evicted since.
	probability float64
	usable      bool // as a source for other engines
	// prefillRemainingMS is the time until the prefill of the prefix is complete.
	prefillRemainingMS float64
}

// prefixMatches holds the matches of one prompt, longest first.
type prefixMatches []prefixMatch

// expectedPrefix is the expected number of prompt tokens that an engine doesn't
// have to prefill.
type expectedPrefix struct {
	available float64 // own and fetched tokens
	own       float64 // tokens in the engine's own cache
	// fetched is the number of tokens that come from source, which is nil for none.
	fetched float64
	source  *prefixMatch
	// stored is the number of tokens in the cache store.
	stored float64
}

const (
	// engineCacheLifetime is the time constant of eviction at an engine: after it, a
	// part is still cached with a probability of 1/e.
	engineCacheLifetime = 9 * time.Second
	// maxCacheStoreLifetime and minCacheStoreLifetime bound the time constant of the
	// cache store, which follows from its capacity and the rate of saves.
	maxCacheStoreLifetime = 12 * time.Second
	minCacheStoreLifetime = time.Second
	// saveWindow is the time constant of the average rate of saves.
	saveWindow = 3 * time.Second
	// minSaveLifetime is the time constant of the cache store below which only parts
	// that were requested before are saved: others would be evicted too early.
	minSaveLifetime = 6 * time.Second
)

// saveRate is an exponentially decaying sum of the tokens that this node saves in
// the cache store.
type saveRate struct {
	tokens float64 // sum at the time at
	at     time.Time
}

func (s *saveRate) add(now time.Time, tokens int) {
	s.tokens = s.decayed(now) + float64(tokens)
	s.at = now
}

func (s *saveRate) decayed(now time.Time) float64 {
	return s.tokens * math.Exp(-float64(now.Sub(s.at))/float64(saveWindow))
}

// cacheStoreLifetime returns the time constant of eviction at the cache store,
// provided that each of the other placing nodes saves as much as this one.
func (p *Placer) cacheStoreLifetime(now time.Time, q *Query) time.Duration {
	rate := p.saveRate.decayed(now) * float64(max(1, p.placingNodes)) / float64(saveWindow)
	if rate <= 0 || q.CacheTokens <= 0 {
		return maxCacheStoreLifetime
	}
	return min(maxCacheStoreLifetime, max(minCacheStoreLifetime, time.Duration(float64(q.CacheTokens)/rate)))
}

// findMatches returns the engines that cache all or some leading ones of the shared
// parts of the prompt, and the cache store if it does. It starts at the longest
// prefix, since an engine that has a part also has all parts before it.
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

// hasDeeper reports whether pm has a longer prefix of the same engine and version.
func (pm prefixMatches) hasDeeper(m prefixMatch) bool {
	for _, known := range pm {
		if known.state == m.state && known.version == m.version {
			return true
		}
	}
	return false
}

// coverShared reports whether any match covers all shared parts, that is, whether
// they were requested before.
func (pm prefixMatches) coverShared(q *Query) bool {
	return len(pm) > 0 && pm[0].tokens == q.Prompt.Shared()
}

// matchOf returns the match for an index entry at now, without its tokens, and
// whether the entry is valid for q.
func (p *Placer) matchOf(now time.Time, entry indexEntry, q *Query) (prefixMatch, bool) {
	age := float64(p.index.age(now, entry))
	if entry.upstreamKey == cacheStoreKey {
		if q.CacheAddress == "" || entry.version == 0 {
			return prefixMatch{}, false
		}
		return prefixMatch{
			version: int(entry.version), probability: math.Exp(-age / float64(p.cacheStoreLifetime(now, q))), usable: true, prefillRemainingMS: p.prefillRemainingMS(now, entry),
		}, true
	}
	s := p.byKey[entry.upstreamKey]
	if s == nil || !s.registered || entry.version != int32(s.version(q.Prompt.Model)) {
		return prefixMatch{}, false
	}
	usable := !s.up.Draining && s.breaker.Allows(now) && s.up.Service == q.Service && !now.Before(s.suspendedUntil)
	return prefixMatch{
		state: s, version: int(entry.version), probability: math.Exp(-age / float64(engineCacheLifetime)), usable: usable, prefillRemainingMS: p.prefillRemainingMS(now, entry),
	}, true
}

func (p *Placer) prefillRemainingMS(now time.Time, entry indexEntry) float64 {
	return float64(p.index.prefillRemaining(now, entry)) / float64(time.Millisecond)
}

// expect returns the prefix that an engine is expected to have when it starts the
// prefill after a delay in milliseconds: its own cached parts, and more of them from
// the best source whose own prefill is complete by then.
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
		if m.version != version || m.state == s || !m.usable || m.prefillRemainingMS > delay {
			continue
		}
		if fetched := (float64(m.tokens) - own) * m.probability; own+fetched > e.available {
			e.available, e.fetched, e.source = own+fetched, fetched, m
		}
	}
	return e
}
