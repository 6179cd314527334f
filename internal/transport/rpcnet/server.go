package rpcnet

import (
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/transport/connguard"
)

// Server serves net/rpc on one listener.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// Listen binds address and returns a server that does not accept connections yet.
func Listen(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("internal listener: %w", err)
	}
	return NewServer(listener), nil
}

// firstMessageTimeout bounds the time until the first whole message on a connection, which its
// client sends at once.
const firstMessageTimeout = 10 * time.Second

// Guard makes a guard account for the connections, before Serve.
func (s *Server) Guard(g *connguard.Guard) {
	s.listener = g.Wrap(s.listener, connguard.Options{Name: "internal", HeadTimeout: firstMessageTimeout})
}

// NewServer returns a server on an existing listener.
func NewServer(listener net.Listener) *Server {
	return &Server{
		rpc:      rpc.NewServer(),
		listener: listener,
		conns:    make(map[net.Conn]struct{}),
	}
}

// Register offers the methods of receiver under name.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return fmt.Errorf("register %s: %w", name, err)
	}
	return nil
}

// Address returns the bound address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			_ = conn.Close()
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer s.wg.Done()
	s.rpc.ServeConn(&frameLimiter{Conn: conn})
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.wg.Add(1)
	return true
}

// Close stops accepting, closes all connections and waits until their goroutines
// have ended.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	_ = s.listener.Close()
	s.wg.Wait()
}
