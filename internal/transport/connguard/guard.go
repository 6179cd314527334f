// Package connguard bounds the memory and the descriptors that connections to a process
// may occupy, over all of its listeners. Clients outside the limits otherwise fill both with
// heads that never end, or with connections that they only hold open.
package connguard

import (
	"cmp"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// connBytes is what a connection without a request occupies, in bytes: the stack of its
	// goroutine and the buffers of its server.
	connBytes = 16 << 10
	// headFactor is what a byte of a head occupies: the server collects it in buffers that
	// double, and then as text.
	headFactor = 2
	// rejectTimeout bounds the time to answer a head over the limit, and drainBytes what is
	// read of the rest of it, so that the answer isn't lost in a reset.
	rejectTimeout = 200 * time.Millisecond
	drainBytes    = 256 << 10
)

// Limits bounds what the connections of a process may occupy.
type Limits struct {
	// Bytes bounds their memory, including that of heads that are being read.
	Bytes int64
	// Conns bounds their number.
	Conns int
}

// Reason says why a connection was closed.
type Reason string

const (
	// ReasonHead means that the head of a request exceeds the limit of its listener.
	ReasonHead Reason = "head_too_large"
	// ReasonHeadTime means that no whole head has come in time.
	ReasonHeadTime Reason = "head_timeout"
	// ReasonUnfinished means that room was needed and the connection had sent no whole head.
	ReasonUnfinished Reason = "unfinished"
	// ReasonIdle means that room was needed and the connection was idle.
	ReasonIdle Reason = "idle"
	// ReasonFull means that there was no room and no other connection could be closed.
	ReasonFull Reason = "full"
)

// Reasons lists all reasons.
var Reasons = []Reason{ReasonHead, ReasonHeadTime, ReasonUnfinished, ReasonIdle, ReasonFull}

// Guard accounts for the connections of a process. It is safe for concurrent use.
//
// Invariant: a connection is closed for room only while its server waits for a head, so that
// no request is cut that may have been passed on.
type Guard struct {
	limits Limits
	// onClose, if set, is called with each connection that is closed, without a lock.
	onClose func(listener string, r Reason)

	mu    sync.Mutex
	bytes int64
	next  uint64
	conns map[*Conn]struct{}
}

// New returns a guard with limits; limits of 0 don't bound. onClose may be nil.
func New(limits Limits, onClose func(listener string, r Reason)) *Guard {
	return &Guard{limits: limits, onClose: onClose, conns: make(map[*Conn]struct{})}
}

// Usage returns the number of connections and the bytes that they are counted with.
func (g *Guard) Usage() (conns int, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns), g.bytes
}

// phase is what a connection's server does.
type phase uint8

const (
	// phaseFirstHead is that of a connection which has sent no whole head yet.
	phaseFirstHead phase = iota + 1
	// phaseIdle is that between two requests.
	phaseIdle
	phaseActive
)

