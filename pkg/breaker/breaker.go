// Package breaker implements a circuit breaker for an upstream: it opens after
// repeated failures, with a doubling open time, and limits the upstream's slots in a
// slow start once it is used again.
package breaker

import "time"

const (
	failuresToOpen   = 3
	initialOpenTime  = 500 * time.Millisecond
	maxOpenTime      = 15 * time.Second
	slowStartTime    = 5 * time.Second
	initialSlotShare = 0.25 // share of the slots at the beginning of a slow start
)

// Breaker is the circuit breaker of one upstream. It is an immutable value; the zero
// value is a closed breaker.
type Breaker struct {
	failures    int           // since the last success
	openTime    time.Duration // the latest open time, 0 after a success
	openUntil   time.Time
	slowStartAt time.Time
}

// New returns a closed Breaker.
func New() Breaker { return Breaker{} }

// Allows reports whether the breaker is closed or half-open at now, so that the
// upstream may receive work.
func (b Breaker) Allows(now time.Time) bool { return !now.Before(b.openUntil) }

// SlotShare returns the share of its slots that the upstream may use at now. It is
// less than 1 during a slow start.
func (b Breaker) SlotShare(now time.Time) float64 {
	if b.slowStartAt.IsZero() {
		return 1
	}
	elapsed := float64(now.Sub(b.slowStartAt)) / float64(slowStartTime)
	return min(1, max(initialSlotShare, initialSlotShare+(1-initialSlotShare)*elapsed))
}

// WithFailure returns the breaker after a failure at now. After failuresToOpen
// failures without a success in between it trips. Each further one doubles the open
// time, up to maxOpenTime.
func (b Breaker) WithFailure(now time.Time) Breaker {
	b.failures++
	if b.failures < failuresToOpen {
		return b
	}
	b.openTime = min(maxOpenTime, max(initialOpenTime, 2*b.openTime))
	b.openUntil = now.Add(b.openTime)
	b.slowStartAt = b.openUntil
	return b
}

// WithCrash returns the breaker after a crash of the upstream was detected at now. A
// crash trips it at once.
func (b Breaker) WithCrash(now time.Time) Breaker {
	b.failures = max(b.failures, failuresToOpen-1)
	return b.WithFailure(now)
}

// WithSuccess returns the breaker after a success. It is closed; a slow start goes on.
func (b Breaker) WithSuccess() Breaker {
	b.failures, b.openTime, b.openUntil = 0, 0, time.Time{}
	return b
}

// HalfOpen reports whether the open time is over at now, without a success of the
// upstream since.
func (b Breaker) HalfOpen(now time.Time) bool { return b.failures >= failuresToOpen && b.Allows(now) }

// WithActivity returns the breaker given the time at which the upstream last sent
// anything. If the breaker has tripped, activity after the end of the open time counts
// as a success.
func (b Breaker) WithActivity(at time.Time) Breaker {
	if b.failures < failuresToOpen || !at.After(b.openUntil) {
		return b
	}
	return b.WithSuccess()
}

// WithRestart returns the breaker after the upstream was found to have restarted, with
// an empty cache, at now. A slow start begins.
func (b Breaker) WithRestart(now time.Time) Breaker {
	b.slowStartAt = now
	return b
}
