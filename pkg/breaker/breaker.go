// Package breaker keeps work from an upstream that fails, and lets one that
// returns start slowly.
package breaker

import "time"

const (
	failuresToOpen = 3
	firstPause     = 500 * time.Millisecond
	maxPause       = 15 * time.Second
	slowStart      = 5 * time.Second
	slowStartShare = 0.25 // of the slots, at the beginning
)

// Breaker is the state of one upstream. It is an immutable value; the zero
// value is a healthy upstream.
type Breaker struct {
	failures  int
	pause     time.Duration
	openUntil time.Time
	since     time.Time // of the slow start
}

// New returns the Breaker of a healthy upstream.
func New() Breaker { return Breaker{} }

// Allows reports whether the upstream may receive work at now.
func (b Breaker) Allows(now time.Time) bool { return !now.Before(b.openUntil) }

// SlotShare returns the share of its slots that it may use at now.
func (b Breaker) SlotShare(now time.Time) float64 {
	if b.since.IsZero() {
		return 1
	}
	passed := float64(now.Sub(b.since)) / float64(slowStart)
	return min(1, max(slowStartShare, slowStartShare+(1-slowStartShare)*passed))
}

// WithFailure returns the state after a failure at now.
func (b Breaker) WithFailure(now time.Time) Breaker {
	b.failures++
	if b.failures < failuresToOpen {
		return b
	}
	b.pause = min(maxPause, max(firstPause, 2*b.pause))
	b.openUntil = now.Add(b.pause)
	b.since = b.openUntil
	return b
}

// WithCrash returns the state after the upstream was seen to die at now.
func (b Breaker) WithCrash(now time.Time) Breaker {
	b.failures = max(b.failures, failuresToOpen-1)
	return b.WithFailure(now)
}

// WithSuccess returns the state after a success.
func (b Breaker) WithSuccess() Breaker {
	b.failures, b.pause, b.openUntil = 0, 0, time.Time{}
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
	b.since = now
	return b
}
