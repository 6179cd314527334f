package callerhttp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	callerKeepAliveIdle  = 5 * time.Second
	callerKeepAliveCount = 3
)

// limitListener closes connections above a limit immediately, so that callers get
// an error instead of waiting in the kernel's accept queue.
type limitListener struct {
	net.Listener
	limit    int64
	open     atomic.Int64
	onReject func()
}

func newLimitListener(l net.Listener, limit int, onReject func()) *limitListener {
	return &limitListener{Listener: l, limit: int64(limit), onReject: onReject}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			setKeepAlive(conn)
			return &limitedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		l.onReject()
		_ = conn.Close()
	}
}

func setKeepAlive(conn net.Conn) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable:   true,
		Idle:     callerKeepAliveIdle,
		Interval: callerKeepAliveIdle,
		Count:    callerKeepAliveCount,
	})
}

type limitedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// NetConn returns the connection that c wraps.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
