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
	// Rank is the rank of the request's class, 0 for the one that engines serve
	// first.
	Rank int
	// Exclude lists engines that were tried already.
	Exclude []string
	// SuspectRank is the rank of a suspect, which must run where no other runs; -1
	// for a request that isn't suspect.
	SuspectRank int
	// SuspectEngines lists engines where other suspects run; a suspect gets none of
	// them.
	SuspectEngines []string
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
	rank         uint8
}

// Ranks is the number of classes that engines tell apart.
const Ranks = 3

// Report is what an engine says of itself, with a lag.
type Report struct {
	Incarnation string
	Occupied    int // running and waiting requests
	// Pending is the pieces that wait for prefill, by the rank of the class.
	Pending [Ranks]int
	Leaving bool
	// TakenAt is when the report was taken, by this node's clock.
	TakenAt time.Time
}

// Costs sets the policy. The zero value is not useful; see DefaultCosts.
type Costs struct {
	// PieceTime is the time of one computed piece on an idle engine.
	PieceTime time.Duration
	// ServiceTime is the usual time that a request holds a slot.
	ServiceTime time.Duration
	// ScanLimit is the pool size up to which every engine is weighed.
	ScanLimit int
	// RandomCandidates is how many engines chance adds to the candidates in a larger
	// pool.
	RandomCandidates int
	// OwnerBonus counts in pools above ScanLimit. It is the share of the pieces
	// new to this node which the engine that placement names is expected to
	// hold, since other nodes place by the same rule. Each further engine that
	// placement names gets half.
	OwnerBonus float64
	// BacklogFactor raises the price of a recomputed piece by the pieces that wait
	// at an engine on average, by the rank of the class: whoever computes one
	// holds all of those up.
	BacklogFactor [Ranks]float64
	// HeadOfLinePieces is the wait, in pieces, behind a prompt of a lower class that an
	// engine has begun.
	HeadOfLinePieces float64
}

// DefaultCosts returns the weights that docs/DESIGN.md has the figures for.
func DefaultCosts() Costs {
	return Costs{
		PieceTime: 80 * time.Millisecond, ServiceTime: 2 * time.Second,
		ScanLimit: 32, RandomCandidates: 4, OwnerBonus: 0.2, BacklogFactor: [Ranks]float64{0.5, 0.5, 0.5}, HeadOfLinePieces: 2,
	}
}

// Router is the policy of one node. It is not safe for concurrent use.
type Router struct {
	weights Costs
	rnd     *rand.Rand
	engines []engineState
	byID    map[string]int32
	pools   map[string]*pool
	index   *index
	hits    []int16 // scratch: expected hits by slot
	touched []int32 // scratch: slots with a value in hits
	seen    []uint32
	round   uint32
	depth   int // scratch: pieces of the prompt that this node has seen
	homes   [homeCount]home
	price   float64 // scratch: of a recomputed piece
}

// DefaultIndexEntries is the usual size of the memory of prefixes.
const DefaultIndexEntries = 1 << 15

// New returns a Router without engines that remembers up to entries prefixes.
// Ties are broken by rnd.
func New(w Costs, entries int, rnd *rand.Rand) *Router {
	return &Router{weights: w, rnd: rnd, byID: map[string]int32{}, pools: map[string]*pool{}, index: newIndex(entries)}
}

