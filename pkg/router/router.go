package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/breaker"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
)

// Engine describes an eligible engine, or a back end of a plain service.
type Engine struct {
	ID    string
	URL   string
	Pool  string
	Slots int
	// LeavesAt is when the engine stops accepting new work; zero means never.
	LeavesAt time.Time
}

// Query is a request for an engine.
type Query struct {
	Pool  string
	Chain hasher.Chain // empty for plain services
	// RecomputeWeight is the cost of computing a piece that isn't cached,
	// relative to waiting for one.
	RecomputeWeight float64
	// Rank is the rank of the request's class. Engines serve rank 0 first.
	Rank int
	// Exclude lists engines that were already tried.
	Exclude []string
	// SuspectRank is the rank of the request among the suspects, each of which
	// must run on an engine without other suspects. It is -1 for a request that
	// isn't suspect.
	SuspectRank int
	// SuspectEngines lists engines where other suspects run. A suspect is never
	// sent to one of them.
	SuspectEngines []string
}

// Choice is the result of a Query. Callers pass it back to the Record methods as
// the request proceeds.
type Choice struct {
	ID          string
	URL         string
	Incarnation string
	LeavesAt    time.Time
	// Hits and Misses are the numbers of pieces expected to be cached and to be
	// computed.
	Hits, Misses int
	slot         int32
	epoch        uint16
	rank         uint8
}

// Ranks is the number of classes that engines distinguish.
const Ranks = 3

// Report is a load report of an engine. It arrives with a delay.
type Report struct {
	Incarnation string
	Occupied    int // running and waiting requests
	// Pending is the number of pieces that wait for prefill, by rank.
	Pending [Ranks]int
	Leaving bool
	// TakenAt is when the report was taken, by this node's clock.
	TakenAt time.Time
}

// Costs is the cost model of the policy. The zero value is not useful; see
// DefaultCosts.
type Costs struct {
	// PieceTime is the time to compute one piece on an idle engine.
	PieceTime time.Duration
	// ServiceTime is the typical time that a request holds a slot.
	ServiceTime time.Duration
	// ScanLimit is the pool size up to which every engine is a candidate.
	ScanLimit int
	// RandomCandidates is how many randomly chosen engines are added to the
	// candidates in pools above ScanLimit.
	RandomCandidates int
	// OwnerBonus applies to pools above ScanLimit. It is the share of the pieces
	// new to this node that the first owner on the ring is expected to have
	// cached, since the other nodes place prompts on the same ring. Each further
	// owner gets half of the previous one's bonus.
	OwnerBonus float64
	// BacklogFactor, by rank, raises the cost of a computed piece by this factor
	// times the average number of pieces that wait at an engine of the pool,
	// since computing it delays all of them.
	BacklogFactor [Ranks]float64
	// HeadOfLinePieces is the queueing delay, in pieces, behind a prompt of a
	// lower class whose prefill has begun.
	HeadOfLinePieces float64
}

// DefaultCosts returns the default cost model; docs/DESIGN.md has the figures
// behind it.
func DefaultCosts() Costs {
	return Costs{
		PieceTime: 80 * time.Millisecond, ServiceTime: 2 * time.Second,
		ScanLimit: 32, RandomCandidates: 4, OwnerBonus: 0.2, BacklogFactor: [Ranks]float64{0.5, 0.5, 0.5}, HeadOfLinePieces: 2,
	}
}

// Router is the routing policy of one node. It is not safe for concurrent use.
type Router struct {
	costs          Costs
	rnd            *rand.Rand
	engines        []engineState
	byID           map[string]int32
	pools          map[string]*pool
	index          *index
	hits           []int16  // scratch: expected cached pieces by slot
	hitSlots       []int32  // scratch: slots with a value in hits
	lastConsidered []uint32 // by slot, the round in which it was last a candidate
	round          uint32   // number of the Pick in progress
	knownDepth     int      // scratch: leading pieces of the prompt that are in index
	owners         [ownersPerPrompt]ringOwner
	recomputePrice float64 // scratch: factor on the cost of a computed piece
}

// DefaultIndexEntries is the default size of the prefix index.
const DefaultIndexEntries = 1 << 15

// New returns a Router without engines whose index holds about entries
// prefixes. Ties are broken by rnd.
func New(costs Costs, entries int, rnd *rand.Rand) *Router {
	return &Router{costs: costs, rnd: rnd, byID: map[string]int32{}, pools: map[string]*pool{}, index: newIndex(entries)}
}

