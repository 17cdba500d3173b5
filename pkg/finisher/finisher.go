// Package finisher decides which requests a node in graceful shutdown still starts:
// those that end before its shutdown deadline.
package finisher

import "time"

// Finisher holds the times of a graceful shutdown. It is an immutable value; the zero
// value is for a node that isn't in shutdown.
type Finisher struct {
	signaledAt, addressCachedUntil, shutdownDeadline time.Time

	margin time.Duration
}

// New returns the Finisher of a node that was signaled to shut down at signaledAt.
// Until addressCachedUntil, callers may still use the node's address. At
// shutdownDeadline, the node aborts the remaining requests.
func New(signaledAt, addressCachedUntil, shutdownDeadline time.Time) Finisher {
	return Finisher{signaledAt: signaledAt, addressCachedUntil: addressCachedUntil, shutdownDeadline: shutdownDeadline}
}

// WithMargin returns a copy of f for requests that may take d longer than expected.
func (f Finisher) WithMargin(d time.Duration) Finisher {
	f.margin = d
	return f
}

// SignaledAt returns when the node was signaled to shut down, and whether it was.
func (f Finisher) SignaledAt() (time.Time, bool) { return f.signaledAt, !f.signaledAt.IsZero() }

// MayStart reports whether a request with the given deadline may start at now.
// expected is how long it is expected to take; known is false if that is unknown, or if
// the request must not start on an estimate. A request whose deadline isn't after the
// shutdown deadline may always start. Any other may start only while callers can still
// have the node's address cached, and if it is expected to end in time. A node that
// isn't in shutdown starts all requests.
func (f Finisher) MayStart(now, deadline time.Time, expected time.Duration, known bool) bool {
	if f.signaledAt.IsZero() || !deadline.After(f.shutdownDeadline) {
		return true
	}
	return now.Before(f.addressCachedUntil) && f.MayRetry(now, deadline, expected, known)
}

// MayRetry reports whether a request that the node has started earlier may be sent once
// more at now. It is MayStart without the condition on callers' addresses.
func (f Finisher) MayRetry(now, deadline time.Time, expected time.Duration, known bool) bool {
	if f.signaledAt.IsZero() || !deadline.After(f.shutdownDeadline) {
		return true
	}
	return known && !now.Add(expected+f.margin).After(f.shutdownDeadline)
}
