package placer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnnotch/auburnnotch/pkg/breaker"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Query asks for an upstream.
type Query struct {
	Service string
	// Prompt is nil for plain requests.
	Prompt *traffic.Prompt
	// CacheScope separates prompts whose parts mustn't be shared.
	CacheScope string
	// DataCentre is where the asking node stands.
	DataCentre string
	// Exclude lists incarnations that were tried already.
	Exclude []string
	// Tripped are upstreams that the asking node keeps from work for their
	// failures.
	Tripped []uint32
	// Version is the newest version of the prompt's model, named for Named
	// long; 0 if none is known.
	Version        int
	SinceAnnounced time.Duration
	// Cutoffs has the named versions, and for how much longer requests may begin
	// on older ones.
	Cutoffs []VersionCutoff
	// Pinned says that the request can't go on at another upstream.
	Pinned bool
	// CacheAddress is the address of a store of cached parts, empty for none.
	CacheAddress string
	// CacheTokens is the room of that store.
	CacheTokens int
}

// VersionCutoff ends the use of weights older than a version.
type VersionCutoff struct {
	Version int
	// Remaining is negative if the time is over.
	Remaining time.Duration
}

// Choice is a chosen upstream. It is passed back as the request proceeds.
type Choice struct {
	Upstream traffic.Upstream
	// Version is the version of the prompt's model that the engine is believed
	// to have, 0 if unknown.
	Version int
	// QueueingDelayMs is the expected time until the engine turns to the request.
	QueueingDelayMs float64
	// Running is how many requests are believed to run there.
	Running int
	// Misses is the number of prompt tokens expected to be read.
	Misses int
	// Source is the address of an engine to fetch cached parts from, empty for
	// none.
	Source string
	// SaveTo is the address of the store that is to keep the parts, empty if they
	// aren't worth it.
	SaveTo string
	from   uint32 // Key of the engine behind Source; 0 if it is none
	tokens int
	fixed  bool
	id     uint64
	state  *state
}

// Incarnation names the life of the chosen upstream.
func (c Choice) Incarnation() string { return c.state.incarnation }