// SetEngines replaces the list of engines. The state of engines that remain is
// kept.
func (r *Router) SetEngines(engines []Engine) {
	for i := range r.engines {
		r.engines[i].present, r.engines[i].pool = false, nil
	}
	clear(r.pools)
	for _, e := range engines {
		slot, ok := r.byID[e.ID]
		if !ok {
			slot = int32(len(r.engines))
			r.byID[e.ID] = slot
			r.engines = append(r.engines, engineState{breaker: breaker.New()})
		}
		s := &r.engines[slot]
		s.Engine, s.present = e, true
		p, ok := r.pools[e.Pool]
		if !ok {
			p = &pool{}
			r.pools[e.Pool] = p
		}
		p.slots = append(p.slots, slot)
		s.pool = p
		p.pending += s.totalPending()
	}
	for _, p := range r.pools {
		p.buildRing(r.engines)
	}
	r.hits = make([]int16, len(r.engines))
	r.lastConsidered = make([]uint32, len(r.engines))
}

// Pick returns the cheapest engine of the pool at now. It reports false if no
// engine is eligible.
func (r *Router) Pick(now time.Time, q *Query) (Choice, bool) {
	p, ok := r.pools[q.Pool]
	if !ok {
		return Choice{}, false
	}
	if q.SuspectRank >= 0 {
		return r.pickIsolated(now, p, q)
	}
	r.lookUpPrefix(q.Chain)
	r.findOwners(p, q.Chain)
	r.recomputePrice = 1 + r.costs.BacklogFactor[q.Rank]*p.averagePending()
	best, bestCost, bestHits := int32(-1), math.Inf(1), 0
	consider := func(slot int32) {
		if r.lastConsidered[slot] == r.round || !r.eligible(now, slot, q) {
			return
		}
		r.lastConsidered[slot] = r.round
		cost := r.cost(now, slot, q)
		if cost < bestCost {
			best, bestCost, bestHits = slot, cost, int(r.hits[slot])
		}
	}
	r.round++
	if len(p.slots) <= r.costs.ScanLimit {
		for _, slot := range p.slots {
			consider(slot)
		}
	} else {
		r.considerCandidates(p, q, consider)
	}
	if best < 0 {
		for _, slot := range p.slots {
			consider(slot)
		}
	}
	r.clearHits()
	if best < 0 {
		return Choice{}, false
	}
	return r.newChoice(best, q, bestHits), true
}

// averagePending returns the average number of pieces that wait for prefill at
// an engine of the pool.
func (p *pool) averagePending() float64 {
	return float64(p.pending) / float64(max(1, len(p.slots)))
}

func (r *Router) newChoice(slot int32, q *Query, hits int) Choice {
	e := &r.engines[slot]
	return Choice{
		ID: e.ID, URL: e.URL, Incarnation: e.incarnation, LeavesAt: e.LeavesAt,
		Hits: hits, Misses: len(q.Chain) - hits, slot: slot, epoch: e.epoch, rank: uint8(q.Rank),
	}
}

// considerCandidates calls consider with the candidates of a large pool: the
// engines expected to have a prefix of the prompt cached, the owners on the
// ring and a few random engines.
func (r *Router) considerCandidates(p *pool, q *Query, consider func(int32)) {
	for _, slot := range r.hitSlots {
		if r.engines[slot].Pool == q.Pool {
			consider(slot)
		}
	}
	for _, owner := range r.owners {
		if owner.slot >= 0 {
			consider(owner.slot)
		}
	}
	for range r.costs.RandomCandidates {
		consider(p.slots[r.rnd.IntN(len(p.slots))])
	}
}

// ownersPerPrompt is the number of engines on the ring that own a prompt.
const ownersPerPrompt = 3

// ringOwner is an engine that owns the current prompt on the ring.
type ringOwner struct {
	slot  int32
	bonus float64 // expected cached pieces beyond those in the index
}

// findOwners sets the owners of a prompt: the engines that follow, on the ring,
// the hash of its first piece that this node hasn't seen. Nodes that have seen
// the same shared prefix find the same owners.
func (r *Router) findOwners(p *pool, chain hasher.Chain) {
	for i := range r.owners {
		r.owners[i].slot = -1
	}
	if len(chain) == 0 || len(p.slots) <= r.costs.ScanLimit {
		return // every engine is a candidate
	}
	depth := min(r.knownDepth, len(chain)-1)
	bonus := r.costs.OwnerBonus * float64(len(chain)-depth)
	n := 0
	p.successors(chain[depth], ownersPerPrompt, func(slot int32) {
		r.owners[n] = ringOwner{slot: slot, bonus: bonus}
		bonus /= 2
		n++
	})
}

