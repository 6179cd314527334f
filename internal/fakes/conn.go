package fakes

import (
	"net"
	"sync/atomic"
	"time"
)

// conn is a connection that can become silent: it then discards all data in both
// directions without reporting an error.
type conn struct {
	net.Conn
	server *server
	silent atomic.Bool
}

// Read implements net.Conn. A silent connection discards received data.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection discards b and reports
// success.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. A silent connection only stops reading and stays
// open until the server closes, so that the peer is not notified.
func (c *conn) Close() error {
	if c.silent.Load() {
		return c.SetReadDeadline(time.Unix(1, 0))
	}
	c.server.remove(c)
	return c.Conn.Close()
}
