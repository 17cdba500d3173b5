// Package clock gives the time to code that must not read the machine's clock
// directly, so that tests can step it.
package clock

import (
	"context"
	"time"
)

// Clock tells the time and waits. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives once when d has passed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc calls f on a goroutine of its own when d has passed.
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a call that is yet to come.
type Timer interface {
	// Stop prevents the call and reports whether it did.
	Stop() bool
	// Reset moves the call to d from now.
	Reset(d time.Duration) bool
}

// BootClock tells the time since the VM's start. It goes on while the VM is suspended.
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
