package h1conn

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// endedRetention is how long the latest end of a connection to a server is kept.
	endedRetention = time.Second
	// endSpread is the time within which the ends of all connections to a server that ends
	// are noticed.
	endSpread = 50 * time.Millisecond
)

// Witnesses are the connections to a server that the client had at one moment. What became of
// them tells whether the server has ended.
type Witnesses struct {
	client  *Client
	address string
	at      time.Time
}

// Witnesses returns those of this moment.
func (c *Client) Witnesses(address string) Witnesses {
	return Witnesses{client: c, address: address, at: time.Now()}
}

// Count returns how many of the connections may still be open, and how many of those in use
// the server has ended before it had answered. An idle connection that has ended says nothing:
// its server may have ended it for that. One with unread bytes counts as open, whether the
// server has ended it or not.
func (w Witnesses) Count() (open, ended int) {
	c := w.client
	var conns []*persistConn
	var inUse []bool
	c.mu.Lock()
	for pc := range c.open[w.address] {
		if pc.opened.Before(w.at) {
			conns = append(conns, pc)
			inUse = append(inUse, pc.idleSince.IsZero())
		}
	}
	if last, known := c.lastEnded[w.address]; known && w.at.Sub(last) <= endSpread {
		ended++
	}
	c.mu.Unlock()
	for i, pc := range conns {
		switch isOpen, isEnded := pc.peek(); {
		case isOpen:
			open++
		case isEnded && inUse[i]:
			ended++
		}
	}
	return open, ended
}

// peek reports whether the connection is open, or whether the server has ended it. Neither
// is true once the client has closed it.
func (pc *persistConn) peek() (open, ended bool) {
	sysConn, ok := pc.Conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false, false
	}
	// Control doesn't wait for a read that is under way.
	err = rawConn.Control(func(fd uintptr) {
		var peeked [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = n > 0 || errors.Is(peekErr, unix.EAGAIN)
	})
	return open, err == nil && !open
}

// Close implements net.Conn. It notes whether the server had ended the connection.
func (pc *persistConn) Close() error {
	if pc.address != "" && pc.forgotten.CompareAndSwap(false, true) {
		_, ended := pc.peek()
		pc.client.forget(pc, ended && !pc.answered.Load())
	}
	return pc.Conn.Close()
}

// use marks a connection that was idle as in use.
func (c *Client) use(pc *persistConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pc.idleSince = time.Time{}
}

// remember adds a connection to the open ones.
func (c *Client) remember(pc *persistConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[pc.address] == nil {
		c.open[pc.address] = make(map[*persistConn]struct{})
	}
	c.open[pc.address][pc] = struct{}{}
}

// forget removes a connection from the open ones. Ended is true if its server ended it before
// it had answered.
func (c *Client) forget(pc *persistConn, ended bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open[pc.address], pc)
	if len(c.open[pc.address]) == 0 {
		delete(c.open, pc.address)
	}
	if !ended || !pc.idleSince.IsZero() {
		return
	}
	for address, last := range c.lastEnded {
		if now.Sub(last) > endedRetention {
			delete(c.lastEnded, address)
		}
	}
	c.lastEnded[pc.address] = now
}
