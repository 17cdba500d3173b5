// Package router chooses the engine for a prompt: it weighs the pieces that
// would have to be computed again against the work that already waits at each
// engine. It knows only what its own node has sent and been told, and does no
// I/O. Its methods stand in for events, so that a decision allocates nothing.
package router

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/breaker"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
)

// Engine describes an eligible engine, or a back end of a plain service.
type Engine struct {
	ID    string
	Pool  string
	Slots int
	// LeavesAt is when it stops to take new work; zero for never.
	LeavesAt time.Time
}

// Query asks for an engine.
type Query struct {
	Pool  string
	Chain hasher.Chain // empty for plain services
	// RecomputeWeight is the price of a recomputed piece against a waiting one.
	RecomputeWeight float64
	// Exclude lists engines that were tried already.
	Exclude []string
	// Apart is the rank of a suspect, which must run where no other runs; -1
	// for a request that isn't suspect.
	Apart int
}

// Choice is the answer to a Query. It is passed back as the request proceeds.
type Choice struct {
	ID          string
	Incarnation string
	LeavesAt    time.Time
	// Hits and Misses are the expected cached and computed pieces.
	Hits, Misses int
	slot         int32
	epoch        uint16
}

// Report is what an engine says of itself, with a lag.
type Report struct {
	Incarnation   string
	Occupied      int // running and waiting requests
	PendingPieces int // pieces that wait for prefill
	Leaving       bool
	// TakenAt is when the report was taken, by this node's clock.
	TakenAt time.Time
}

// Weights sets the policy. The zero value is not useful; see DefaultWeights.
type Weights struct {
	// PieceTime is the time of one computed piece on an idle engine.
	PieceTime time.Duration
	// ServiceTime is the usual time that a request holds a slot.
	ServiceTime time.Duration
	// ScanLimit is the pool size up to which every engine is weighed.
	ScanLimit int
	// Choices is how many engines chance adds to the candidates in a larger
	// pool.
	Choices int
	// HomeBonus is the share of a piece that a cold prompt is expected to
	// find at the engine that placement alone would choose.
	HomeBonus float64
	// Bound is the most that an engine may hold over its slots, as a factor.
	Bound float64
}

// DefaultWeights returns the weights that docs/DESIGN.md has the figures for.
func DefaultWeights() Weights {
	return Weights{
		PieceTime: 80 * time.Millisecond, ServiceTime: 2 * time.Second,
		ScanLimit: 32, Choices: 4, HomeBonus: 0.5, Bound: 1.5,
	}
}

type engineState struct {
	Engine
	breaker     breaker.Breaker
	incarnation string
	epoch       uint16
	leaving     bool
	present     bool
	// occupied and pending are the last report plus what this node has sent
	// and seen end since.
	occupied, pending int
	mine              int
	window            window
}

// Router is the policy of one node. It is not safe for concurrent use.
type Router struct {
	weights Weights
	rnd     *rand.Rand
	engines []engineState
	byID    map[string]int32
	pools   map[string]*pool
	index   *index
	hits    []int16 // scratch: expected hits by slot
	touched []int32 // scratch: slots with a value in hits
	seen    []uint32
	round   uint32
}

// IndexEntries is the usual size of the memory of prefixes.
const IndexEntries = 1 << 15

// New returns a Router without engines that remembers up to entries prefixes.
// Ties are broken by rnd.
func New(w Weights, entries int, rnd *rand.Rand) *Router {
	return &Router{weights: w, rnd: rnd, byID: map[string]int32{}, pools: map[string]*pool{}, index: newIndex(entries)}
}

// SetEngines replaces the engines. What is known of one that stays is kept.
func (r *Router) SetEngines(engines []Engine) {
	for i := range r.engines {
		r.engines[i].present = false
	}
	clear(r.pools)
	for _, e := range engines {
		slot, ok := r.byID[e.ID]
		if !ok {
			slot = int32(len(r.engines))
			r.byID[e.ID] = slot
			r.engines = append(r.engines, engineState{window: newWindow()})
		}
		s := &r.engines[slot]
		s.Engine, s.present = e, true
		p, ok := r.pools[e.Pool]
		if !ok {
			p = &pool{}
			r.pools[e.Pool] = p
		}
		p.slots = append(p.slots, slot)
	}
	for _, p := range r.pools {
		p.build(r.engines)
	}
	r.hits = make([]int16, len(r.engines))
	r.seen = make([]uint32, len(r.engines))
}

