package placer

import "time"

// pendingAdviceTTL is how long advice counts as followed without the peer's report
// that shows it. It outlasts the loss of several reports.
const pendingAdviceTTL = time.Second

// Advice is the choice that a node in charge makes for a peer.
type Advice struct {
	Upstream        uint32 // its Key
	Version         int
	Misses          int
	MemoryTokens    int // of the engine's memory
	Running         int
	QueueingDelayMs float64
	// Source is the Key of an engine to fetch cached parts from, 0 for the store
	// of cached parts.
	Source uint32
	// Save says that the store of cached parts is to keep the prompt.
	Save bool
	// Coordinator is the node that gives the advice; the one that asks fills it in.
	Coordinator string `msgpack:"-"`
}

// pendingAdvice is advice that the peer's reports don't show yet.
type pendingAdvice struct {
	question uint64
	givenAt  time.Time
	load     Load
}

// Verdict says what became of a question.
type Verdict uint8

// The verdicts.
const (
	// Unanswered means that nobody is there who knows better.
	Unanswered Verdict = iota
	// NoCapacity means that no engine has room for the prompt now.
	NoCapacity
	// Placed comes with advice.
	Placed
)

// Advise answers a peer's question with a choice, and counts it as followed.
// The numbers of a peer's questions rise.
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
	return Advice{
		Upstream: c.state.key, Version: c.Version, Misses: c.Misses, MemoryTokens: c.memoryTokens, Running: c.Running, QueueingDelayMs: c.QueueingDelayMs,
		Source: c.sourceKey, Save: c.SaveTo != "",
	}, Placed
}

// Follow turns advice for q into a choice, unless this node knows better.
func (p *Placer) Follow(now time.Time, a Advice, q *Query) (Choice, bool) {
	p.lastResort = false
	s := p.byKey[a.Upstream]
	if s == nil || !s.registered || s.up.Service != q.Service || !p.eligible(now, s, q) {
		return Choice{}, false
	}
	c := Choice{
		Upstream: s.up, QueueingDelayMs: a.QueueingDelayMs, Misses: a.Misses, Running: a.Running, state: s,
	}
	if q.Prompt == nil {
		return c, true
	}
	c.Version = max(a.Version, s.version(q.Prompt.Model))
	c.memoryTokens = a.MemoryTokens
	c.Source = q.CacheAddress
	if source := p.byKey[a.Source]; a.Source != cacheStoreKey && source != nil {
		c.Source, c.sourceKey = source.up.Address, a.Source
	}
	if a.Save {
		c.SaveTo = q.CacheAddress
	}
	return c, true
}
