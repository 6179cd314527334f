// Package testmeter measures the CPU time and network traffic of benchmarks, and how work
// grows with its size.
// Only tests use it.
package testmeter

import (
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn wraps a connection and adds the bytes read and written to Bytes.
type Conn struct {
	net.Conn
	Bytes *atomic.Int64
}

// Read implements net.Conn.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Bytes.Add(int64(n))
	return n, err
}

// CPUTime returns the CPU time that this process has used, in user and
// system mode. It panics if getrusage fails.
func CPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// growthRuns is the number of runs at each size of which Growth takes the shortest.
const growthRuns = 15

// Growth returns how much CPU time work takes at a size and at twice that size: the least of
// several runs each, in turn, without the garbage collector and other goroutines. prepare
// returns the work for a factor, 1 or 2. Work that grows with its size takes twice as long,
// and work that grows with a product of two sizes four times.
func Growth(prepare func(factor int) (work func())) (once, twice time.Duration) {
	work := [2]func(){prepare(1), prepare(2)}
	least := [2]time.Duration{math.MaxInt64, math.MaxInt64}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	// A thread that allocates does part of the collector's work while that runs.
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	for range growthRuns {
		for i := range work {
			runtime.GC()
			began := threadTime()
			work[i]()
			least[i] = min(least[i], threadTime()-began)
		}
	}
	return least[0], least[1]
}

// threadTime returns the CPU time that the current thread has used. It panics if
// clock_gettime fails.
func threadTime() time.Duration {
	var used unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &used); err != nil {
		panic(err)
	}
	return time.Duration(used.Nano())
}