// Pick returns the best engine of the pool at now, and whether there is one.
func (r *Router) Pick(now time.Time, q *Query) (Choice, bool) {
	p, ok := r.pools[q.Pool]
	if !ok {
		return Choice{}, false
	}
	if q.Apart >= 0 {
		return r.pickApart(now, p, q)
	}
	r.expect(q.Chain)
	best, bestCost, bestHits := int32(-1), math.Inf(1), 0
	consider := func(slot int32) {
		if r.seen[slot] == r.round || !r.eligible(now, slot, q) {
			return
		}
		r.seen[slot] = r.round
		cost := r.cost(now, slot, p, q)
		if cost < bestCost {
			best, bestCost, bestHits = slot, cost, int(r.hits[slot])
		}
	}
	r.round++
	if len(p.slots) <= r.weights.ScanLimit {
		for _, slot := range p.slots {
			consider(slot)
		}
	} else {
		r.candidates(p, q, consider)
	}
	if best < 0 {
		for _, slot := range p.slots {
			consider(slot)
		}
	}
	r.forget()
	if best < 0 {
		return Choice{}, false
	}
	return r.choice(best, bestHits, len(q.Chain)-bestHits), true
}

func (r *Router) choice(slot int32, hits, misses int) Choice {
	e := &r.engines[slot]
	return Choice{
		ID: e.ID, Incarnation: e.incarnation, LeavesAt: e.LeavesAt,
		Hits: hits, Misses: misses, slot: slot, epoch: e.epoch,
	}
}

// candidates passes the engines worth weighing in a large pool: those that are
// known to hold a part of the prompt, the ones that placement names, and a few
// by chance.
func (r *Router) candidates(p *pool, q *Query, consider func(int32)) {
	for _, slot := range r.touched {
		if r.engines[slot].Pool == q.Pool {
			consider(slot)
		}
	}
	if len(q.Chain) > 0 {
		p.successors(q.Chain[0], homes, consider)
	}
	for range r.weights.Choices {
		consider(p.slots[r.rnd.IntN(len(p.slots))])
	}
}

// homes is how many engines placement names for a prompt's first level.
const homes = 3

func (r *Router) eligible(now time.Time, slot int32, q *Query) bool {
	e := &r.engines[slot]
	if !e.present || e.leaving || !e.breaker.Allows(now) {
		return false
	}
	if !e.LeavesAt.IsZero() && !now.Before(e.LeavesAt) {
		return false
	}
	for _, x := range q.Exclude {
		if x == e.ID {
			return false
		}
	}
	return true
}

// expect fills hits with the depth that each engine is believed to hold.
func (r *Router) expect(chain hasher.Chain) {
	for depth := len(chain); depth > 0; depth-- {
		en := r.index.find(chain[depth-1])
		if en == nil {
			continue
		}
		for i := range en.holders {
			h := &en.holders[i]
			if h.slot < 0 || r.hits[h.slot] != 0 {
				continue
			}
			e := &r.engines[h.slot]
			if h.epoch != e.epoch || e.window.evicted(h.at) {
				continue
			}
			r.hits[h.slot] = int16(depth)
			r.touched = append(r.touched, h.slot)
		}
	}
}

func (r *Router) forget() {
	for _, slot := range r.touched {
		r.hits[slot] = 0
	}
	r.touched = r.touched[:0]
}

// cost is the expected time to the first token in pieces.
func (r *Router) cost(now time.Time, slot int32, p *pool, q *Query) float64 {
	e := &r.engines[slot]
	misses := float64(len(q.Chain) - int(r.hits[slot]))
	if r.hits[slot] == 0 && len(q.Chain) > 0 && p.home(q.Chain[0]) == slot {
		misses -= r.weights.HomeBonus
	}
	slots := max(1, float64(e.Slots)*e.breaker.Share(now))
	wait := float64(e.pending)
	if over := float64(e.occupied+1) - slots; over > 0 {
		wait += over / slots * float64(r.weights.ServiceTime) / float64(r.weights.PieceTime)
	}
	const spread = 0.05 // prefers the emptier engine among equals
	wait += spread * float64(e.occupied) / slots
	return misses*q.RecomputeWeight + wait + r.rnd.Float64()*1e-3
}

