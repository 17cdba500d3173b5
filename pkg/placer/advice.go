package placer

import "time"

// pendingAdviceTTL is how long advice counts as followed without a report of the
// peer that includes it. It is long enough to survive the loss of several reports.
const pendingAdviceTTL = time.Second

// Advice is the choice that a coordinator makes for a peer. The fields without a
// comment are as in Choice.
type Advice struct {
	Upstream        uint32 // its Key
	Version         int
	Misses          int
	MemoryTokens    int // memory that the request takes at the engine, in tokens
	Running         int
	QueueingDelayMS float64
	// Source is the Key of the engine to fetch cached parts from, 0 for the cache
	// store, noSourceKey for neither.
	Source uint32
	// Save is set if the cache store should save the prompt.
	Save bool
	// Coordinator is the node that gave the advice; the asking node fills it in.
	Coordinator string `msgpack:"-"`
}

// pendingAdvice is advice that the peer's reports don't include yet.
type pendingAdvice struct {
	question uint64
	givenAt  time.Time
	load     Load
}

// Verdict is the result of a placement question.
type Verdict uint8

// The verdicts.
const (
	// Unanswered means that there is no advice: the asking node places the request
	// itself.
	Unanswered Verdict = iota
	// NoCapacity means that no upstream can take the request now.
	NoCapacity
	// Placed means that there is advice.
	Placed
)

// noSourceKey stands for no source in Advice: the cache store of the prompt is down.
const noSourceKey = 1

// Advise answers a peer's placement question. It assumes that the peer follows the
// advice, and counts it as load of the peer until the peer's reports settle the
// question. question numbers the peer's questions in ascending order.
func (p *Placer) Advise(now time.Time, peer string, question uint64, q *Query) (Advice, Verdict) {
	c, ok := p.Pick(now, q)
	switch {
	case !ok && len(p.services[q.Service]) == 0:
		return Advice{}, Unanswered
	case !ok:
		return Advice{}, NoCapacity
	}
	l := Load{Upstream: c.state.key, Running: 1, PrefillTokens: c.Misses, MemoryTokens: c.memoryTokens, OldestWaitMS: 1}
	if q.Pinned {
		l.Pinned = 1
	}
	r, known := p.peers[peer]
	if !known {
		r.receivedAt = now
	}
	r.pending = append(r.pending, pendingAdvice{question: question, givenAt: now, load: l})
	p.peers[peer] = r
	c.state.peers.add(l, now)
	if q.Prompt != nil {
		p.recordCachedParts(now, c, q)
	}
	source := c.sourceKey
	if c.Source == "" {
		source = noSourceKey
	}
	return Advice{
		Upstream: c.state.key, Version: c.Version, Misses: c.Misses, MemoryTokens: c.memoryTokens, Running: c.Running, QueueingDelayMS: c.QueueingDelayMS,
		Source: source, Save: c.SaveTo != "",
	}, Placed
}

// Follow turns advice for q into a choice. It returns false if this node doesn't have
// the upstream registered for the service of q, or if the upstream isn't eligible.
func (p *Placer) Follow(now time.Time, a Advice, q *Query) (Choice, bool) {
	p.lastResort = false
	s := p.byKey[a.Upstream]
	if s == nil || !s.registered || s.up.Service != q.Service || !p.eligible(now, s, q) {
		return Choice{}, false
	}
	c := Choice{
		Upstream: s.up, QueueingDelayMS: a.QueueingDelayMS, Misses: a.Misses, Running: a.Running, state: s,
	}
	if q.Prompt == nil {
		return c, true
	}
	c.Version = max(a.Version, s.version(q.Prompt.Model))
	c.memoryTokens = a.MemoryTokens
	switch source := p.byKey[a.Source]; {
	case a.Source == noSourceKey:
	case a.Source != cacheStoreKey && source != nil:
		c.Source, c.sourceKey = source.up.Address, a.Source
	default:
		c.Source = q.CacheAddress
	}
	if a.Save {
		c.SaveTo = q.CacheAddress
	}
	return c, true
}
