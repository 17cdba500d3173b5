// Package boottime reads a clock that continues while the VM is suspended.
package boottime

import (
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Clock reads the time since the VM was booted. The zero value is ready to use.
type Clock struct{}

// New returns a Clock, or an error if the system does not provide CLOCK_BOOTTIME.
func New() (Clock, error) {
	var ts unix.Timespec
	err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return Clock{}, errors.Annotate(err, "read CLOCK_BOOTTIME")
}

// Elapsed returns the time since the VM was booted, including suspensions.
func (Clock) Elapsed() time.Duration {
	var ts unix.Timespec
	// New has read the clock successfully, so this call can't fail.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts)
	return time.Duration(ts.Nano())
}