// SetEngines replaces the engines. What is known of one that stays is kept.
func (r *Router) SetEngines(engines []Engine) {
	for i := range r.engines {
		r.engines[i].present, r.engines[i].group = false, nil
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
		s.group = p
		p.pending += s.waiting()
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
	if q.SuspectRank >= 0 {
		return r.pickApart(now, p, q)
	}
	r.expect(q.Chain)
	r.place(p, q.Chain)
	r.price = 1 + r.weights.BacklogFactor[q.Rank]*p.backlog()
	best, bestCost, bestHits := int32(-1), math.Inf(1), 0
	consider := func(slot int32) {
		if r.seen[slot] == r.round || !r.eligible(now, slot, q) {
			return
		}
		r.seen[slot] = r.round
		cost := r.cost(now, slot, q)
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
	return r.choice(best, q, bestHits), true
}

// backlog is the average of the pieces that wait at an engine of the pool.
func (p *pool) backlog() float64 {
	return float64(p.pending) / float64(max(1, len(p.slots)))
}

func (r *Router) choice(slot int32, q *Query, hits int) Choice {
	e := &r.engines[slot]
	return Choice{
		ID: e.ID, Incarnation: e.incarnation, LeavesAt: e.LeavesAt,
		Hits: hits, Misses: len(q.Chain) - hits, slot: slot, epoch: e.epoch, rank: uint8(q.Rank),
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
	for _, h := range r.homes {
		if h.slot >= 0 {
			consider(h.slot)
		}
	}
	for range r.weights.RandomCandidates {
		consider(p.slots[r.rnd.IntN(len(p.slots))])
	}
}

// homeCount is how many engines placement names for a prompt.
const homeCount = 3

type home struct {
	slot  int32
	bonus float64 // expected pieces besides those known
}

// place names the homes of a prompt: the engines that follow its first piece
// which this node hasn't seen on the ring. All nodes that know the shared
// levels of a prompt agree on them.
func (r *Router) place(p *pool, chain hasher.Chain) {
	for i := range r.homes {
		r.homes[i].slot = -1
	}
	if len(chain) == 0 || len(p.slots) <= r.weights.ScanLimit {
		return // every engine is weighed
	}
	depth := min(r.depth, len(chain)-1)
	bonus := r.weights.OwnerBonus * float64(len(chain)-depth)
	n := 0
	p.successors(chain[depth], homeCount, func(slot int32) {
		r.homes[n] = home{slot: slot, bonus: bonus}
		bonus /= 2
		n++
	})
}

func (r *Router) eligible(now time.Time, slot int32, q *Query) bool {
	e := &r.engines[slot]
	if !e.takesWork(now) || !e.breaker.Allows(now) {
		return false
	}
	for _, x := range q.Exclude {
		if x == e.ID {
			return false
		}
	}
	return true
}

// expect finds how much of the prompt this node has seen, and fills hits with
// the depth that each engine is believed to hold.
func (r *Router) expect(chain hasher.Chain) {
	r.depth = 0
	for depth := len(chain); depth > 0; depth-- {
		en := r.index.find(chain[depth-1])
		if en == nil {
			continue
		}
		r.depth = max(r.depth, depth)
		for i := range en.holders {
			h := &en.holders[i]
			if h.slot < 0 || r.hits[h.slot] != 0 {
				continue
			}
			if h.epoch != r.engines[h.slot].epoch {
				continue // the engine has come back empty since
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
func (r *Router) cost(now time.Time, slot int32, q *Query) float64 {
	e := &r.engines[slot]
	misses := float64(len(q.Chain) - int(r.hits[slot]))
	for _, h := range r.homes {
		if h.slot == slot {
			misses -= min(h.bonus, misses)
		}
	}
	slots := max(1, float64(e.Slots)*e.breaker.SlotShare(now))
	wait := 0.0
	for _, n := range e.pending[:q.Rank+1] {
		wait += float64(n)
	}
	if over := float64(e.occupied+1) - slots; over > 0 {
		wait += over / slots * float64(r.weights.ServiceTime) / float64(r.weights.PieceTime)
	}
	for _, n := range e.pending[q.Rank+1:] {
		if n > 0 {
			wait += r.weights.HeadOfLinePieces
			break
		}
	}
	const spread = 0.05 // prefers the emptier engine among equals
	wait += spread * float64(e.occupied) / slots
	return misses*q.RecomputeWeight*r.price + wait + r.rnd.Float64()*1e-3
}

// pickApart gives the suspect of rank n an engine of its own. If another
// suspect runs there already, it gets the last engine without one, which the
// ranks reach last.
func (r *Router) pickApart(now time.Time, p *pool, q *Query) (Choice, bool) {
	n, last := 0, int32(-1)
	for _, slot := range p.slots {
		if !r.eligible(now, slot, q) {
			continue
		}
		if !slices.Contains(q.SuspectEngines, r.engines[slot].ID) {
			if n == q.SuspectRank {
				return r.choice(slot, q, 0), true
			}
			last = slot
		}
		n++
	}
	if last < 0 || n <= q.SuspectRank {
		return Choice{}, false
	}
	return r.choice(last, q, 0), true
}

// Capacity is what a pool can take.
type Capacity struct {
	// Slots may be used; Occupied of them are.
	Slots, Occupied int
	// Engines may be used; Pending pieces wait at them.
	Engines, Pending int
}

// Capacity returns what a pool can take at now.
func (r *Router) Capacity(now time.Time, name string) Capacity {
	var room Capacity
	p, ok := r.pools[name]
	if !ok {
		return room
	}
	q := Query{}
	for _, slot := range p.slots {
		if !r.eligible(now, slot, &q) {
			continue
		}
		e := &r.engines[slot]
		room.Engines++
		room.Slots += e.Slots
		room.Occupied += e.occupied
		room.Pending += e.waiting()
	}
	return room
}

// Leaving reports whether id takes no new work at now.
func (r *Router) Leaving(now time.Time, id string) bool {
	slot, ok := r.byID[id]
	if !ok {
		return true
	}
	return !r.engines[slot].takesWork(now)
}
