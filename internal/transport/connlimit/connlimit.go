// Package connlimit bounds how long callers' connections may take over a header
// and how long they may stay idle. Unlike those of http.Server, the bounds may
// change while the server runs.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds are the times in force; zero stands for no bound.
type Bounds struct {
	// Header bounds the time from a connection's start to the end of its first
	// request's header.
	Header time.Duration
	// Idle bounds the time without a request.
	Idle time.Duration
}

// Limiter closes connections that exceed the bounds. Its State method serves as
// an http.Server's ConnState. It is safe for concurrent use.
//
// Invariant: a connection is closed only while its server waits for a header.
type Limiter struct {
	bounds func() Bounds

	mu      sync.Mutex
	waiting map[net.Conn]*time.Timer
}

// New returns a limiter that asks for the bounds whenever a wait begins.
func New(bounds func() Bounds) *Limiter {
	return &Limiter{bounds: bounds, waiting: make(map[net.Conn]*time.Timer)}
}

// State follows a connection. The server reports StateActive once it has read
// the header of a request.
func (l *Limiter) State(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if timer := l.waiting[c]; timer != nil {
		timer.Stop()
		delete(l.waiting, c)
	}
	bounds := l.bounds()
	switch {
	case state == http.StateNew && bounds.Header > 0:
		l.closeAfter(c, bounds.Header)
	case state == http.StateIdle && bounds.Idle > 0:
		// The next header may begin at the last moment.
		l.closeAfter(c, bounds.Idle+bounds.Header)
	}
}

// closeAfter closes a connection unless its state changes before. The caller
// holds the lock.
func (l *Limiter) closeAfter(c net.Conn, wait time.Duration) {
	var timer *time.Timer
	timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.waiting[c] != timer {
			return
		}
		delete(l.waiting, c)
		_ = c.Close() // the server sees the end and lets go of the connection
	})
	l.waiting[c] = timer
}
