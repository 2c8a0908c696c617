// Package clock reads the VM's boot-time clock. Unlike the monotonic clock of
// package time, it also counts the time during which the VM was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time of the boot-time clock of this VM, in nanoseconds. Instants
// of different VMs, or from before and after a reboot, cannot be compared. The zero
// value is the boot of the VM; callers use it for an instant that is not set.
type Instant int64

// Now returns the current instant. If the boot-time clock cannot be read, it
// returns the time of day; that happens on no supported system.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Now().UnixNano())
	}
	return Instant(ts.Nano())
}

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-earlier.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Since returns the time that has passed since i.
func Since(i Instant) time.Duration { return Now().Sub(i) }
