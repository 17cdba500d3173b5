// Package breaker keeps work from an upstream that fails, and lets one that
// returns start slowly.
package breaker

import "time"

const (
	failuresToOpen   = 3
	initialOpenTime  = 500 * time.Millisecond
	maxOpenTime      = 15 * time.Second
	slowStartTime    = 5 * time.Second
	initialSlotShare = 0.25 // of the slots, at the beginning
)

// Breaker is the state of one upstream. It is an immutable value; the zero
// value is a healthy upstream.
type Breaker struct {
	failures    int
	openTime    time.Duration
	openUntil   time.Time
	slowStartAt time.Time // of the slow start
}

// New returns the Breaker of a healthy upstream.
func New() Breaker { return Breaker{} }

// Allows reports whether the upstream may receive work at now.
func (b Breaker) Allows(now time.Time) bool { return !now.Before(b.openUntil) }

// SlotShare returns the share of its slots that it may use at now.
func (b Breaker) SlotShare(now time.Time) float64 {
	if b.slowStartAt.IsZero() {
		return 1
	}
	elapsed := float64(now.Sub(b.slowStartAt)) / float64(slowStartTime)
	return min(1, max(initialSlotShare, initialSlotShare+(1-initialSlotShare)*elapsed))
}

// WithFailure returns the state after a failure at now.
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

// WithCrash returns the state after the upstream was seen to die at now.
func (b Breaker) WithCrash(now time.Time) Breaker {
	b.failures = max(b.failures, failuresToOpen-1)
	return b.WithFailure(now)
}

// WithSuccess returns the state after a success.
func (b Breaker) WithSuccess() Breaker {
	b.failures, b.openTime, b.openUntil = 0, 0, time.Time{}
	return b
}

// HalfOpen reports whether the upstream may be tried at now after it was kept from
// work, and hasn't succeeded since.
func (b Breaker) HalfOpen(now time.Time) bool { return b.failures >= failuresToOpen && b.Allows(now) }

// WithActivity returns the state after the last sign of life of the upstream: one
// since it may be tried again counts as a success.
func (b Breaker) WithActivity(at time.Time) Breaker {
	if b.failures < failuresToOpen || !at.After(b.openUntil) {
		return b
	}
	return b.WithSuccess()
}

// WithRestart returns the state of an upstream that came back empty at now.
func (b Breaker) WithRestart(now time.Time) Breaker {
	b.slowStartAt = now
	return b
}
