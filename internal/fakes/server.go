// Package fakes holds small stand-ins for upstreams and the platform: HTTP
// servers on loopback addresses whose speed and faults are set by options and
// can be switched at run time. Every stand-in counts what it ran from its own
// view, so that tests need not trust the system's word.
package fakes

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// loopback lets the kernel choose a free port.
const loopback = "127.0.0.1:0"

// readHeaderTimeout bounds the wait for a request's headers.
const readHeaderTimeout = 10 * time.Second

// server is an HTTP listener whose connections can go silent and that can
// refuse connections for a while. It keeps its address.
type server struct {
	addr string
	http *http.Server

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	closed   bool
}

// startServer listens on addr; an empty one stands for a free loopback port.
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
		return fmt.Errorf("fake: listen on %s: %w", addr, err)
	}
	s.addr = l.Addr().String()
	s.listener = l
	go func() { _ = s.http.Serve(&trackingListener{Listener: l, server: s}) }()
	return nil
}

// Addr returns host:port of the listener.
func (s *server) Addr() string {
	return s.addr
}

// Close ends the listener and every connection.
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

// Silence makes every open connection silent for good: nothing that is sent
// on it arrives, in either direction, and no end is signalled. New
// connections work.
func (s *server) Silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// RefuseConnections closes the listener, or opens it again at the same
// address. Open connections stay.
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
