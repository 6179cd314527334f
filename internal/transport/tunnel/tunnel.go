// Package tunnel carries connections to upstreams through another node: the node dials
// the upstream and copies bytes both ways (HTTP CONNECT). A node only dials addresses
// that it knows as upstreams, so a connection takes one hop at most.
package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// MaxOpen bounds the tunnels through one node.
	MaxOpen = 512
	// headerTimeout bounds the time to read the header of a CONNECT request.
	headerTimeout = 2 * time.Second
	// keepAliveInterval is the time between keep-alive probes, and keepAliveCount the
	// number of unanswered ones after which a connection is closed.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// copyBufferSize is the size of the buffer for one direction, in bytes.
	copyBufferSize = 4 << 10
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}

// Server accepts tunnels.
type Server struct {
	// permit returns why no tunnel is opened to a host:port address; nil if one may be.
	permit      func(address string) error
	dialTimeout time.Duration
	server      *http.Server
	listener    net.Listener
	open        atomic.Int64
	total       atomic.Uint64
	draining    atomic.Bool
	tunnels     sync.WaitGroup
}

// Listen returns a server at an address. Serve must be called.
func Listen(address string, dialTimeout time.Duration, permit func(address string) error) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("tunnel: %w", err)
	}
	s := &Server{permit: permit, dialTimeout: dialTimeout, listener: listener}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, ErrorLog: klog.NewStandardLogger("WARNING")}
	return s, nil
}

// Serve accepts connections until Close.
func (s *Server) Serve() { _ = s.server.Serve(s.listener) }

// Open returns the number of open tunnels, and Total that of all so far.
func (s *Server) Open() int64 { return s.open.Load() }

// Total returns the number of tunnels so far.
func (s *Server) Total() uint64 { return s.total.Load() }

// Drain refuses new tunnels and waits until the open ones have ended or ctx is done.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	done := make(chan struct{})
	go func() {
		s.tunnels.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Close stops accepting connections.
func (s *Server) Close() { _ = s.server.Close() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method != http.MethodConnect:
		http.Error(w, "only CONNECT is served", http.StatusMethodNotAllowed)
		return
	case s.draining.Load():
		http.Error(w, "this node is stopping", http.StatusServiceUnavailable)
		return
	}
	if err := s.permit(r.Host); err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	s.tunnels.Add(1)
	defer s.tunnels.Done()
	defer s.open.Add(-1)
	if s.open.Add(1) > MaxOpen {
		http.Error(w, fmt.Sprintf("%d tunnels are open", MaxOpen), http.StatusServiceUnavailable)
		return
	}
	dialer := net.Dialer{Timeout: s.dialTimeout, KeepAliveConfig: keepAlive}
	upstream, err := dialer.DialContext(r.Context(), "tcp4", r.Host)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer upstream.Close()
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	s.total.Add(1)
	if _, err := io.WriteString(conn, "HTTP/1.1 200 Connected\r\n\r\n"); err != nil {
		return
	}
	splice(conn, buffered.Reader, upstream)
}

// splice copies both ways until either side has ended. An upstream that broke off is
// passed on as a reset: an answer that ends with its connection must not look complete.
func splice(conn net.Conn, fromConn io.Reader, upstream net.Conn) {
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		copyAll(upstream, fromConn)
		_ = upstream.Close()
	}()
	if err := copyAll(conn, upstream); err != nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = conn.Close()
	<-sent
}

// copyAll copies until the end of the source, which is no error.
func copyAll(to io.Writer, from io.Reader) error {
	// The wrappers hide the methods by which io.Copy would allocate larger buffers.
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBufferSize))
	return err
}

// RefusedError is the answer of a relay that opened no tunnel.
type RefusedError struct {
	Relay, Target string
	Status        int
	Reason        string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("relay %s opened no tunnel to %s: %d %s", e.Relay, e.Target, e.Status, e.Reason)
}

// Dial opens a tunnel to target through the relay at an address. If it fails, nothing has
// reached the target.
func Dial(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), relay, target string) (net.Conn, error) {
	conn, err := dial(ctx, relay)
	if err != nil {
		return nil, fmt.Errorf("relay %s: %w", relay, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	fail := func(err error) (net.Conn, error) {
		_ = conn.Close()
		return nil, err
	}
	if _, err := fmt.Fprintf(conn, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, target); err != nil {
		return fail(fmt.Errorf("relay %s: %w", relay, err))
	}
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return fail(fmt.Errorf("relay %s: %w", relay, err))
	}
	if answer.StatusCode != http.StatusOK || reader.Buffered() > 0 {
		reason, _ := io.ReadAll(io.LimitReader(answer.Body, 256))
		return fail(&RefusedError{Relay: relay, Target: target, Status: answer.StatusCode, Reason: string(reason)})
	}
	_ = conn.SetDeadline(time.Time{})
	return conn, nil
}
