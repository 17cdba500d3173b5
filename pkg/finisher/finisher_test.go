package finisher_test

import (
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/finisher"
)

var signaledAt = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// Guards against LOST: a node told to stop begins what may outlast it.
func TestNodeInShutdownStartsOnlyRequestsThatEndInTime(t *testing.T) {
	const (
		advertisedFor = 3 * time.Second
		gracePeriod   = 7 * time.Second
	)
	f := finisher.New(signaledAt, signaledAt.Add(advertisedFor), signaledAt.Add(gracePeriod))
	for _, c := range []struct {
		name                string
		at, limit, expected time.Duration // limit from at on
		want                bool
	}{
		{"ends for sure", time.Second, 5 * time.Second, 0, true},
		{"ends for sure, though it is expected to last", time.Second, 5 * time.Second, 20 * time.Second, true},
		{"nothing is known of its kind", time.Second, 15 * time.Second, 0, true},
		{"expected to end in time", time.Second, 15 * time.Second, 6 * time.Second, true},
		{"expected to outlast the node", time.Second, 15 * time.Second, 6*time.Second + 1, false},
		{"just before callers give the address up", advertisedFor - 1, 15 * time.Second, 4 * time.Second, true},
		{"late, may outlast the node", advertisedFor, 15 * time.Second, time.Second, false},
		{"late, nothing is known of its kind", advertisedFor, 15 * time.Second, 0, false},
		{"late, ends for sure", advertisedFor, 4 * time.Second, 0, true},
		{"very late, ends for sure", 6 * time.Second, time.Second, 0, true},
		{"very late, may outlast the node", 6 * time.Second, time.Second + 1, 0, false},
	} {
		now := signaledAt.Add(c.at)
		if got := f.MayStart(now, now.Add(c.limit), c.expected); got != c.want {
			t.Errorf("%s: begins %v", c.name, got)
		}
	}
}

func TestRunningNodeStartsAllRequests(t *testing.T) {
	var f finisher.Finisher
	if _, ok := f.Signal(); ok || !f.MayStart(signaledAt, signaledAt.Add(time.Hour), time.Hour) {
		t.Error("a node that wasn't told to stop acts as if it were")
	}
}
