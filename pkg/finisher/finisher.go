// Package finisher decides which requests a node that was told to stop still
// begins: those that end before the node does.
package finisher

import "time"

// Finisher is the timetable of a stop. It is an immutable value; the zero value
// belongs to a node that wasn't told to stop.
type Finisher struct{ signaledAt, advertisedUntil, shutdownDeadline time.Time }

// New returns the timetable of a stop that was asked for at signal. Until held
// callers may still use the node's address; at end the node breaks off what
// remains.
func New(signaledAt, advertisedUntil, shutdownDeadline time.Time) Finisher {
	return Finisher{signaledAt: signaledAt, advertisedUntil: advertisedUntil, shutdownDeadline: shutdownDeadline}
}

// Signal returns when the node was told to stop, and whether it was.
func (f Finisher) Signal() (time.Time, bool) { return f.signaledAt, !f.signaledAt.IsZero() }

// MayStart reports whether a request may begin at now that ends by deadline at the
// latest. expected is how long requests of its kind and size take, 0 for not
// known. While callers rightly use the node, the expectation decides; later
// requests begin only if they end in time for sure.
func (f Finisher) MayStart(now, deadline time.Time, expected time.Duration) bool {
	switch {
	case f.signaledAt.IsZero(), !deadline.After(f.shutdownDeadline):
		return true
	case !now.Before(f.advertisedUntil):
		return false
	}
	return !now.Add(expected).After(f.shutdownDeadline)
}
