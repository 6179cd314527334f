// Package boottime reads the clock that also counts the time during which the
// VM was suspended. Leases are measured with it: Go's own monotonic clock stands
// still during a suspension, so that a lease could outlive its end.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's start, suspensions included. It never
// goes back.
func Now() time.Duration {
	return time.Since(processStart) + Suspended() - suspendedAtStart
}

// resolution hides the time that passes between the readings of two clocks.
const resolution = 20 * time.Millisecond

// Suspended returns how long the VM has been suspended since its start, in
// steps of the resolution. It is zero where the kernel can't tell.
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
