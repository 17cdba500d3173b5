package successor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/successor"
)

const (
	gap    = 3 * time.Second
	flight = 800 * time.Millisecond
	taken  = time.Hour // boot time at which the next leader takes over
)

// Guards against a roll-out that stands still after each change of leadership, although the
// last order was sent long ago, and against orders of two machines within the gap.
func TestFirstOrder(t *testing.T) {
	const released = 10 * time.Minute // boot time of the last leader
	for name, c := range map[string]struct {
		history successor.History
		a, b    time.Duration // from the taking to the first order, for the machine of the last one and for another one
	}{
		"only the limit is known": {successor.New(released - time.Second), 2 * time.Second, 2 * time.Second},
		"orders may still arrive": {successor.New(released + flight), gap + flight, gap + flight},
		"order long ago":          {successor.New(0).WithOrder("a", released-10*time.Second, true), -10 * time.Second, -7 * time.Second},
		"order just now":          {successor.New(0).WithOrder("a", released, true), 0, gap},
		"no response":             {successor.New(0).WithOrder("a", released-20*time.Second, false), gap + flight, gap + flight},
		"response after none": {
			successor.New(0).WithOrder("a", released-20*time.Second, false).WithOrder("a", released, true), gap + flight, gap + flight,
		},
		"no response long ago":     {successor.New(0).WithOrder("a", released-2*time.Minute, false), -2 * time.Minute, gap - 2*time.Minute},
		"attempts end out of turn": {successor.New(0).WithOrder("a", released, true).WithOrder("a", released-time.Second, true), 0, gap},
		"order of another machine": {successor.New(0).WithOrder("b", released-time.Second, true).WithOrder("a", released, true), 0, gap},
	} {
		since, machine := c.history.Tell(released)
		next := successor.Told(taken, since, machine)
		if got := next.FirstOrder(taken, "a", gap) - taken; got != c.a {
			t.Errorf("%s: a waits for %v, want %v", name, got, c.a)
		}
		if got := next.FirstOrder(taken, "b", gap) - taken; got != c.b {
			t.Errorf("%s: b waits for %v, want %v", name, got, c.b)
		}
		if got := next.FirstOrder(taken, "", gap) - taken; got != c.b {
			t.Errorf("%s: a nameless machine waits for %v, want %v", name, got, c.b)
		}
		// A leader without orders of its own passes on what it knows.
		const later = 700 * time.Millisecond
		since, machine = next.Tell(taken + later)
		if got := successor.Told(0, since, machine).FirstOrder(0, "b", gap); got != c.b-later {
			t.Errorf("%s: b waits for %v after a leader without orders, want %v", name, got, c.b-later)
		}
	}
}

// Guards against a record with an odd time that keeps orders back for good.
func TestOddRecordDelaysNoLonger(t *testing.T) {
	if got := successor.Told(0, -1000*time.Hour, "").FirstOrder(0, "b", gap); got > 10*time.Second+gap {
		t.Errorf("first order after %v", got)
	}
}

func ExampleHistory() {
	const now = 20 * time.Second // boot time of the leader that stops
	since, machine := successor.New(0).WithOrder("a", now-2*time.Second, true).Tell(now)
	next := successor.Told(0, since, machine)
	fmt.Println(next.FirstOrder(0, "b", 3*time.Second), next.FirstOrder(0, "a", 3*time.Second) <= 0)
	// Output: 1s true
}
