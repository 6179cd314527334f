package connguard

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// HTTPRejection is the answer to a head over the limit, for Options.Rejection.
const HTTPRejection = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Options describes a listener.
type Options struct {
	// Name is that of the listener in metrics.
	Name string
	// HeadBytes returns the largest head that is read; nil or 0 if that isn't bounded here.
	HeadBytes func() int64
	// HeadTimeout bounds the time until the first whole head; 0 if something else does.
	HeadTimeout time.Duration
	// Rejection is sent to a connection whose head exceeds the limit; empty for none.
	Rejection string
}

// Listener accepts connections that a guard accounts for.
type Listener struct {
	net.Listener
	guard   *Guard
	options Options
}

// Wrap returns a listener whose connections the guard accounts for.
func (g *Guard) Wrap(l net.Listener, o Options) *Listener {
	return &Listener{Listener: l, guard: g, options: o}
}

func (l *Listener) headLimit() int64 {
	if l.options.HeadBytes == nil {
		return 0
	}
	return l.options.HeadBytes()
}

const (
	// minAcceptPause and maxAcceptPause bound the pause before the next attempt to accept a
	// connection while the process or the machine has no descriptors left.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
)

// Accept implements net.Listener. While there are no descriptors it closes connections that
// may be closed and tries again after a pause, so that no loop spins.
func (l *Listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		raw, err := l.Listener.Accept()
		switch {
		case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
			l.guard.shedOne()
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		case err != nil:
			return nil, err
		}
		pause = minAcceptPause
		if c := l.guard.open(raw, l); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// shedOne closes the connection that goes first, if there is one.
func (g *Guard) shedOne() {
	g.mu.Lock()
	victim, reason := g.victim(nil)
	if victim != nil {
		g.forget(victim, reason)
	}
	g.mu.Unlock()
	if victim != nil {
		g.closeAll([]*Conn{victim})
	}
}
