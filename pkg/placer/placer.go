package placer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/breaker"
	"github.com/auburnnotch/auburnnotch/pkg/profiler"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

type upstreamState struct {
	up           traffic.Upstream
	incarnation  string
	key          uint32
	registered   bool
	breaker      breaker.Breaker
	local        Load
	waiting      []waiter // local requests without a first event, oldest first
	peers        peerSum
	trippedPeers int // peers whose circuit breaker for the upstream is open
	// lastActivity is when this node last received anything from the upstream.
	lastActivity time.Time
	// suspendedUntil is the end of a suspension: while an order is carried out, or
	// after the upstream refused a request for lack of capacity.
	suspendedUntil time.Time
	// leaving is set once the upstream has said in a response that it is leaving.
	leaving bool
	// turnedAwayUntil is until when the upstream wants no request of this node.
	turnedAwayUntil  time.Time
	observedVersions map[string]int // weight versions reported in responses, by model
	memoryTokens     int            // memory of the engine in tokens, 0 if unknown
	// speed is the speed of the engine relative to its pool.
	speed float64
	// toldSpeed is the speed in the last SpeedChange.
	toldSpeed float64
	// lateRate is how many streams miss their pause objective there for each token of output.
	lateRate float64
}

// waiter is a request without a first event.
type waiter struct {
	id    uint64
	since time.Time
}

// Placer is the placement policy of one node with the state that it decides on.
// It is not safe for concurrent use.
type Placer struct {
	costs      Costs
	rnd        *rand.Rand
	lastID     uint64
	states     map[string]*upstreamState // by incarnation
	byKey      map[uint32]*upstreamState
	placements []Placement // since the last TakePlacements
	services   map[string][]*upstreamState
	peers      map[string]peerReport
	// peerSumsValid is set if the sums over peers were up to date at peerSumsAt.
	peerSumsValid bool
	peerSumsAt    time.Time
	index         prefixIndex
	placingNodes  int
	// lastResort lets Pick ignore the circuit breakers.
	lastResort bool
	// left has the incarnations that are leaving, also while the registry doesn't list them.
	left map[string]bool
	// turnedAway has, by incarnation, until when upstreams want no request of this node, also
	// while the registry doesn't list them.
	turnedAway map[string]time.Time
	saveRate   saveRate
	// profiler is nil if all engines count as equally fast. samples are the first events
	// since the last TakeSamples.
	profiler *profiler.Profiler
	samples  Samples
	// speedsAt is when the speeds of the engines were last taken from the profiler.
	speedsAt     time.Time
	speedChanges []SpeedChange
	hashes       []uint64      // scratch
	matches      prefixMatches // scratch
}

// peerReport is the last report of a peer, with the advice that the report doesn't
// include yet.
type peerReport struct {
	Report
	receivedAt time.Time
	pending    []pendingAdvice
}

// peerReportTTL is how long a peer's report counts without a newer one. It is long
// enough to survive the loss of several reports.
const peerReportTTL = 2 * time.Second

// New returns a Placer without upstreams. It uses rnd to break ties.
func New(costs Costs, rnd *rand.Rand) *Placer {
	return &Placer{
		costs: costs, rnd: rnd, states: map[string]*upstreamState{}, byKey: map[uint32]*upstreamState{}, services: map[string][]*upstreamState{},
		peers: map[string]peerReport{}, index: newPrefixIndex(), left: map[string]bool{}, turnedAway: map[string]time.Time{},
	}
}

