// Package testmeter measures the CPU time and network traffic of benchmarks, and how work
// grows with its size.
// Only tests use it.
package testmeter

import (
	"math"
	"net"
	"runtime"
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

// growthRuns is the number of runs of which Growth takes the shortest.
const growthRuns = 7

// Growth returns how much CPU time work takes at a size and at twice that size: the least of
// several runs each, without what other goroutines and the garbage collector's use. prepare
// returns the work for a factor, 1 or 2. Work that grows with its size takes twice as long,
// and work that grows with a product of two sizes four times.
func Growth(prepare func(factor int) (work func())) (once, twice time.Duration) {
	return least(prepare(1)), least(prepare(2))
}

func least(work func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	shortest := time.Duration(math.MaxInt64)
	for range growthRuns {
		runtime.GC()
		began := threadTime()
		work()
		shortest = min(shortest, threadTime()-began)
	}
	return shortest
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
