package testlib

import (
	"sync"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// Clock is a clock.Clock that advances only when a test calls Step, which also
// fires the timers that are due.
type Clock struct {
	mu      sync.Mutex
	now     time.Time
	pending []pendingTimer
}

type pendingTimer struct {
	at      time.Time
	fire    func(now time.Time)
	stopped *bool
}

// NewClock returns a Clock that is set to start.
func NewClock(start time.Time) *Clock { return &Clock{now: start} }

// Now implements clock.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Elapsed implements clock.BootClock, with the Unix epoch in place of the boot.
func (c *Clock) Elapsed() time.Duration { return time.Duration(c.Now().UnixNano()) }

// After implements clock.Clock.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	ch := make(chan time.Time, 1)
	c.add(d, func(now time.Time) { ch <- now })
	return ch
}

// AfterFunc implements clock.Clock. Step calls f.
func (c *Clock) AfterFunc(d time.Duration, f func()) clock.Timer {
	t := &timer{c: c, f: f}
	t.Reset(d)
	return t
}

func (c *Clock) add(d time.Duration, fire func(now time.Time)) *bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	stopped := new(bool)
	c.pending = append(c.pending, pendingTimer{at: c.now.Add(d), fire: fire, stopped: stopped})
	return stopped
}

// Step advances the clock by d and fires the timers that are due.
func (c *Clock) Step(d time.Duration) {
	c.mu.Lock()
	c.now = c.now.Add(d)
	now := c.now
	var due []pendingTimer
	kept := c.pending[:0]
	for _, p := range c.pending {
		switch {
		case *p.stopped:
		case p.at.After(now):
			kept = append(kept, p)
		default:
			due = append(due, p)
		}
	}
	c.pending = kept
	c.mu.Unlock()
	for _, p := range due {
		p.fire(now)
	}
}

type timer struct {
	c       *Clock
	f       func()
	stopped *bool
}

// Stop implements clock.Timer.
func (t *timer) Stop() bool {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	was := !*t.stopped
	*t.stopped = true
	return was
}

// Reset implements clock.Timer.
func (t *timer) Reset(d time.Duration) bool {
	active := t.stopped != nil && !*t.stopped
	if active {
		t.Stop()
	}
	t.stopped = t.c.add(d, func(time.Time) { t.f() })
	return active
}
