package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

// faultyDialer opens the connections of one node to other nodes. It can drop
// what the node writes or reads on them, while the connections stay open.
type faultyDialer struct {
	// dropWrites and dropReads drop what the node writes to and reads from the
	// connections that it opened.
	dropWrites atomic.Bool
	dropReads  atomic.Bool
}

func (d *faultyDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := rpcnet.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, dialer: d}, nil
}

// faultyConn is a connection that drops bytes as set by the flags of its
// dialer.
type faultyConn struct {
	net.Conn
	dialer *faultyDialer
}

// Read drops received bytes while dropReads is set.
func (c *faultyConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.dialer.dropReads.Load() {
			return n, err
		}
	}
}

func (c *faultyConn) Write(p []byte) (int, error) {
	if c.dialer.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// relay forwards connections to a target. It can drop the bytes in one
// direction or both while the connections stay open.
type relay struct {
	listener net.Listener
	target   string
	// dropTo and dropFrom drop the bytes sent to and received from the target.
	dropTo   atomic.Bool
	dropFrom atomic.Bool

	mu    sync.Mutex
	pairs []*relayPair
}

// relayPair is one forwarded connection. Once silent is set, it forwards
// nothing any more.
type relayPair struct {
	inbound, outbound net.Conn
	silent            atomic.Bool
}

func startRelay(t testing.TB, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	r := &relay{listener: l, target: target}
	t.Cleanup(r.close)
	go r.accept()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// silenceOpenConnections makes the open connections silent for good; new
// connections work.
func (r *relay) silenceOpenConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.silent.Store(true)
	}
}

// blackhole drops all bytes in both directions until heal. No connection is
// closed.
func (r *relay) blackhole() {
	r.dropTo.Store(true)
	r.dropFrom.Store(true)
}

// heal ends a blackhole. It closes the open connections, since their streams
// may have gaps.
func (r *relay) heal() {
	r.closePairs()
	r.dropTo.Store(false)
	r.dropFrom.Store(false)
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.closePairs()
}

func (r *relay) closePairs() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		_ = p.inbound.Close()
		_ = p.outbound.Close()
	}
	r.pairs = nil
}

func (r *relay) accept() {
	for {
		inbound, err := r.listener.Accept()
		if err != nil {
			return
		}
		outbound, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = inbound.Close()
			continue
		}
		p := &relayPair{inbound: inbound, outbound: outbound}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		go r.forward(p, outbound, inbound, &r.dropTo)
		go r.forward(p, inbound, outbound, &r.dropFrom)
	}
}

func (r *relay) forward(p *relayPair, dst, src net.Conn, drop *atomic.Bool) {
	defer func() {
		_ = p.inbound.Close()
		_ = p.outbound.Close()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if err != nil {
			return
		}
		if p.silent.Load() || drop.Load() {
			continue
		}
		if _, err := dst.Write(buffer[:n]); err != nil {
			return
		}
	}
}
