// Package testmeter measures the CPU time and network traffic of benchmarks.
// Only tests use it.
package testmeter

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"
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
