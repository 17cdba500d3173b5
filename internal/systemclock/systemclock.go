// Package systemclock implements clock.Clock with the system clock.
package systemclock

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// SystemClock implements clock.Clock with package time.
type SystemClock struct{}

// New returns the system clock.
func New() SystemClock { return SystemClock{} }

// Now implements clock.Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// After implements clock.Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc implements clock.Clock.
func (SystemClock) AfterFunc(d time.Duration, f func()) clock.Timer { return time.AfterFunc(d, f) }