// eligible reports whether the engine accepts work, its circuit breaker allows
// a request and the query doesn't exclude it.
func (r *Router) eligible(now time.Time, slot int32, q *Query) bool {
	e := &r.engines[slot]
	if !e.acceptsWork(now) || !e.breaker.Allows(now) {
		return false
	}
	for _, x := range q.Exclude {
		if x == e.ID {
			return false
		}
	}
	return true
}

// lookUpPrefix looks up the prompt in the index. It sets knownDepth, and sets
// hits to the number of leading pieces that each engine is expected to have
// cached.
func (r *Router) lookUpPrefix(chain hasher.Chain) {
	r.knownDepth = 0
	for depth := len(chain); depth > 0; depth-- {
		entry := r.index.find(chain[depth-1])
		if entry == nil {
			continue
		}
		r.knownDepth = max(r.knownDepth, depth)
		for i := range entry.holders {
			h := &entry.holders[i]
			if h.slot < 0 || r.hits[h.slot] != 0 {
				continue
			}
			if h.epoch != r.engines[h.slot].epoch {
				continue // the engine has since restarted with an empty cache
			}
			r.hits[h.slot] = int16(depth)
			r.hitSlots = append(r.hitSlots, h.slot)
		}
	}
}

// clearHits resets hits and hitSlots for the next Pick.
func (r *Router) clearHits() {
	for _, slot := range r.hitSlots {
		r.hits[slot] = 0
	}
	r.hitSlots = r.hitSlots[:0]
}

// cost returns the expected time to the first token, in pieces. The prefill is
// scaled by the RecomputeWeight of the query and by recomputePrice.
func (r *Router) cost(now time.Time, slot int32, q *Query) float64 {
	e := &r.engines[slot]
	misses := float64(len(q.Chain) - int(r.hits[slot]))
	for _, owner := range r.owners {
		if owner.slot == slot {
			misses -= min(owner.bonus, misses)
		}
	}
	slots := max(1, float64(e.Slots)*e.breaker.SlotShare(now))
	queueing := 0.0
	for _, n := range e.pending[:q.Rank+1] {
		queueing += float64(n)
	}
	if excess := float64(e.occupied+1) - slots; excess > 0 {
		queueing += excess / slots * float64(r.costs.ServiceTime) / float64(r.costs.PieceTime)
	}
	for _, n := range e.pending[q.Rank+1:] {
		if n > 0 {
			queueing += r.costs.HeadOfLinePieces
			break
		}
	}
	const occupancyWeight = 0.05 // prefers the less occupied of equal engines
	queueing += occupancyWeight * float64(e.occupied) / slots
	return misses*q.RecomputeWeight*r.recomputePrice + queueing + r.rnd.Float64()*1e-3
}

// pickIsolated returns an engine without other suspects: the eligible engine
// whose position equals the suspect's rank. If another suspect already runs
// there, it returns the last engine without one, since the ranks reach that
// engine last.
func (r *Router) pickIsolated(now time.Time, p *pool, q *Query) (Choice, bool) {
	n, last := 0, int32(-1)
	for _, slot := range p.slots {
		if !r.eligible(now, slot, q) {
			continue
		}
		if !slices.Contains(q.SuspectEngines, r.engines[slot].ID) {
			if n == q.SuspectRank {
				return r.newChoice(slot, q, 0), true
			}
			last = slot
		}
		n++
	}
	if last < 0 || n <= q.SuspectRank {
		return Choice{}, false
	}
	return r.newChoice(last, q, 0), true
}

// Capacity is the capacity and the load of the eligible engines of a pool.
type Capacity struct {
	// Slots is the number of slots, Occupied the number of requests that run or
	// wait.
	Slots, Occupied int
	// Engines is the number of engines, Pending the number of pieces that wait
	// for prefill at them.
	Engines, Pending int
}

// Capacity returns the capacity and the load of a pool at now.
func (r *Router) Capacity(now time.Time, name string) Capacity {
	var total Capacity
	p, ok := r.pools[name]
	if !ok {
		return total
	}
	q := Query{}
	for _, slot := range p.slots {
		if !r.eligible(now, slot, &q) {
			continue
		}
		e := &r.engines[slot]
		total.Engines++
		total.Slots += e.Slots
		total.Occupied += e.occupied
		total.Pending += e.totalPending()
	}
	return total
}

// Leaving reports whether id accepts no new work at now. It is true for an
// unknown engine.
func (r *Router) Leaving(now time.Time, id string) bool {
	slot, ok := r.byID[id]
	if !ok {
		return true
	}
	return !r.engines[slot].acceptsWork(now)
}
