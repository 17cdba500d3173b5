package relayer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/pkg/estimator"
	"github.com/auburnnotch/auburnnotch/pkg/finisher"
)

// ErrShutdownDeadline is the cause of the end of a request's context where the node has no
// time left to stop.
const ErrShutdownDeadline = errors.ConstError("the node's time to stop is over")

func (r *Relayer) timetable() finisher.Finisher {
	if f := r.finisher.Load(); f != nil {
		return *f
	}
	return finisher.Finisher{}
}

// begins reports whether the request may be sent on by a node that perhaps
// stops.
func (u *run) begins(now time.Time) bool {
	f := u.r.timetable()
	if _, stops := f.Signal(); !stops {
		return true
	}
	u.r.mu.Lock()
	u.expected = u.r.estimator.Estimate(now, u.route.Name, u.output())
	u.r.mu.Unlock()
	return f.Begins(now, u.deadline, u.expected)
}

// pace remembers how long the whole answer took. The relayer's lock must be held.
func (u *run) pace() {
	now := u.r.Clock.Now()
	first := now
	if u.began {
		first = u.begunAt
	}
	u.r.estimator.Record(u.route.Name, estimator.Sample{
		At: now, First: first.Sub(u.req.Arrived), Rest: now.Sub(first), Output: u.output(),
	})
}

func (u *run) output() int {
	if u.req.Prompt == nil {
		return 0
	}
	return u.req.Prompt.MaxOutput
}

// cutOff reports whether the node has no time left for the request.
func (u *run) cutOff() bool { return context.Cause(u.ctx) == ErrShutdownDeadline }
