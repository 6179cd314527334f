// Package boottime reads a monotonic clock that includes the time during which
// the VM was suspended. Leases are measured with it: Go's monotonic clock stops
// while the VM is suspended, so a holder would keep using an expired lease.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the start of the process, including suspensions.
// It never decreases.
func Now() time.Duration {
	return time.Since(processStart) + Suspended() - suspendedAtStart
}

// resolution is coarser than the time that passes between reading the two clocks
// in Suspended.
const resolution = 20 * time.Millisecond

// Suspended returns how long the VM has been suspended since boot, rounded down
// to a multiple of resolution. It returns 0 if the kernel lacks either clock.
func Suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano()).Truncate(resolution)
}

var (
	processStart     = time.Now()
	suspendedAtStart = Suspended()
)
