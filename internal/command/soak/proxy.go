package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// direction is one of the two directions of data through a proxy.
type direction int

const (
	toTarget direction = iota
	toClient
)

// condition is the network fault that a proxy simulates. The zero value is none.
type condition struct {
	// Delay delays every piece of data.
	Delay time.Duration
	// Silent, indexed by direction, stops the data of a direction as a network
	// partition does: connections stay open, and the data sent meanwhile arrives
	// once the partition has ended.
	Silent [2]bool
	// Reset resets all existing and new connections.
	Reset bool
}

// proxy is a TCP proxy from a local listener to one target address.
type proxy struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	condition condition
	// changed is closed and replaced when the condition changes.
	changed chan struct{}
	conns   map[net.Conn]struct{}
	closed  bool
}

// proxyBufferBytes is the largest piece of data that a proxy forwards at once.
const proxyBufferBytes = 16 << 10

// proxyDialTimeout limits the time to connect to the target.
const proxyDialTimeout = time.Second

// startProxy starts a proxy to the target on a free loopback port.
func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start soak proxy: %w", err)
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setCondition replaces the condition, for existing connections too.
func (p *proxy) setCondition(c condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.condition = c
	close(p.changed)
	p.changed = make(chan struct{})
	if c.Reset {
		for conn := range p.conns {
			abort(conn)
		}
	}
}

func (p *proxy) close() {
	p.setCondition(condition{Reset: true})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.listener.Close()
}

// abort closes a connection with a TCP reset.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

// track registers a connection so that setCondition can reset it, and reports true.
// If the proxy resets connections or is closed, it aborts the connection instead.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.condition.Reset || p.closed {
		abort(conn)
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// forward connects a client to the target and copies data both ways until both
// directions have ended.
func (p *proxy) forward(client net.Conn) {
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	p.waitUntilOpen(toTarget)
	target, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		abort(client)
		return
	}
	if !p.track(target) {
		abort(client)
		return
	}
	defer p.untrack(target)
	var both sync.WaitGroup
	both.Go(func() { p.copy(target, client, toTarget) })
	both.Go(func() { p.copy(client, target, toClient) })
	both.Wait()
}

// copy forwards the data of one direction. When reading reaches the end, it closes the
// destination, and when reading fails, it resets it, since a part of an answer must not
// look whole; when writing fails, it resets the source.
func (p *proxy) copy(to, from net.Conn, d direction) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(p.waitUntilOpen(d))
			if _, err := to.Write(buffer[:n]); err != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			p.waitUntilOpen(d)
			if err != io.EOF {
				abort(to)
			}
			_ = to.Close()
			return
		}
	}
}

// waitUntilOpen blocks while the direction is silent, then returns the current delay.
func (p *proxy) waitUntilOpen(d direction) time.Duration {
	for {
		p.mu.Lock()
		c, changed := p.condition, p.changed
		p.mu.Unlock()
		if !c.Silent[d] {
			return c.Delay
		}
		<-changed
	}
}
