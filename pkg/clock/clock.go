// Package clock defines clocks that are passed to code instead of reading the
// system clock directly, so that tests can control the time.
package clock

import (
	"context"
	"time"
)

// Clock returns the current time and creates timers. Implementations are safe
// for concurrent use.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel on which the time is sent once when d has passed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc calls f in its own goroutine when d has passed.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a pending call of AfterFunc.
type Timer interface {
	// Stop cancels the call and reports whether it was still pending.
	Stop() bool
	// Reset reschedules the call to d from now. Like time.Timer.Reset, it
	// reports whether the call was still pending.
	Reset(d time.Duration) bool
}

// BootClock measures the time since the VM's boot, including the time that the
// VM was suspended.
type BootClock interface{ Elapsed() time.Duration }

// Sleep waits until d has passed or ctx ends, and reports whether d has passed.
func Sleep(ctx context.Context, clk Clock, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-clk.After(d):
		return true
	}
}
