// Package fakes provides fake upstreams and a fake platform: HTTP servers, on
// loopback addresses by default, whose speed and faults are set by options and can
// partly be changed while they run. The fake upstreams record every request that
// they run, so that tests can verify how often a request ran independently of what
// the system under test reports.
package fakes

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// loopback is the default address: the kernel chooses a free port.
const loopback = "127.0.0.1:0"

// readHeaderTimeout is the maximum time to read the headers of a request.
const readHeaderTimeout = 10 * time.Second

// server is an HTTP server that can silence its connections and refuse new ones for
// a while. Its address does not change.
type server struct {
	addr string
	http *http.Server

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener net.Listener
	conns    map[*conn]struct{}
	closed   bool
}

// startServer starts a server that listens on addr, or on a free loopback port if
// addr is empty.
func startServer(addr string, handler http.Handler) (*server, error) {
	if addr == "" {
		addr = loopback
	}
	s := &server{
		http:  &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		conns: map[*conn]struct{}{},
	}
	if err := s.listen(addr); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fake server: listen on %s: %w", addr, err)
	}
	s.addr = l.Addr().String()
	s.listener = l
	go func() { _ = s.http.Serve(&trackingListener{Listener: l, server: s}) }()
	return nil
}

// Addr returns the server's address as host:port.
func (s *server) Addr() string {
	return s.addr
}

// Close closes the listener and all connections, including silent ones.
func (s *server) Close() error {
	s.mu.Lock()
	s.closed = true
	conns := s.conns
	s.conns = map[*conn]struct{}{}
	s.mu.Unlock()
	err := s.http.Close()
	for c := range conns {
		_ = c.Conn.Close()
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Silence permanently silences every open connection: data sent in either direction
// is discarded, and the peer does not learn of a close until the server closes. New
// connections work normally.
func (s *server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// RefuseConnections closes the listener if refuse is true, or reopens it at the
// same address. Open connections are not affected. It returns net.ErrClosed after
// Close.
func (s *server) RefuseConnections(refuse bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	if refuse == (s.listener == nil) {
		return nil
	}
	if !refuse {
		return s.listen(s.addr)
	}
	err := s.listener.Close()
	s.listener = nil
	return err
}

func (s *server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
}

func (s *server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// trackingListener registers accepted connections with the server.
type trackingListener struct {
	net.Listener
	server *server
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server}
	l.server.add(c)
	return c, nil
}