// SetUpstreams replaces the upstreams. The state of an incarnation that is still
// listed is kept. memoryTokens is the memory of an engine in tokens, by service.
func (p *Placer) SetUpstreams(ups []traffic.Upstream, memoryTokens map[string]int) {
	for _, s := range p.states {
		s.registered = false
	}
	clear(p.services)
	for _, u := range ups {
		inc := u.Incarnation()
		s, ok := p.states[inc]
		if !ok {
			s = &upstreamState{speed: 1, toldSpeed: 1, incarnation: inc, key: Key(inc), leaving: p.left[inc], turnedAwayUntil: p.turnedAway[inc], breaker: breaker.New(), observedVersions: map[string]int{}}
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
	p.profileEngines()
}

func (s *upstreamState) version(model string) int {
	return max(s.up.Models[model], s.observedVersions[model])
}

// Pick returns the upstream with the lowest cost at now, and whether there is one.
// If there is none, Pick tries again without regard to the circuit breakers: an
// upstream that failed lately is better than none.
func (p *Placer) Pick(now time.Time, q *Query) (Choice, bool) {
	c, ok := p.PickHealthy(now, q)
	if !ok {
		p.lastResort = true
		c, ok = p.pick(now, q)
	}
	return c, ok
}

// PickHealthy is Pick without the second try.
func (p *Placer) PickHealthy(now time.Time, q *Query) (Choice, bool) {
	p.sumPeers(now)
	p.refreshSpeeds(now)
	p.lastResort = false
	return p.pick(now, q)
}

func (p *Placer) pick(now time.Time, q *Query) (Choice, bool) {
	if q.Prompt == nil {
		return p.pickPlain(now, q)
	}
	p.hashes = appendPrefixHashes(p.hashes[:0], q)
	matches := p.findMatches(now, q)
	var best Choice
	bestCost := math.Inf(1)
	longLived, uncached := p.cacheStoreLifetime(now, q) >= minSaveLifetime, q.memoryTokens()
	for _, s := range p.services[q.Service] {
		p.updateBreaker(now, s)
		if !p.eligible(now, s, q) || p.trialInFlight(now, s) {
			continue
		}
		version := s.version(q.Prompt.Model)
		delay := p.queueingDelayMS(now, s)
		prefix := matches.expect(s, version, delay)
		misses := max(0, q.Prompt.Tokens-int(prefix.available))
		tokens := uncached - int(prefix.own)
		if p.memoryFull(s, tokens) {
			continue
		}
		prefill := float64(misses) / (p.costs.TokensPerMS * s.speed)
		if !q.mayStart(version, delay+prefill) {
			continue
		}
		cost := delay + prefill + p.runningCost(now, s) + q.pauseCost(s.lateRate)
		cost += float64(q.Prompt.Tokens-int(prefix.own)) * p.costs.EvictMSPerToken
		if prefix.source != nil {
			cost += p.costs.FetchMS + prefix.fetched*p.costs.FetchMSPerToken
		}
		cost += p.remoteCost(s, q) + p.oldWeightsCost(s, q) + p.rnd.Float64()
		if cost < bestCost {
			bestCost = cost
			best = Choice{
				Upstream: s.up, Version: version, QueueingDelayMS: delay, Misses: misses, Running: s.local.Running + s.peers.Running,
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

// queueingDelayMS returns the expected time until an engine starts the prefill of a
// new prompt: the pending prefill there, or the time that the oldest request has
// waited so far if that is longer.
func (p *Placer) queueingDelayMS(now time.Time, s *upstreamState) float64 {
	prefill := float64(s.local.PrefillTokens+s.peers.PrefillTokens) / (p.costs.TokensPerMS * s.speed)
	oldest := 0.0
	if len(s.waiting) > 0 {
		oldest = float64(now.Sub(s.waiting[0].since)) / float64(time.Millisecond)
	}
	return max(prefill, oldest, s.peers.oldestWaitMS(now))
}

// SetPlacingNodes sets the number of nodes that place prompts independently, each
// about as many as this one. The rate of saves in the cache store is estimated from
// it. A coordinator sets 1, since it places the prompts of all nodes.
func (p *Placer) SetPlacingNodes(nodes int) { p.placingNodes = nodes }

// minSaveTokens is the number of shared tokens missing from the cache store from
// which on a prompt is worth saving there.
const minSaveTokens = 256

func (p *Placer) runningCost(now time.Time, s *upstreamState) float64 {
	running := s.local.Running + s.peers.Running
	cost := p.costs.RunningMS * float64(running) / s.speed
	if slots := float64(s.up.Slots) * s.breaker.SlotShare(now); slots > 0 && float64(running) >= slots {
		cost += noFreeSlotMS
	}
	return cost
}

// noFreeSlotMS is the cost of an engine without a free slot: a request waits there
// until another one ends.
const noFreeSlotMS = 400

func (p *Placer) remoteCost(s *upstreamState, q *Query) float64 {
	if s.up.DataCentre != q.DataCentre {
		return p.costs.RemoteMS
	}
	return 0
}

func (p *Placer) oldWeightsCost(s *upstreamState, q *Query) float64 {
	if s.version(q.Prompt.Model) < q.Version && q.SinceAnnounced > p.costs.OldWeightsGrace {
		return p.costs.OldWeightsMS
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
		plainDelay := max(0, running+1-slots) / slots * p.costs.PlainQueueingDelayMS
		cost := plainDelay + running/slots*p.costs.PlainQueueingDelayMS/2 + p.remoteCost(s, q)/2 + p.rnd.Float64()
		if cost < bestCost {
			best, bestCost, delay = s, cost, plainDelay
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Upstream: best.up, QueueingDelayMS: delay, state: best}, true
}

// RecordSend records that the request of q is sent to c at now. It returns the
// choice to pass to the other Record methods.
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
	c.id, c.output = p.lastID, q.expectedOutput()
	s.waiting = append(s.waiting, waiter{id: c.id, since: now})
	s.local.PrefillTokens += c.Misses
	s.local.MemoryTokens += c.memoryTokens
	p.recordCachedParts(now, c, q)
	if shared := p.hashes[:max(0, len(p.hashes)-1)]; len(shared) > 0 && len(p.placements) < maxPlacements {
		p.placements = append(p.placements, Placement{Upstream: s.key, Version: c.Version, Cached: c.inCacheStore(q), Prefix: shared[len(shared)-1]})
	}
	return c
}

// recordCachedParts adds the parts of the prompt to the index for the chosen engine,
// and for the cache store if it has them.
func (p *Placer) recordCachedParts(now time.Time, c Choice, q *Query) {
	p.hashes = appendPrefixHashes(p.hashes[:0], q)
	prefill := time.Duration((c.QueueingDelayMS + float64(c.Misses)/p.costs.TokensPerMS) * float64(time.Millisecond))
	shared := p.hashes[:max(0, len(p.hashes)-1)] // the last part belongs to this prompt alone
	p.index.add(now, shared, indexEntry{upstreamKey: c.state.key, version: int32(c.Version)}, prefill)
	if c.SaveTo != "" {
		p.saveRate.add(now, q.Prompt.Tokens)
	}
	if c.inCacheStore(q) {
		p.index.add(now, shared, indexEntry{upstreamKey: cacheStoreKey, version: int32(c.Version)}, prefill)
	}
}

// inCacheStore reports whether the cache store has the prompt once c is sent: the
// prompt is saved there or fetched from there.
func (c *Choice) inCacheStore(q *Query) bool {
	return c.SaveTo != "" || c.Source != "" && c.Source == q.CacheAddress
}

// Incarnation returns the incarnation with the given key, empty if there is none.
func (p *Placer) Incarnation(key uint32) string {
	if s, ok := p.byKey[key]; ok {
		return s.incarnation
	}
	return ""
}

// RecordFirstEvent records that the first event of the response has arrived.
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

// RecordEnd records that the request no longer runs at the upstream. gotFirstEvent
// is true if RecordFirstEvent was called before.
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

// RecordSuccess records that the upstream completed the request.
func (p *Placer) RecordSuccess(c Choice) { c.state.breaker = c.state.breaker.WithSuccess() }

// RecordFailure records that the upstream failed the request at now. Failures while
// the upstream is suspended don't count: carrying out an order aborts requests.
func (p *Placer) RecordFailure(now time.Time, c Choice) {
	if !now.Before(c.state.suspendedUntil) {
		c.state.breaker = c.state.breaker.WithFailure(now)
	}
}

// RecordUnreachable records that a connection to the upstream failed at now.
func (p *Placer) RecordUnreachable(now time.Time, c Choice) {
	c.state.breaker = c.state.breaker.WithCrash(now)
}

// Suspend excludes an incarnation from new work until the given time.
func (p *Placer) Suspend(incarnation string, until time.Time) {
	if s, ok := p.states[incarnation]; ok && until.After(s.suspendedUntil) {
		s.suspendedUntil = until
	}
}

// Resume ends a suspension early.
func (p *Placer) Resume(incarnation string) {
	if s, ok := p.states[incarnation]; ok {
		s.suspendedUntil = time.Time{}
	}
}

// RecordVersion records the version of a model's weights that an engine reported in
// a response. Versions that aren't newer are ignored.
func (p *Placer) RecordVersion(incarnation, model string, version int) {
	if s, ok := p.states[incarnation]; ok && version > s.version(model) {
		s.observedVersions[model] = version
	}
}
