package finisher_test

import (
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/finisher"
)

var signaledAt = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// Guards against LOST: a node in graceful shutdown starts requests that may run past
// its shutdown deadline.
func TestNodeInShutdownStartsOnlyRequestsThatEndInTime(t *testing.T) {
	const (
		addressCachedFor = 3 * time.Second
		gracePeriod      = 7 * time.Second
	)
	f := finisher.New(signaledAt, signaledAt.Add(addressCachedFor), signaledAt.Add(gracePeriod))
	for _, c := range []struct {
		name                string
		at, limit, expected time.Duration // limit is the deadline relative to at
		known               bool
		start, retry        bool
	}{
		{"deadline in time", time.Second, 5 * time.Second, 0, false, true, true},
		{"deadline in time, expected to take longer", time.Second, 5 * time.Second, 20 * time.Second, true, true, true},
		{"unknown duration", time.Second, 15 * time.Second, 0, false, false, false},
		{"must not start on an estimate", time.Second, 15 * time.Second, time.Millisecond, false, false, false},
		{"expected to end in time", time.Second, 15 * time.Second, 6 * time.Second, true, true, true},
		{"expected to end too late", time.Second, 15 * time.Second, 6*time.Second + 1, true, false, false},
		{"just before cached addresses expire", addressCachedFor - 1, 15 * time.Second, 4 * time.Second, true, true, true},
		{"after cached addresses expired, deadline too late", addressCachedFor, 15 * time.Second, time.Second, true, false, true},
		{"after cached addresses expired, unknown duration", addressCachedFor, 15 * time.Second, 0, false, false, false},
		{"after cached addresses expired, deadline in time", addressCachedFor, 4 * time.Second, 0, false, true, true},
		{"near the shutdown deadline, deadline in time", 6 * time.Second, time.Second, 0, false, true, true},
		{"near the shutdown deadline, deadline too late", 6 * time.Second, time.Second + 1, 0, true, false, true},
	} {
		now := signaledAt.Add(c.at)
		if got := f.MayStart(now, now.Add(c.limit), c.expected, c.known); got != c.start {
			t.Errorf("%s: MayStart = %v", c.name, got)
		}
		if got := f.MayRetry(now, now.Add(c.limit), c.expected, c.known); got != c.retry {
			t.Errorf("%s: MayRetry = %v", c.name, got)
		}
	}
}

// Guards against LOST: a request was started that was expected to end just in time, and
// its engine paused.
func TestExpectedDurationHasMargin(t *testing.T) {
	const (
		gracePeriod = 7 * time.Second
		margin      = time.Second
		limit       = 15 * time.Second
	)
	f := finisher.New(signaledAt, signaledAt.Add(gracePeriod), signaledAt.Add(gracePeriod)).WithMargin(margin)
	for expected, want := range map[time.Duration]bool{gracePeriod - margin: true, gracePeriod - margin + 1: false} {
		if got := f.MayStart(signaledAt, signaledAt.Add(limit), expected, true); got != want {
			t.Errorf("expected to take %v of %v: MayStart = %v", expected, gracePeriod, got)
		}
	}
	if !f.MayStart(signaledAt, signaledAt.Add(gracePeriod), gracePeriod, true) {
		t.Error("a request whose deadline is in time needs no margin")
	}
}

func TestRunningNodeStartsAllRequests(t *testing.T) {
	var f finisher.Finisher
	if _, ok := f.SignaledAt(); ok || !f.MayStart(signaledAt, signaledAt.Add(time.Hour), time.Hour, false) ||
		!f.MayRetry(signaledAt, signaledAt.Add(time.Hour), time.Hour, false) {
		t.Error("a running node acts as if it were in shutdown")
	}
}
