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
	SaveTo       string
	sourceKey    uint32 // Key of the engine behind Source; 0 if it is none
	memoryTokens int
	pinned       bool
	id           uint64
	state        *upstreamState
}

// Incarnation names the life of the chosen upstream.
func (c Choice) Incarnation() string { return c.state.incarnation }

// Key returns a short name of an incarnation for messages between nodes.
func Key(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

type upstreamState struct {
	up           traffic.Upstream
	incarnation  string
	key          uint32
	registered   bool
	breaker      breaker.Breaker
	local        Load
	waiting      []waiter // of mine, without a first event, in the order of sending
	peers        peerSum
	trippedPeers int // peers that keep it from work for its failures
	// lastActivity is the last sign of life that this node has had of it.
	lastActivity time.Time
	// suspendedUntil keeps work away while an order is carried out or after the
	// upstream refused for lack of room.
	suspendedUntil   time.Time
	observedVersions map[string]int // versions told by answers
	memoryTokens     int            // tokens, 0 if unknown
}

// waiter is a request without a first event.
type waiter struct {
	id    uint64
	since time.Time
}

// Placer is the policy of one node. It is not safe for concurrent use.
type Placer struct {
	costs      Costs
	rnd        *rand.Rand
	lastID     uint64
	states     map[string]*upstreamState // by incarnation
	byKey      map[uint32]*upstreamState
	placements []Placement // since the last Placements
	services   map[string][]*upstreamState
	peers      map[string]peerReport
	// peerSumsValid says that the sums over peers were right at summedAt.
	peerSumsValid bool
	peerSumsAt    time.Time
	index         prefixIndex
	placingNodes  int
	// lastResort lets Pick choose among upstreams that have failed lately.
	lastResort bool
	saveRate   saveRate
	hashes     []uint64      // scratch
	matches    prefixMatches // scratch
}

// peerReport is the last report of a peer, and what it was advised since.
type peerReport struct {
	Report
	receivedAt time.Time
	pending    []pendingAdvice
}

// peerReportTTL is how long a peer's loads count without a newer message. It
// outlasts the loss of several messages.
const peerReportTTL = 2 * time.Second

// New returns a Placer without upstreams. Ties are broken by rnd.
func New(w Costs, rnd *rand.Rand) *Placer {
	return &Placer{
		costs: w, rnd: rnd, states: map[string]*upstreamState{}, byKey: map[uint32]*upstreamState{}, services: map[string][]*upstreamState{},
		peers: map[string]peerReport{}, index: newPrefixIndex(),
	}
}

// SetUpstreams replaces the upstreams. What is known of an incarnation that
// stays is kept. memory is the room of an engine of each service, in tokens.
func (p *Placer) SetUpstreams(ups []traffic.Upstream, memoryTokens map[string]int) {
	for _, s := range p.states {
		s.registered = false
	}
	clear(p.services)
	for _, u := range ups {
		inc := u.Incarnation()
		s, ok := p.states[inc]
		if !ok {
			s = &upstreamState{incarnation: inc, key: Key(inc), breaker: breaker.New(), observedVersions: map[string]int{}}
			p.states[inc] = s
			p.byKey[s.key] = s
		}
		s.up, s.registered, s.memoryTokens = u, true, memoryTokens[u.Service]
		p.services[u.Service] = append(p.services[u.Service], s)
	}
	for inc, s := range p.states {
		if !s.registered && s.local.Running == 0 {
			delete(p.states, inc)
			delete(p.byKey, s.key)
		}
	}
	p.peerSumsValid = false
}

// Eligible reports whether the incarnation is registered and takes work.
func (p *Placer) Eligible(incarnation string) bool {
	s, ok := p.states[incarnation]
	return ok && s.registered && !s.up.Draining
}

func (s *upstreamState) version(model string) int {
	return max(s.up.Models[model], s.observedVersions[model])
}

// Pick returns the best upstream at now and whether there is one. Where all have
// failed lately, one of them is better than none.
func (p *Placer) Pick(now time.Time, q *Query) (Choice, bool) {
	p.sumPeers(now)
	p.lastResort = false
	c, ok := p.pick(now, q)
	if !ok {
		p.lastResort = true
		c, ok = p.pick(now, q)
	}
	return c, ok
}

func (p *Placer) pick(now time.Time, q *Query) (Choice, bool) {
	if q.Prompt == nil {
		return p.pickPlain(now, q)
	}
	p.hashes = appendPrefixHashes(p.hashes[:0], q)
	matches := p.findMatches(now, q)
	var best Choice
	bestCost := math.Inf(1)
	longLived := p.cacheStoreLifetime(now, q) >= minSaveLifetime
	for _, s := range p.services[q.Service] {
		p.updateBreaker(now, s)
		if !p.eligible(now, s, q) || p.trialInFlight(now, s) {
			continue
		}
		version := s.version(q.Prompt.Model)
		delay := p.queueingDelayMs(now, s)
		prefix := matches.expect(s, version, delay)
		misses := max(0, q.Prompt.Tokens-int(prefix.available))
		tokens := q.Prompt.Tokens - int(prefix.own) + q.Prompt.MaxOutput
		if p.memoryFull(s, tokens) {
			continue
		}
		if !q.mayStart(version, delay+float64(misses)/p.costs.TokensPerMs) {
			continue
		}
		cost := delay + float64(misses)/p.costs.TokensPerMs + p.runningCost(now, s)
		cost += float64(q.Prompt.Tokens-int(prefix.own)) * p.costs.EvictMsPerToken
		if prefix.source != nil {
			cost += p.costs.FetchMs + prefix.fetched*p.costs.FetchMsPerToken
		}
		cost += p.remoteCost(s, q) + p.oldWeightsCost(s, q) + p.rnd.Float64()
		if cost < bestCost {
			bestCost = cost
			best = Choice{
				Upstream: s.up, Version: version, QueueingDelayMs: delay, Misses: misses, Running: s.local.Running + s.peers.Running,
				memoryTokens: tokens, state: s, Source: q.CacheAddress,
			}
			if prefix.source != nil && prefix.source.state != nil {
				best.Source, best.sourceKey = prefix.source.state.up.Address, prefix.source.state.key
			}
			if q.Prompt.Shared()-int(prefix.stored) >= minSaveTokens && (longLived || matches.coverShared(q)) {
				best.SaveTo = q.CacheAddress
			}
		}
	}
	return best, best.state != nil
}

// queueingDelayMs is the expected time until an engine turns to a new prompt: what is to
// be read there, or at least as long as the oldest one has waited by now.
func (p *Placer) queueingDelayMs(now time.Time, s *upstreamState) float64 {
	prefill := float64(s.local.PrefillTokens+s.peers.PrefillTokens) / p.costs.TokensPerMs
	oldest := 0.0
	if len(s.waiting) > 0 {
		oldest = float64(now.Sub(s.waiting[0].since)) / float64(time.Millisecond)
	}
	return max(prefill, oldest, s.peers.oldestWaitMs(now))
}

// SetPlacingNodes tells how many nodes place as many prompts as this one does by what
// it knows; 1 for a node in charge, which knows of all.
func (p *Placer) SetPlacingNodes(nodes int) { p.placingNodes = nodes }

// minSaveTokens is how many shared tokens must be read anew to be worth a place in
// the store of cached parts.
const minSaveTokens = 256

func (p *Placer) runningCost(now time.Time, s *upstreamState) float64 {
	running := s.local.Running + s.peers.Running
	cost := p.costs.RunningMs * float64(running)
	if slots := float64(s.up.Slots) * s.breaker.SlotShare(now); slots > 0 && float64(running) >= slots {
		cost += noFreeSlotMs
	}
	return cost
}

// noFreeSlotMs is the price of an engine without a free slot: a request waits there
// for another one's end.
const noFreeSlotMs = 400

func (p *Placer) remoteCost(s *upstreamState, q *Query) float64 {
	if s.up.DataCentre != q.DataCentre {
		return p.costs.RemoteMs
	}
	return 0
}

func (p *Placer) oldWeightsCost(s *upstreamState, q *Query) float64 {
	if s.version(q.Prompt.Model) < q.Version && q.SinceAnnounced > p.costs.OldWeightsGrace {
		return p.costs.OldWeightsMs
	}
	return 0
}

func (p *Placer) pickPlain(now time.Time, q *Query) (Choice, bool) {
	var best *upstreamState
	bestCost := math.Inf(1)
	var delay float64
	for _, s := range p.services[q.Service] {
		p.updateBreaker(now, s)
		if !p.eligible(now, s, q) || p.trialInFlight(now, s) {
			continue
		}
		running := float64(s.local.Running + s.peers.Running)
		slots := max(1, float64(s.up.Slots)*s.breaker.SlotShare(now))
		w := max(0, running+1-slots) / slots * p.costs.PlainQueueingDelayMs
		cost := w + running/slots*p.costs.PlainQueueingDelayMs/2 + p.remoteCost(s, q)/2 + p.rnd.Float64()
		if cost < bestCost {
			best, bestCost, delay = s, cost, w
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Upstream: best.up, QueueingDelayMs: delay, state: best}, true
}

// RecordSend says that the request of q goes to the choice at now, and returns the
// choice to pass back.
func (p *Placer) RecordSend(now time.Time, c Choice, q *Query) Choice {
	s := c.state
	s.local.Running++
	if c.pinned = q.Pinned; c.pinned {
		s.local.Pinned++
	}
	if q.Prompt == nil {
		return c
	}
	p.lastID++
	c.id = p.lastID
	s.waiting = append(s.waiting, waiter{id: c.id, since: now})
	s.local.PrefillTokens += c.Misses
	s.local.MemoryTokens += c.memoryTokens
	p.recordCachedParts(now, c, q)
	if shared := p.hashes[:max(0, len(p.hashes)-1)]; len(shared) > 0 && len(p.placements) < maxPlacements {
		p.placements = append(p.placements, Placement{Upstream: s.key, Version: c.Version, Cached: c.inCacheStore(q), Prefix: shared[len(shared)-1]})
	}
	return c
}

// recordCachedParts takes down which parts the chosen engine has from now on.
func (p *Placer) recordCachedParts(now time.Time, c Choice, q *Query) {
	p.hashes = appendPrefixHashes(p.hashes[:0], q)
	prefill := time.Duration((c.QueueingDelayMs + float64(c.Misses)/p.costs.TokensPerMs) * float64(time.Millisecond))
	p.index.add(now, p.hashes, indexEntry{upstreamKey: c.state.key, version: int32(c.Version)}, prefill)
	if c.SaveTo != "" {
		p.saveRate.add(now, q.Prompt.Tokens)
	}
	if c.inCacheStore(q) {
		p.index.add(now, p.hashes[:max(0, len(p.hashes)-1)], indexEntry{upstreamKey: cacheStoreKey, version: int32(c.Version)}, prefill)
	}
}

// inCacheStore reports whether the store of cached parts has the prompt from now on.
func (c *Choice) inCacheStore(q *Query) bool {
	return c.SaveTo != "" || c.Source != "" && c.Source == q.CacheAddress
}

// Incarnation returns the incarnation behind a key, empty if there is none.
func (p *Placer) Incarnation(key uint32) string {
	if s, ok := p.byKey[key]; ok {
		return s.incarnation
	}
	return ""
}

// RecordFirstEvent says that the first event of the answer has arrived.
func (p *Placer) RecordFirstEvent(c Choice) {
	s := c.state
	s.local.PrefillTokens = max(0, s.local.PrefillTokens-c.Misses)
	for i, w := range s.waiting {
		if w.id == c.id {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// RecordEnd says that the request has left the upstream. began tells whether Began
// was called before.
func (p *Placer) RecordEnd(c Choice, gotFirstEvent bool) {
	s := c.state
	s.local.Running = max(0, s.local.Running-1)
	s.local.MemoryTokens = max(0, s.local.MemoryTokens-c.memoryTokens)
	if c.pinned {
		s.local.Pinned = max(0, s.local.Pinned-1)
	}
	if !gotFirstEvent {
		p.RecordFirstEvent(c)
	}
}

// RecordSuccess says that the upstream did its work.
func (p *Placer) RecordSuccess(c Choice) { c.state.breaker = c.state.breaker.WithSuccess() }

// RecordFailure says that the upstream failed at now. While it is kept from work for
// an order, what breaks off there says nothing against it.
func (p *Placer) RecordFailure(now time.Time, c Choice) {
	if !now.Before(c.state.suspendedUntil) {
		c.state.breaker = c.state.breaker.WithFailure(now)
	}
}

// RecordUnreachable says that the upstream didn't answer a connection at now.
func (p *Placer) RecordUnreachable(now time.Time, c Choice) {
	c.state.breaker = c.state.breaker.WithCrash(now)
}

// Suspend keeps work away from an incarnation until a time.
func (p *Placer) Suspend(incarnation string, until time.Time) {
	if s, ok := p.states[incarnation]; ok && until.After(s.suspendedUntil) {
		s.suspendedUntil = until
	}
}

// Resume ends what Close began.
func (p *Placer) Resume(incarnation string) {
	if s, ok := p.states[incarnation]; ok {
		s.suspendedUntil = time.Time{}
	}
}

// RecordVersion takes the version that an answer of an engine has told.
func (p *Placer) RecordVersion(incarnation, model string, version int) {
	if s, ok := p.states[incarnation]; ok && version > s.version(model) {
		s.observedVersions[model] = version
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
	p.sumPeers(now)
	s, ok := p.states[incarnation]
	if !ok {
		return UpstreamStatus{}
	}
	return UpstreamStatus{
		Running: s.local.Running + s.peers.Running, Pinned: s.local.Pinned + s.peers.Pinned, Reachable: s.breaker.Allows(now),
	}
}
