// Package connlimit limits how long a caller's connection may take to send a
// request header and how long it may stay idle. Unlike the timeouts of http.Server,
// these bounds can change while the server runs.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds are the current time limits; zero means no limit.
type Bounds struct {
	// Header limits the time from the start of a connection to the end of its
	// first request header.
	Header time.Duration
	// Idle limits the time between two requests.
	Idle time.Duration
}

// Limiter closes connections that exceed the bounds. Its State method is meant
// for http.Server.ConnState. It is safe for concurrent use.
//
// Invariant: a connection is closed only while its server waits for a header.
type Limiter struct {
	bounds func() Bounds

	mu      sync.Mutex
	waiting map[net.Conn]*time.Timer
}

// New returns a limiter that calls bounds on every state change of a connection.
func New(bounds func() Bounds) *Limiter {
	return &Limiter{bounds: bounds, waiting: make(map[net.Conn]*time.Timer)}
}

// State handles a state change of a connection. The server reports StateActive
// once it has read the header of a request.
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
		// The next header may start just before the idle limit.
		l.closeAfter(c, bounds.Idle+bounds.Header)
	}
}

// closeAfter closes a connection after wait unless its state changes earlier. The
// caller holds l.mu.
func (l *Limiter) closeAfter(c net.Conn, wait time.Duration) {
	var timer *time.Timer
	timer = time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.waiting[c] != timer {
			return
		}
		delete(l.waiting, c)
		_ = c.Close() // the server's read fails and it drops the connection
	})
	l.waiting[c] = timer
}
