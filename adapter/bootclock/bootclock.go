// Package bootclock reads the kernel's clock that is never set and runs while the host is suspended.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the kernel's clock since boot.
type Clock struct{}

// started is the origin of the clock that replaces the kernel's where that can't be read.
var started = time.Now()

// Now returns the time since the host was booted, including the time for which it was suspended.
func (Clock) Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(started)
	}
	return time.Duration(now.Nano())
}
