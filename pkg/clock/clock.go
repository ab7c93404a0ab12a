// Package clock reads the boot clock, on which leases and ages are measured.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the boot clock. The clock is monotonic, never jumps, and
// includes the time during which the machine was suspended.
type Instant time.Duration

// Now reads the boot clock.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel.
		panic(err)
	}
	return Instant(ts.Nano())
}

// Sub returns the time that has passed since an earlier instant.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
