package placer

import (
	"math"
	"time"
)

// depth is how much of a prompt an engine, or the store of cached parts, is
// believed to hold.
type depth struct {
	state   *state // nil for the store
	version int
	tokens  int
	// likely is the chance that it hasn't been evicted since.
	likely float64
	usable bool // as a source for engines
	// unreadMs is for how long it is still being read there.
	unreadMs float64
}

// knowledge is what is believed of the holders of one prompt.
type knowledge []depth

// expectation is what an engine would find of the shared parts of a prompt.
type expectation struct {
	have float64 // tokens, its own and fetched
	own  float64 // of these, its own
	// fetched tokens of have come from source; nil for none.
	fetched float64
	source  *depth
	// kept is how many tokens the store of cached parts holds.
	kept float64
}

const (
	// engineKeeps is the time after which an engine still holds a part with a
	// chance of 1 in e.
	engineKeeps = 9 * time.Second
	// longestKept and shortestKept bound the same time of the store of cached
	// parts, which follows from its size and what is saved there.
	longestKept  = 12 * time.Second
	shortestKept = time.Second
	// saveMemory is the time over which saving is averaged.
	saveMemory = 3 * time.Second
	// crowded is the time below which the store keeps parts for too short to
	// save those that nobody has asked for before.
	crowded = 6 * time.Second
)

// saving follows how much this node saves in the store of cached parts.
type saving struct {
	tokens float64 // of the last saveMemory, fading
	at     time.Time
}

func (s *saving) add(now time.Time, tokens int) {
	s.tokens = s.faded(now) + float64(tokens)
	s.at = now
}

func (s *saving) faded(now time.Time) float64 {
	return s.tokens * math.Exp(-float64(now.Sub(s.at))/float64(saveMemory))
}

// cacheKeeps returns how long the store of cached parts keeps one, if the other
// nodes save as much as this one.
func (p *Placer) cacheKeeps(now time.Time, q *Query) time.Duration {
	rate := p.saving.faded(now) * float64(max(1, p.nodes)) / float64(saveMemory)
	if rate <= 0 || q.CacheTokens <= 0 {
		return longestKept
	}
	return min(longestKept, max(shortestKept, time.Duration(float64(q.CacheTokens)/rate)))
}

// lookUp finds the engines that hold the shared parts of the prompt, or its
// first ones: who holds a part holds all before it too.
func (p *Placer) lookUp(now time.Time, q *Query) knowledge {
	p.known = p.known[:0]
	tokens := q.Prompt.Shared()
	for i := len(p.chain) - 2; i >= 0; i-- {
		for _, by := range p.held.find(p.chain[i]) {
			d, ok := p.holding(now, by, q)
			if !ok || p.known.has(d) {
				continue
			}
			d.tokens = tokens
			p.known = append(p.known, d)
		}
		tokens -= q.Prompt.Parts[i].Tokens
	}
	return p.known
}

// has reports whether a deeper part of the same holder is known.
func (k knowledge) has(d depth) bool {
	for _, x := range k {
		if x.state == d.state && x.version == d.version {
			return true
		}
	}
	return false
}

// seen reports whether all shared parts of the prompt were asked for lately.
func (k knowledge) seen(q *Query) bool {
	return len(k) > 0 && k[0].tokens == q.Prompt.Shared()
}

// holding reads what a holder is worth at now.
func (p *Placer) holding(now time.Time, by holder, q *Query) (depth, bool) {
	age := float64(p.held.age(now, by))
	if by.key == cacheKey {
		if q.CacheAddress == "" || by.version == 0 {
			return depth{}, false
		}
		return depth{
			version: int(by.version), likely: math.Exp(-age / float64(p.cacheKeeps(now, q))), usable: true, unreadMs: p.unreadMs(now, by),
		}, true
	}
	s := p.keys[by.key]
	if s == nil || !s.present || by.version != int32(s.version(q.Prompt.Model)) {
		return depth{}, false
	}
	usable := !s.up.Draining && s.breaker.Allows(now) && s.up.Service == q.Service && !now.Before(s.closedUntil)
	return depth{
		state: s, version: int(by.version), likely: math.Exp(-age / float64(engineKeeps)), usable: usable, unreadMs: p.unreadMs(now, by),
	}, true
}

func (p *Placer) unreadMs(now time.Time, by holder) float64 {
	return float64(p.held.unread(now, by)) / float64(time.Millisecond)
}

// expect weighs what an engine holds itself and where the rest is best fetched
// from, once the engine turns to the prompt after a wait in ms.
func (k knowledge) expect(s *state, version int, wait float64) expectation {
	var e expectation
	own := 0.0
	for i := range k {
		d := &k[i]
		if d.version != version {
			continue
		}
		switch {
		case d.state == s:
			own = float64(d.tokens) * d.likely
		case d.state == nil:
			e.kept = float64(d.tokens) * d.likely
		}
	}
	e.have, e.own = own, own
	for i := range k {
		d := &k[i]
		if d.version != version || d.state == s || !d.usable || d.unreadMs > wait {
			continue
		}
		if brought := (float64(d.tokens) - own) * d.likely; own+brought > e.have {
			e.have, e.fetched, e.source = own+brought, brought, d
		}
	}
	return e
}
