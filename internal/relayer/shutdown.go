package relayer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/pkg/estimator"
	"github.com/auburnnotch/auburnnotch/pkg/finisher"
)

// ErrShutdownDeadline is the cancellation cause of the contexts of requests that
// are still in flight at the node's shutdown deadline.
const ErrShutdownDeadline = errors.ConstError("the node reached its shutdown deadline")

// unstartedReason is why a node in graceful shutdown refuses a request.
const unstartedReason = "request may not finish before the node shuts down"

func (r *Relayer) shutdownSchedule() finisher.Finisher {
	if f := r.finisher.Load(); f != nil {
		return *f
	}
	return finisher.Finisher{}
}

// mayStart reports whether the request may be sent for the first time. During graceful
// shutdown that depends on its deadline and its expected duration.
func (u *relay) mayStart(now time.Time) bool {
	f := u.r.shutdownSchedule()
	if _, stops := f.SignaledAt(); !stops {
		return true
	}
	expected, known := u.estimate(now)
	return f.MayStart(now, u.deadline, expected, known)
}

// mayFinish reports whether a further attempt would end in time. During graceful shutdown
// that depends on its deadline and its expected duration.
func (u *relay) mayFinish(now time.Time) bool {
	f := u.r.shutdownSchedule()
	if _, stops := f.SignaledAt(); !stops {
		return true
	}
	expected, known := u.estimate(now)
	return f.MayRetry(now, u.deadline, expected, known)
}

// estimate returns how long the request is expected to take, and whether the node may
// rely on that: a request that may not be repeated is lost if it takes longer.
func (u *relay) estimate(now time.Time) (expected time.Duration, known bool) {
	u.r.mu.Lock()
	defer u.r.mu.Unlock()
	expected, known = u.r.estimator.Estimate(now, u.route.Name, u.maxOutput())
	if known {
		expected += queueingDelay(u.choice)
	}
	u.expectedDuration = expected
	return expected, known && u.route.Repeatable()
}

// recordDuration records how long the complete response took. The relayer's lock
// must be held.
func (u *relay) recordDuration() {
	now := u.r.Clock.Now()
	first := now
	if u.responseStarted {
		first = u.responseStartedAt
	}
	u.r.estimator.Record(u.route.Name, estimator.Sample{
		At: now, First: first.Sub(u.req.Arrived), Rest: now.Sub(first), MaxOutput: u.maxOutput(),
	})
}

func (u *relay) maxOutput() int {
	if u.req.Prompt == nil {
		return 0
	}
	return u.req.Prompt.MaxOutput
}

// pastShutdownDeadline reports whether the request was canceled at the node's
// shutdown deadline.
func (u *relay) pastShutdownDeadline() bool { return context.Cause(u.ctx) == ErrShutdownDeadline }
