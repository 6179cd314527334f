// Package arrival tells when a request can have been sent at the earliest. A request may wait
// unread while the process or its VM stands still, or be held up by a link, and the time at which
// it is read says nothing about its age. Its sender may have moved on meanwhile, and its
// connection may look open all the same, since the end of a connection can be lost on the way.
// What is certain is that a client sends a request after its connection was established, and
// after the answer to the request before it.
//
// All times are those of boottime.Now, which runs on while the process stands still.
package arrival

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
)

// Conn is a connection of a Listener.
type Conn struct {
	*net.TCPConn
	// sentAfter is the earliest time, as a time.Duration, at which the client can have sent
	// the request that is read next or handled now.
	sentAfter atomic.Int64
}

// Listener accepts connections and keeps for each one when it can have been established at the
// earliest. Accept must not be called concurrently.
type Listener struct {
	*net.TCPListener
	pauses *Pauses
	// emptyAt is when no connection was waiting to be accepted.
	emptyAt time.Duration
}

// NewListener returns a listener on top of l, which has just been opened.
func NewListener(l *net.TCPListener, pauses *Pauses) *Listener {
	return &Listener{TCPListener: l, pauses: pauses, emptyAt: boottime.Now()}
}

// Accept implements net.Listener. A connection that was established while the process stood
// still gets the time at which the process stopped. While none comes, the queue is looked at
// every TickInterval, so that a pause doesn't count against connections made long after it.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		_ = l.SetDeadline(time.Now().Add(TickInterval))
		tcp, err := l.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			l.checkQueue()
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &Conn{TCPConn: tcp}
		c.sentAfter.Store(int64(l.pauses.stoppedAt(l.emptyAt, boottime.Now())))
		l.checkQueue()
		return c, nil
	}
}

// checkQueue sets emptyAt if no connection waits to be accepted.
func (l *Listener) checkQueue() {
	if now := boottime.Now(); l.isEmpty() {
		l.emptyAt = now
	}
}

// isEmpty reports whether no connection waits to be accepted, as far as that can be told.
func (l *Listener) isEmpty() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	ready := -1
	err = raw.Control(func(fd uintptr) {
		for pollErr := error(unix.EINTR); errors.Is(pollErr, unix.EINTR); {
			ready, pollErr = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		}
	})
	return err == nil && ready == 0
}

type contextKey struct{}

// Context returns a context that holds the connection of a server whose listener is, or wraps, a
// Listener. It is for http.Server.ConnContext.
func Context(ctx context.Context, c net.Conn) context.Context {
	for c != nil {
		if own, ok := c.(*Conn); ok {
			return context.WithValue(ctx, contextKey{}, own)
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	return ctx
}

// SentAfter returns the earliest time at which the request of a context can have been sent; 0
// if nothing is known about its connection.
func SentAfter(ctx context.Context) time.Duration {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok {
		return time.Duration(c.sentAfter.Load())
	}
	return 0
}

// Answering records that a request is answered from now on: the client sends the next one on
// the connection after that.
func Answering(ctx context.Context) {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok {
		c.sentAfter.Store(int64(boottime.Now()))
	}
}

// Handler returns a handler that records when requests were handled. An answer may reach its
// client before the handler returns, so that the time at which the handler began counts, unless
// it calls Answering.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := int64(boottime.Now())
		next.ServeHTTP(w, r)
		if c, ok := r.Context().Value(contextKey{}).(*Conn); ok {
			c.sentAfter.Store(max(began, c.sentAfter.Load()))
		}
	})
}
