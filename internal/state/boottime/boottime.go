// Package boottime reads the clock that also counts the time during which the
// VM was suspended. Leases are measured with it: Go's own monotonic clock stands
// still during a suspension, so that a lease could outlive its end.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the VM's start. It never goes back. It falls back
// to the process's monotonic clock where the kernel has no such clock.
func Now() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(at.Nano())
}

var processStart = time.Now()
