// Package clock reads a steady clock that also counts the time during which the
// VM was suspended, which the monotonic clock of package time does not.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on the steady clock of this VM. It does not compare with
// other VMs' clocks.
type Instant int64

// Now returns the current instant. Where the clock cannot be read, which no
// supported system does, it falls back on the time of day.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Now().UnixNano())
	}
	return Instant(ts.Nano())
}

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Since returns the time from i to now.
func Since(i Instant) time.Duration { return Now().Sub(i) }