// pickApart gives the suspect of rank n an engine of its own.
func (r *Router) pickApart(now time.Time, p *pool, q *Query) (Choice, bool) {
	n := q.Apart
	for _, slot := range p.slots {
		if !r.eligible(now, slot, q) {
			continue
		}
		if n == 0 {
			return r.choice(slot, 0, len(q.Chain)), true
		}
		n--
	}
	return Choice{}, false
}

// Sent says that a request of chain went to the choice.
func (r *Router) Sent(c Choice, chain hasher.Chain) {
	e := &r.engines[c.slot]
	e.occupied++
	e.mine++
	e.pending += c.Misses
	for _, h := range chain {
		r.index.add(h, holder{slot: c.slot, epoch: e.epoch, at: e.window.inserted})
	}
	e.window.insert(c.Misses)
}

// Began says that the first token arrived.
func (r *Router) Began(c Choice) {
	e := &r.engines[c.slot]
	e.pending = max(0, e.pending-c.Misses)
}

// Ended says that the request no longer holds its slot. began tells whether
// Began was called before.
func (r *Router) Ended(c Choice, began bool) {
	if !began {
		r.Began(c)
	}
	e := &r.engines[c.slot]
	e.occupied = max(0, e.occupied-1)
	e.mine = max(0, e.mine-1)
}

// Found takes an engine's own count of the pieces that it had cached, and
// learns from it how long that engine keeps them.
func (r *Router) Found(c Choice, hits int) {
	e := &r.engines[c.slot]
	if c.epoch == e.epoch {
		e.window.learn(c.Hits, hits)
	}
}

// Succeeded and Failed tell the breaker of an engine how an attempt went.
func (r *Router) Succeeded(id string) {
	if slot, ok := r.byID[id]; ok {
		e := &r.engines[slot]
		e.breaker = e.breaker.WithSuccess()
	}
}

// Failed says that an attempt failed at now.
func (r *Router) Failed(now time.Time, id string) {
	if slot, ok := r.byID[id]; ok {
		e := &r.engines[slot]
		e.breaker = e.breaker.WithFailure(now)
	}
}

// Crashed says that an engine died at now: all it held is gone.
func (r *Router) Crashed(now time.Time, id string) {
	if slot, ok := r.byID[id]; ok {
		e := &r.engines[slot]
		e.breaker = e.breaker.WithCrash(now)
		r.empty(e)
	}
}

func (r *Router) empty(e *engineState) {
	e.epoch++
	e.pending, e.occupied = 0, e.mine
	e.incarnation = ""
}

// Observe takes the incarnation that an answer or report of id names. A new
// one means that the engine came back empty.
func (r *Router) Observe(now time.Time, id, incarnation string) {
	slot, ok := r.byID[id]
	if !ok || incarnation == "" {
		return
	}
	e := &r.engines[slot]
	if e.incarnation != "" && e.incarnation != incarnation {
		r.empty(e)
		e.breaker = e.breaker.WithReturn(now)
	}
	e.incarnation = incarnation
}

// Reported takes a load report.
func (r *Router) Reported(now time.Time, id string, rep Report) {
	slot, ok := r.byID[id]
	if !ok {
		return
	}
	r.Observe(now, id, rep.Incarnation)
	e := &r.engines[slot]
	e.leaving = rep.Leaving
	e.occupied = max(rep.Occupied, e.mine)
	e.pending = rep.PendingPieces
}

// Room returns the slots of a pool that may be used at now and how many of
// them are occupied.
func (r *Router) Room(now time.Time, name string) (slots, occupied int) {
	p, ok := r.pools[name]
	if !ok {
		return 0, 0
	}
	q := Query{}
	for _, slot := range p.slots {
		if r.eligible(now, slot, &q) {
			slots += r.engines[slot].Slots
			occupied += r.engines[slot].occupied
		}
	}
	return slots, occupied
}

// Leaving reports whether id takes no new work at now.
func (r *Router) Leaving(now time.Time, id string) bool {
	slot, ok := r.byID[id]
	if !ok {
		return true
	}
	e := &r.engines[slot]
	return !e.present || e.leaving || !e.LeavesAt.IsZero() && !now.Before(e.LeavesAt)
}
