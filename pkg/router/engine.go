package router

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/breaker"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
)

// engineState is the state of an engine as this node sees it.
type engineState struct {
	Engine
	breaker     breaker.Breaker
	incarnation string
	epoch       uint16
	leaving     bool
	present     bool
	// occupied and pending are the values of the last report plus the requests
	// that this node has sent since, minus those that have ended since.
	occupied      int
	pending       [Ranks]int
	ownRequests   int
	recentChanges changeLog
	pool          *pool
}

// acceptsWork reports whether the engine is declared and isn't leaving at now.
func (e *engineState) acceptsWork(now time.Time) bool {
	return e.present && !e.leaving && (e.LeavesAt.IsZero() || now.Before(e.LeavesAt))
}

// totalPending returns the pieces that wait for prefill at the engine.
func (e *engineState) totalPending() int {
	sum := 0
	for _, n := range e.pending {
		sum += n
	}
	return sum
}

// setPending sets the pieces that wait for prefill at rank and updates the
// pool's sum.
func (e *engineState) setPending(rank, n int) {
	n = max(0, n)
	if e.pool != nil {
		e.pool.pending += n - e.pending[rank]
	}
	e.pending[rank] = n
}

// RecordSend records that a request with the pieces of chain was sent to c at
// now.
func (r *Router) RecordSend(now time.Time, c Choice, chain hasher.Chain) {
	e := &r.engines[c.slot]
	e.ownRequests++
	e.applyChange(now, 1, c.Misses, c.rank)
	r.AddHint(c.ID, chain)
}

// AddHint records a peer's hint that it sent a prompt with the pieces of chain
// to id.
func (r *Router) AddHint(id string, chain hasher.Chain) {
	slot, ok := r.byID[id]
	if !ok {
		return
	}
	for _, h := range chain {
		r.index.add(h, slot, r.engines[slot].epoch)
	}
}

// applyChange updates the engine's load for a local event and logs the change
// for reports that were taken before it.
func (e *engineState) applyChange(now time.Time, occupied, pending int, rank uint8) {
	e.occupied = max(0, e.occupied+occupied)
	e.setPending(int(rank), e.pending[rank]+pending)
	e.recentChanges.add(change{at: now.UnixNano(), occupied: int16(occupied), pending: int16(pending), rank: rank})
}

// RecordFirstToken records that the first token of c arrived at now.
func (r *Router) RecordFirstToken(now time.Time, c Choice) {
	r.engines[c.slot].applyChange(now, 0, -c.Misses, c.rank)
}

// RecordEnd records that the request no longer holds its slot at now.
// gotFirstToken is true if RecordFirstToken was called for c.
func (r *Router) RecordEnd(now time.Time, c Choice, gotFirstToken bool) {
	e := &r.engines[c.slot]
	e.ownRequests = max(0, e.ownRequests-1)
	if !gotFirstToken {
		e.applyChange(now, 0, -c.Misses, c.rank)
	}
	e.applyChange(now, -1, 0, c.rank)
}

// RecordSuccess records a successful attempt at id.
func (r *Router) RecordSuccess(id string) {
	if slot, ok := r.byID[id]; ok {
		e := &r.engines[slot]
		e.breaker = e.breaker.WithSuccess()
	}
}

// RecordFailure records an attempt at id that failed at now.
func (r *Router) RecordFailure(now time.Time, id string) {
	if slot, ok := r.byID[id]; ok {
		e := &r.engines[slot]
		e.breaker = e.breaker.WithFailure(now)
	}
}

// RecordCrash records that id crashed at now. Its cache and its queue are lost.
func (r *Router) RecordCrash(now time.Time, id string) {
	if slot, ok := r.byID[id]; ok {
		e := &r.engines[slot]
		e.breaker = e.breaker.WithCrash(now)
		r.resetEngine(e)
	}
}

// resetEngine discards what is known of an engine that lost its cache and
// queue. Requests of this node count as occupied until RecordEnd.
func (r *Router) resetEngine(e *engineState) {
	e.epoch++
	for rank := range e.pending {
		e.setPending(rank, 0)
	}
	e.occupied = e.ownRequests
	e.incarnation = ""
}

// RecordIncarnation records the incarnation given in a response or report of
// id. A new one means that the engine has restarted with an empty cache.
func (r *Router) RecordIncarnation(now time.Time, id, incarnation string) {
	slot, ok := r.byID[id]
	if !ok || incarnation == "" {
		return
	}
	e := &r.engines[slot]
	if e.incarnation != "" && e.incarnation != incarnation {
		r.resetEngine(e)
		e.breaker = e.breaker.WithRestart(now)
	}
	e.incarnation = incarnation
}

// ReceiveReport merges a load report of id with the changes that this node made
// after the report was taken.
func (r *Router) ReceiveReport(now time.Time, id string, rep Report) {
	slot, ok := r.byID[id]
	if !ok {
		return
	}
	r.RecordIncarnation(now, id, rep.Incarnation)
	e := &r.engines[slot]
	e.leaving = rep.Leaving
	occupied, pending := e.recentChanges.sumAfter(rep.TakenAt)
	e.occupied = max(rep.Occupied+occupied, e.ownRequests)
	for i := range e.pending {
		e.setPending(i, rep.Pending[i]+pending[i])
	}
}