// Conn is a connection that a guard accounts for.
type Conn struct {
	net.Conn
	guard    *Guard
	listener *Listener
	number   uint64

	// The guard's lock guards the rest.
	phase phase
	// since is when the phase began, and head the size of the head read in it, in bytes.
	since  time.Time
	head   int64
	gone   bool
	reason Reason
	timer  *time.Timer
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SetLinger sets the option SO_LINGER of the connection below, if it is a TCP connection.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// cost returns what the connection is counted with.
func (c *Conn) cost() int64 { return connBytes + headFactor*c.head }

// open accounts for a new connection. It returns nil if there is no room for it.
func (g *Guard) open(raw net.Conn, l *Listener) *Conn {
	c := &Conn{Conn: raw, guard: g, listener: l, phase: phaseFirstHead, since: time.Now()}
	g.mu.Lock()
	g.next++
	c.number = g.next
	g.conns[c] = struct{}{}
	g.bytes += c.cost()
	victims, ok := g.makeRoom(c)
	if !ok {
		g.forget(c, ReasonFull)
	} else if l.options.HeadTimeout > 0 {
		c.timer = time.AfterFunc(l.options.HeadTimeout, c.expire)
	}
	g.mu.Unlock()
	g.closeAll(victims)
	if !ok {
		g.report(c)
		return nil
	}
	return c
}

// makeRoom removes connections until the limits hold, and returns them. Except is not removed.
// ok is false if the limits can't be kept. The caller holds the lock.
func (g *Guard) makeRoom(except *Conn) (victims []*Conn, ok bool) {
	for g.limits.Bytes > 0 && g.bytes > g.limits.Bytes || g.limits.Conns > 0 && len(g.conns) > g.limits.Conns {
		victim, reason := g.victim(except)
		if victim == nil {
			return victims, false
		}
		g.forget(victim, reason)
		victims = append(victims, victim)
	}
	return victims, true
}

// victim returns the connection to close first: the newest of those that have sent no whole
// head, then the one that has been idle for longest. The caller holds the lock.
func (g *Guard) victim(except *Conn) (*Conn, Reason) {
	var newest, idlest *Conn
	for c := range g.conns {
		switch {
		case c == except:
		case c.phase == phaseFirstHead && (newest == nil || c.number > newest.number):
			newest = c
		case c.phase == phaseIdle && (idlest == nil || cmp.Or(c.since.Compare(idlest.since), cmp.Compare(c.number, idlest.number)) < 0):
			idlest = c
		}
	}
	if newest != nil {
		return newest, ReasonUnfinished
	}
	return idlest, ReasonIdle
}

// forget ends the account of a connection. The caller holds the lock.
func (g *Guard) forget(c *Conn, r Reason) {
	if c.gone {
		return
	}
	c.gone, c.reason = true, r
	delete(g.conns, c)
	g.bytes -= c.cost()
	if c.timer != nil {
		c.timer.Stop()
	}
}

// closeAll closes connections that were removed for room. A reset frees at once what the
// kernel holds for them.
func (g *Guard) closeAll(victims []*Conn) {
	for _, c := range victims {
		if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
		g.report(c)
	}
}

func (g *Guard) report(c *Conn) {
	if g.onClose != nil {
		g.onClose(c.listener.options.Name, c.reason)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.guard.mu.Lock()
	c.guard.forget(c, "")
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// expire closes the connection if it has sent no whole head in time.
func (c *Conn) expire() {
	c.guard.mu.Lock()
	late := !c.gone && c.phase == phaseFirstHead
	if late {
		c.guard.forget(c, ReasonHeadTime)
	}
	c.guard.mu.Unlock()
	if late {
		_ = c.Conn.Close()
		c.guard.report(c)
	}
}

// Read implements net.Conn. It counts the bytes of a head that is being read.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.count(int64(n)) {
		return 0, net.ErrClosed
	}
	return n, err
}

// count counts bytes that were read, and reports whether the connection is still open.
func (c *Conn) count(n int64) bool {
	g := c.guard
	g.mu.Lock()
	if c.gone || c.phase == phaseActive {
		defer g.mu.Unlock()
		return !c.gone
	}
	c.head += n
	g.bytes += headFactor * n
	if limit := c.listener.headLimit(); limit > 0 && c.head > limit {
		g.forget(c, ReasonHead)
		g.mu.Unlock()
		c.reject()
		return false
	}
	victims, ok := g.makeRoom(c)
	if !ok {
		g.forget(c, ReasonFull)
		victims = append(victims, c)
	}
	g.mu.Unlock()
	g.closeAll(victims)
	return ok
}

// reject answers a head over the limit and closes the connection.
func (c *Conn) reject() {
	if c.listener.options.Rejection != "" {
		end := time.Now().Add(rejectTimeout)
		_ = c.SetDeadline(end)
		if _, err := c.Write([]byte(c.listener.options.Rejection)); err == nil {
			if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
				buffer := make([]byte, 4<<10)
				for drained := 0; drained < drainBytes; {
					n, err := c.Conn.Read(buffer)
					if drained += n; err != nil {
						break
					}
				}
			}
		}
	}
	_ = c.Conn.Close()
	c.guard.report(c)
}

// setPhase records what the connection's server does now.
func (c *Conn) setPhase(p phase) {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.gone {
		return
	}
	c.phase, c.since = p, time.Now()
	if p == phaseIdle {
		g.bytes -= headFactor * c.head
		c.head = 0
	}
	if p != phaseFirstHead && c.timer != nil {
		c.timer.Stop()
	}
}

// Ready records that the connection has shown what it is for, where no http.Server does so.
func (c *Conn) Ready() { c.setPhase(phaseActive) }

// State is for http.Server.ConnState.
func (g *Guard) State(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive, http.StateHijacked:
		c.setPhase(phaseActive)
	case http.StateIdle:
		c.setPhase(phaseIdle)
	}
}
