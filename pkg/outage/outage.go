// Package outage tells since when the platform's store has been in reach. Time limits on
// what only the leader can do, by way of the store, count from then.
package outage

import "time"

// An outage is minFailures failed reads in a row, with no success at this node or at one that
// reads for it, and minDuration since the first. A read may also fail because its connection
// was reset or the process was suspended, which keeps no leader from its work.
const (
	minFailures = 2
	minDuration = 500 * time.Millisecond
)

// noticeTime is how much later than this node a peer may notice the end of an outage.
const noticeTime = 2 * time.Second

// Outage is what a node knows of the last outage of the store. It is an immutable value;
// the zero value has seen none.
type Outage struct {
	failures     int // in a row
	failingSince time.Time
	endedAt      time.Time
	firstRead    time.Time // zero before the first read that succeeded
}

// WithFailure returns an Outage with a read that failed at now.
func (o Outage) WithFailure(now time.Time) Outage {
	if o.failures == 0 {
		o.failingSince = now
	}
	o.failures++
	return o
}

// WithSuccess returns an Outage with a read that succeeded at now, at this node or at another.
func (o Outage) WithSuccess(now time.Time) Outage {
	if o.lasting(now) {
		o.endedAt = now
	}
	o.failures = 0
	if o.firstRead.IsZero() {
		o.firstRead = now
	}
	return o
}

// WithReport returns an Outage with a peer's report of when the last one ended. It counts if
// this node had not read the store before, since otherwise only the peer was cut off.
func (o Outage) WithReport(endedAt time.Time) Outage {
	if !o.firstRead.IsZero() && endedAt.After(o.endedAt) && !endedAt.After(o.firstRead.Add(noticeTime)) {
		o.endedAt = endedAt
	}
	return o
}

// InReachSince returns since when the store has been in reach at now: now itself during an
// outage, and the zero time if there was none.
func (o Outage) InReachSince(now time.Time) time.Time {
	if o.lasting(now) {
		return now
	}
	return o.endedAt
}

func (o Outage) lasting(now time.Time) bool {
	return o.failures >= minFailures && now.Sub(o.failingSince) >= minDuration
}
