package router

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/breaker"
	"github.com/auburnnotch/auburnnotch/pkg/hasher"
)

// engineState is what this node knows of an engine.
type engineState struct {
	Engine
	breaker     breaker.Breaker
	incarnation string
	epoch       uint16
	leaving     bool
	present     bool
	// occupied and pending are the last report plus what this node has sent
	// and seen end since.
	occupied int
	pending  [Ranks]int
	mine     int
	recent   changes
	group    *pool
}

// takesWork reports whether the engine is declared and isn't leaving at now.
func (e *engineState) takesWork(now time.Time) bool {
	return e.present && !e.leaving && (e.LeavesAt.IsZero() || now.Before(e.LeavesAt))
}

// waiting returns the pieces that wait at the engine.
func (e *engineState) waiting() int {
	sum := 0
	for _, n := range e.pending {
		sum += n
	}
	return sum
}

// setPending replaces the pieces that wait for rank and keeps the pool's sum.
func (e *engineState) setPending(rank, n int) {
	n = max(0, n)
	if e.group != nil {
		e.group.pending += n - e.pending[rank]
	}
	e.pending[rank] = n
}

// RecordSend says that a request of chain went to the choice at now.
func (r *Router) RecordSend(now time.Time, c Choice, chain hasher.Chain) {
	e := &r.engines[c.slot]
	e.mine++
	e.change(now, 1, c.Misses, c.rank)
	r.AddHint(c.ID, chain)
}

// AddHint takes a peer's word that it sent a prompt with these pieces to id.
func (r *Router) AddHint(id string, chain hasher.Chain) {
	slot, ok := r.byID[id]
	if !ok {
		return
	}
	for _, h := range chain {
		r.index.add(h, slot, r.engines[slot].epoch)
	}
}

// change counts what this node has changed at the engine since its report.
func (e *engineState) change(now time.Time, occupied, pending int, rank uint8) {
	e.occupied = max(0, e.occupied+occupied)
	e.setPending(int(rank), e.pending[rank]+pending)
	e.recent.add(change{at: now.UnixNano(), occupied: int16(occupied), pending: int16(pending), rank: rank})
}

// RecordFirstToken says that the first token arrived at now.
func (r *Router) RecordFirstToken(now time.Time, c Choice) {
	r.engines[c.slot].change(now, 0, -c.Misses, c.rank)
}

// RecordEnd says that the request no longer holds its slot at now. began tells
// whether Began was called before.
func (r *Router) RecordEnd(now time.Time, c Choice, began bool) {
	e := &r.engines[c.slot]
	e.mine = max(0, e.mine-1)
	if !began {
		e.change(now, 0, -c.Misses, c.rank)
	}
	e.change(now, -1, 0, c.rank)
}

// RecordSuccess says that an attempt went well.
func (r *Router) RecordSuccess(id string) {
	if slot, ok := r.byID[id]; ok {
		e := &r.engines[slot]
		e.breaker = e.breaker.WithSuccess()
	}
}

// RecordFailure says that an attempt failed at now.
func (r *Router) RecordFailure(now time.Time, id string) {
	if slot, ok := r.byID[id]; ok {
		e := &r.engines[slot]
		e.breaker = e.breaker.WithFailure(now)
	}
}

// RecordCrash says that an engine died at now: all it held is gone.
func (r *Router) RecordCrash(now time.Time, id string) {
	if slot, ok := r.byID[id]; ok {
		e := &r.engines[slot]
		e.breaker = e.breaker.WithCrash(now)
		r.empty(e)
	}
}

func (r *Router) empty(e *engineState) {
	e.epoch++
	for rank := range e.pending {
		e.setPending(rank, 0)
	}
	e.occupied = e.mine
	e.incarnation = ""
}

// RecordIncarnation takes the incarnation that an answer or report of id names. A new
// one means that the engine came back empty.
func (r *Router) RecordIncarnation(now time.Time, id, incarnation string) {
	slot, ok := r.byID[id]
	if !ok || incarnation == "" {
		return
	}
	e := &r.engines[slot]
	if e.incarnation != "" && e.incarnation != incarnation {
		r.empty(e)
		e.breaker = e.breaker.WithRestart(now)
	}
	e.incarnation = incarnation
}

// RecordReport takes a load report.
func (r *Router) RecordReport(now time.Time, id string, rep Report) {
	slot, ok := r.byID[id]
	if !ok {
		return
	}
	r.RecordIncarnation(now, id, rep.Incarnation)
	e := &r.engines[slot]
	e.leaving = rep.Leaving
	occupied, pending := e.recent.since(rep.TakenAt)
	e.occupied = max(rep.Occupied+occupied, e.mine)
	for i := range e.pending {
		e.setPending(i, rep.Pending[i]+pending[i])
	}
}
