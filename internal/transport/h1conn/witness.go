package h1conn

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/transport/tcpinfo"
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
	client        *Client
	address, peer string
	// openedBefore is when they were established at the latest, and at when they were taken.
	openedBefore, at time.Time
}

// Witnesses returns those of this moment that were made for calls to the peer at an address, and
// established before the given time, at which the peer's process certainly ran: later ones may
// lead to another process at the address.
func (c *Client) Witnesses(address, peer string, openedBefore time.Time) Witnesses {
	return Witnesses{client: c, address: address, peer: peer, openedBefore: openedBefore, at: time.Now()}
}

// Count returns how many of the connections are certainly still open, and how many of those
// in use the server has ended before it had answered. An idle connection that has ended says
// nothing: its server may have ended it for that.
func (w Witnesses) Count() (open, ended int) {
	c := w.client
	var conns []*persistConn
	var inUse []bool
	c.mu.Lock()
	for pc := range c.open[w.address] {
		if pc.opened.Before(w.openedBefore) && pc.peer == w.peer && !pc.misdirected {
			conns = append(conns, pc)
			inUse = append(inUse, pc.idleSince.IsZero())
		}
	}
	if last, known := c.lastEnded[w.address]; known && w.at.Sub(last) <= endSpread {
		ended++
	}
	c.mu.Unlock()
	for i, pc := range conns {
		switch isOpen, isEnded := pc.state(); {
		case isOpen:
			open++
		case isEnded && inUse[i]:
			ended++
		}
	}
	return open, ended
}

// maxUnread is how many unread bytes a connection may hold whose state is believed. With more
// the receive window may be closed, and the end of the connection waits behind them.
const maxUnread = 32 << 10

// state reports whether the connection is certainly open, or whether the server has ended
// it. The kernel knows that also where bytes are unread. Neither is true once the client has
// closed it, or if the end may be behind unread bytes.
func (pc *persistConn) state() (open, ended bool) {
	info, known := tcpinfo.Of(pc.Conn)
	unread, unreadKnown := tcpinfo.Unread(pc.Conn)
	if !known || !unreadKnown {
		return false, false
	}
	return info.Established && unread <= maxUnread, !info.Established
}

// Close implements net.Conn. It notes whether the server had ended the connection.
func (pc *persistConn) Close() error {
	if pc.address != "" && pc.forgotten.CompareAndSwap(false, true) {
		_, ended := pc.state()
		pc.client.forget(pc, ended && !pc.answered.Load())
	}
	return pc.Conn.Close()
}

// disown marks a connection whose server has said that it isn't the peer.
func (c *Client) disown(pc *persistConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	pc.misdirected = true
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