// Key returns a short name of an incarnation for messages between nodes.
func Key(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

type state struct {
	up          traffic.Upstream
	incarnation string
	key         uint32
	present     bool
	breaker     breaker.Breaker
	mine        Load
	waiting     []waiter // of mine, without a first event, in the order of sending
	peers       peerSum
	accusers    int // peers that keep it from work for its failures
	// heard is the last sign of life that this node has had of it.
	heard time.Time
	// closedUntil keeps work away while an order is carried out or after the
	// upstream refused for lack of room.
	closedUntil time.Time
	observed    map[string]int // versions told by answers
	memory      int            // tokens, 0 if unknown
}

// waiter is a request without a first event.
type waiter struct {
	id    uint64
	since time.Time
}

// Placer is the policy of one node. It is not safe for concurrent use.
type Placer struct {
	weights  Costs
	rnd      *rand.Rand
	ids      uint64
	states   map[string]*state // by incarnation
	keys     map[uint32]*state
	sent     []Placement // since the last Placements
	services map[string][]*state
	peers    map[string]peerReport
	// summed says that the sums over peers were right at summedAt.
	summed   bool
	summedAt time.Time
	held     holdings
	nodes    int
	// desperate lets Pick choose among upstreams that have failed lately.
	desperate bool
	saving    saving
	chain     []uint64  // scratch
	known     knowledge // scratch
}

// peerReport is the last report of a peer, and what it was advised since.
type peerReport struct {
	Report
	at     time.Time
	grants []grant
}

// peerMemory is how long a peer's loads count without a newer message. It
// outlasts the loss of several messages.
const peerMemory = 2 * time.Second

// New returns a Placer without upstreams. Ties are broken by rnd.
func New(w Costs, rnd *rand.Rand) *Placer {
	return &Placer{
		weights: w, rnd: rnd, states: map[string]*state{}, keys: map[uint32]*state{}, services: map[string][]*state{},
		peers: map[string]peerReport{}, held: newHoldings(),
	}
}

// SetUpstreams replaces the upstreams. What is known of an incarnation that
// stays is kept. memory is the room of an engine of each service, in tokens.
func (p *Placer) SetUpstreams(ups []traffic.Upstream, memory map[string]int) {
	for _, s := range p.states {
		s.present = false
	}
	clear(p.services)
	for _, u := range ups {
		inc := u.Incarnation()
		s, ok := p.states[inc]
		if !ok {
			s = &state{incarnation: inc, key: Key(inc), breaker: breaker.New(), observed: map[string]int{}}
			p.states[inc] = s
			p.keys[s.key] = s
		}
		s.up, s.present, s.memory = u, true, memory[u.Service]
		p.services[u.Service] = append(p.services[u.Service], s)
	}
	for inc, s := range p.states {
		if !s.present && s.mine.Running == 0 {
			delete(p.states, inc)
			delete(p.keys, s.key)
		}
	}
	p.summed = false
}

// Eligible reports whether the incarnation is registered and takes work.
func (p *Placer) Eligible(incarnation string) bool {
	s, ok := p.states[incarnation]
	return ok && s.present && !s.up.Draining
}

func (s *state) version(model string) int {
	return max(s.up.Models[model], s.observed[model])
}

// Pick returns the best upstream at now and whether there is one. Where all have
// failed lately, one of them is better than none.
func (p *Placer) Pick(now time.Time, q *Query) (Choice, bool) {
	p.sum(now)
	p.desperate = false
	c, ok := p.pick(now, q)
	if !ok {
		p.desperate = true
		c, ok = p.pick(now, q)
	}
	return c, ok
}

func (p *Placer) pick(now time.Time, q *Query) (Choice, bool) {
	if q.Prompt == nil {
		return p.pickPlain(now, q)
	}
	p.chain = appendChain(p.chain[:0], q)
	known := p.lookUp(now, q)
	var best Choice
	bestCost := math.Inf(1)
	roomy := p.cacheKeeps(now, q) >= crowded
	for _, s := range p.services[q.Service] {
		p.watch(now, s)
		if !p.eligible(now, s, q) || p.tested(now, s) {
			continue
		}
		version := s.version(q.Prompt.Model)
		wait := p.wait(now, s)
		e := known.expect(s, version, wait)
		misses := max(0, q.Prompt.Tokens-int(e.have))
		tokens := q.Prompt.Tokens - int(e.own) + q.Prompt.MaxOutput
		if p.full(s, tokens) {
			continue
		}
		if !q.mayBegin(version, wait+float64(misses)/p.weights.TokensPerMs) {
			continue
		}
		cost := wait + float64(misses)/p.weights.TokensPerMs + p.runningCost(now, s)
		cost += float64(q.Prompt.Tokens-int(e.own)) * p.weights.EvictMsPerToken
		if e.source != nil {
			cost += p.weights.FetchMs + e.fetched*p.weights.FetchMsPerToken
		}
		cost += p.placeCost(s, q) + p.weightsCost(s, q) + p.rnd.Float64()
		if cost < bestCost {
			bestCost = cost
			best = Choice{
				Upstream: s.up, Version: version, QueueingDelayMs: wait, Misses: misses, Running: s.mine.Running + s.peers.Running,
				tokens: tokens, state: s, Source: q.CacheAddress,
			}
			if e.source != nil && e.source.state != nil {
				best.Source, best.from = e.source.state.up.Address, e.source.state.key
			}
			if q.Prompt.Shared()-int(e.kept) >= saveTokens && (roomy || known.seen(q)) {
				best.SaveTo = q.CacheAddress
			}
		}
	}
	return best, best.state != nil
}

// wait is the expected time until an engine turns to a new prompt: what is to
// be read there, or at least as long as the oldest one has waited by now.
func (p *Placer) wait(now time.Time, s *state) float64 {
	reading := float64(s.mine.PrefillTokens+s.peers.PrefillTokens) / p.weights.TokensPerMs
	oldest := 0.0
	if len(s.waiting) > 0 {
		oldest = float64(now.Sub(s.waiting[0].since)) / float64(time.Millisecond)
	}
	return max(reading, oldest, s.peers.oldest(now))
}

// SetPlacingNodes tells how many nodes place as many prompts as this one does by what
// it knows; 1 for a node in charge, which knows of all.
func (p *Placer) SetPlacingNodes(nodes int) { p.nodes = nodes }

// saveTokens is how many shared tokens must be read anew to be worth a place in
// the store of cached parts.
const saveTokens = 256

func (p *Placer) runningCost(now time.Time, s *state) float64 {
	running := s.mine.Running + s.peers.Running
	cost := p.weights.RunningMs * float64(running)
	if slots := float64(s.up.Slots) * s.breaker.SlotShare(now); slots > 0 && float64(running) >= slots {
		cost += crowdedMs
	}
	return cost
}

// crowdedMs is the price of an engine without a free slot: a request waits there
// for another one's end.
const crowdedMs = 400

func (p *Placer) placeCost(s *state, q *Query) float64 {
	if s.up.DataCentre != q.DataCentre {
		return p.weights.RemoteMs
	}
	return 0
}

func (p *Placer) weightsCost(s *state, q *Query) float64 {
	if s.version(q.Prompt.Model) < q.Version && q.SinceAnnounced > p.weights.OldWeightsGrace {
		return p.weights.OldWeightsMs
	}
	return 0
}

func (p *Placer) pickPlain(now time.Time, q *Query) (Choice, bool) {
	var best *state
	bestCost := math.Inf(1)
	var wait float64
	for _, s := range p.services[q.Service] {
		p.watch(now, s)
		if !p.eligible(now, s, q) || p.tested(now, s) {
			continue
		}
		running := float64(s.mine.Running + s.peers.Running)
		slots := max(1, float64(s.up.Slots)*s.breaker.SlotShare(now))
		w := max(0, running+1-slots) / slots * p.weights.PlainQueueingDelayMs
		cost := w + running/slots*p.weights.PlainQueueingDelayMs/2 + p.placeCost(s, q)/2 + p.rnd.Float64()
		if cost < bestCost {
			best, bestCost, wait = s, cost, w
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Upstream: best.up, QueueingDelayMs: wait, state: best}, true
}

// RecordSend says that the request of q goes to the choice at now, and returns the
// choice to pass back.
func (p *Placer) RecordSend(now time.Time, c Choice, q *Query) Choice {
	s := c.state
	s.mine.Running++
	if c.fixed = q.Pinned; c.fixed {
		s.mine.Pinned++
	}
	if q.Prompt == nil {
		return c
	}
	p.ids++
	c.id = p.ids
	s.waiting = append(s.waiting, waiter{id: c.id, since: now})
	s.mine.PrefillTokens += c.Misses
	s.mine.MemoryTokens += c.tokens
	p.remember(now, c, q)
	if shared := p.chain[:max(0, len(p.chain)-1)]; len(shared) > 0 && len(p.sent) < mostPlacements {
		p.sent = append(p.sent, Placement{Upstream: s.key, Version: c.Version, Cached: c.cached(q), Prefix: shared[len(shared)-1]})
	}
	return c
}

// remember takes down which parts the chosen engine has from now on.
func (p *Placer) remember(now time.Time, c Choice, q *Query) {
	p.chain = appendChain(p.chain[:0], q)
	reading := time.Duration((c.QueueingDelayMs + float64(c.Misses)/p.weights.TokensPerMs) * float64(time.Millisecond))
	p.held.add(now, p.chain, holder{key: c.state.key, version: int32(c.Version)}, reading)
	if c.SaveTo != "" {
		p.saving.add(now, q.Prompt.Tokens)
	}
	if c.cached(q) {
		p.held.add(now, p.chain[:max(0, len(p.chain)-1)], holder{key: cacheKey, version: int32(c.Version)}, reading)
	}
}

// cached reports whether the store of cached parts has the prompt from now on.
func (c *Choice) cached(q *Query) bool {
	return c.SaveTo != "" || c.Source != "" && c.Source == q.CacheAddress
}

// Incarnation returns the incarnation behind a key, empty if there is none.
func (p *Placer) Incarnation(key uint32) string {
	if s, ok := p.keys[key]; ok {
		return s.incarnation
	}
	return ""
}

// RecordFirstEvent says that the first event of the answer has arrived.
func (p *Placer) RecordFirstEvent(c Choice) {
	s := c.state
	s.mine.PrefillTokens = max(0, s.mine.PrefillTokens-c.Misses)
	for i, w := range s.waiting {
		if w.id == c.id {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// RecordEnd says that the request has left the upstream. began tells whether Began
// was called before.
func (p *Placer) RecordEnd(c Choice, began bool) {
	s := c.state
	s.mine.Running = max(0, s.mine.Running-1)
	s.mine.MemoryTokens = max(0, s.mine.MemoryTokens-c.tokens)
	if c.fixed {
		s.mine.Pinned = max(0, s.mine.Pinned-1)
	}
	if !began {
		p.RecordFirstEvent(c)
	}
}

// RecordSuccess says that the upstream did its work.
func (p *Placer) RecordSuccess(c Choice) { c.state.breaker = c.state.breaker.WithSuccess() }

// RecordFailure says that the upstream failed at now. While it is kept from work for
// an order, what breaks off there says nothing against it.
func (p *Placer) RecordFailure(now time.Time, c Choice) {
	if !now.Before(c.state.closedUntil) {
		c.state.breaker = c.state.breaker.WithFailure(now)
	}
}

// RecordUnreachable says that the upstream didn't answer a connection at now.
func (p *Placer) RecordUnreachable(now time.Time, c Choice) {
	c.state.breaker = c.state.breaker.WithCrash(now)
}

// Suspend keeps work away from an incarnation until a time.
func (p *Placer) Suspend(incarnation string, until time.Time) {
	if s, ok := p.states[incarnation]; ok && until.After(s.closedUntil) {
		s.closedUntil = until
	}
}

// Resume ends what Close began.
func (p *Placer) Resume(incarnation string) {
	if s, ok := p.states[incarnation]; ok {
		s.closedUntil = time.Time{}
	}
}

// RecordVersion takes the version that an answer of an engine has told.
func (p *Placer) RecordVersion(incarnation, model string, version int) {
	if s, ok := p.states[incarnation]; ok && version > s.version(model) {
		s.observed[model] = version
	}
}

// UpstreamStatus is what is known of an upstream at a moment.
type UpstreamStatus struct {
	// Running is how many requests of all nodes run there, Fixed how many of
	// these can't go on elsewhere.
	Running, Pinned int
	// Reachable is false while the upstream is kept from work for its failures.
	Reachable bool
}

// Status returns what is known of an incarnation at now.
func (p *Placer) Status(now time.Time, incarnation string) UpstreamStatus {
	p.sum(now)
	s, ok := p.states[incarnation]
	if !ok {
		return UpstreamStatus{}
	}
	return UpstreamStatus{
		Running: s.mine.Running + s.peers.Running, Pinned: s.mine.Pinned + s.peers.Pinned, Reachable: s.breaker.Allows(now),
	}
}
