package soak

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Direction is one of the two ways through a proxy.
type direction int

const (
	toTarget direction = iota
	toClient
)

// condition is what a proxy does to its connections.
type condition struct {
	// Delay holds up every piece of data.
	Delay time.Duration
	// Silent stops the data of a direction, as a cut network does: nothing is
	// refused, and what was sent arrives once the cut is mended.
	Silent [2]bool
	// Reset breaks all connections, also new ones.
	Reset bool
}

// proxy passes the connections to one listener on to one address.
type proxy struct {
	listener net.Listener
	target   string

	mu        sync.Mutex
	condition condition
	// changed is closed when the condition changes.
	changed chan struct{}
	conns   map[net.Conn]struct{}
	closed  bool
}

// proxyBufferBytes is the size of the pieces that a proxy passes on, in bytes.
const proxyBufferBytes = 16 << 10

// proxyDialTimeout bounds the connecting to a target.
const proxyDialTimeout = time.Second

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak proxy: %w", err)
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setCondition puts a condition in force.
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

// abort ends a connection with a reset.
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

// track notes a connection, unless it is to be reset.
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

// forward connects a client with the target until either leaves.
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

// copy passes the data of one direction on. An end is passed on as an end, any
// other error as a reset.
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
			_ = to.Close()
			return
		}
	}
}

// waitUntilOpen returns once the direction passes data, with the delay in force.
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
