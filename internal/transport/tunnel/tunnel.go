// Package tunnel carries connections to upstreams through another node: the node dials
// the upstream and copies bytes both ways (HTTP CONNECT). A node only dials addresses
// that it knows as upstreams, so a connection takes one hop at most.
package tunnel

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/transport/connguard"
	"github.com/flamingohaven/flamingohaven/internal/transport/peerwatch"
)

const (
	// MaxOpen bounds the tunnels through one node.
	MaxOpen = 512
	// maxHeaderBytes bounds the header of a CONNECT request, which names an address and its
	// origin.
	maxHeaderBytes = 4 << 10
	// headerTimeout bounds the time to read the header of a CONNECT request.
	headerTimeout = 2 * time.Second
	// keepAliveInterval is the time between keep-alive probes, and keepAliveCount the
	// number of unanswered ones after which a connection is closed.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// copyBufferSize is the size of the buffer for one direction, in bytes.
	copyBufferSize = 4 << 10
	// closeTimeout bounds the time in which open tunnels end at Close.
	closeTimeout = 200 * time.Millisecond
	// writeEndTimeout bounds the rest of a write to an upstream that has ended.
	writeEndTimeout = 100 * time.Millisecond
	// lastFrameTimeout bounds the time to write the last frame of a tunnel.
	lastFrameTimeout = closeTimeout / 2
)

// Header fields of a CONNECT request that say whom the tunnel is for.
const (
	headerGateway = "Tunnel-Gateway"
	headerRequest = "Tunnel-Request"
	// maxOriginBytes bounds what is kept of each.
	maxOriginBytes = 128
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}

// Origin says whom a tunnel is for.
type Origin struct {
	// Gateway is the node that opens the tunnel, and Request the id of the request that is
	// sent through it.
	Gateway, Request string
}

// Server accepts tunnels.
type Server struct {
	// permit returns why no tunnel is opened to a host:port address; nil if one may be.
	permit func(address string) error
	// broke is called with each tunnel that has not ended properly.
	onBroken    func(Ending)
	dialTimeout time.Duration
	server      *http.Server
	listener    net.Listener
	open        atomic.Int64
	total       atomic.Uint64
	broken      atomic.Uint64
	draining    atomic.Bool
	tunnels     sync.WaitGroup

	mu      sync.Mutex
	running map[*tunnel]bool
	closed  bool
}

// Listen returns a server at an address, which calls onBroken with each tunnel that has not
// ended properly. Serve must be called.
func Listen(address string, dialTimeout time.Duration, permit func(address string) error, onBroken func(Ending)) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("tunnel: %w", err)
	}
	s := &Server{permit: permit, onBroken: onBroken, dialTimeout: dialTimeout, listener: listener, running: make(map[*tunnel]bool)}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: klog.NewStandardLogger("WARNING")}
	return s, nil
}

// Address returns the host:port at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Guard makes a guard account for the connections, before Serve.
func (s *Server) Guard(g *connguard.Guard) {
	s.listener = g.Wrap(s.listener, connguard.Options{Name: "relay"})
	s.server.ConnState = g.State
}

// Serve accepts connections until Close.
func (s *Server) Serve() { _ = s.server.Serve(s.listener) }

// Open returns the number of open tunnels, Total that of all so far, and Broken that of
// those that have not ended properly.
func (s *Server) Open() int64 { return s.open.Load() }

// Total returns the number of tunnels so far.
func (s *Server) Total() uint64 { return s.total.Load() }

// Broken returns the number of tunnels so far that did not end properly.
func (s *Server) Broken() uint64 { return s.broken.Load() }

// Drain refuses new tunnels and waits until the open ones have ended or ctx is done.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.wait(ctx)
}

func (s *Server) wait(ctx context.Context) {
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

// Close stops accepting connections and ends the open tunnels as broken off.
func (s *Server) Close() {
	_ = s.server.Close()
	s.mu.Lock()
	s.closed = true
	for t := range s.running {
		t.stop()
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.wait(ctx)
}

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
	setReset(upstream, true)
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	setReset(conn, true)
	s.total.Add(1)
	t := &tunnel{
		conn: conn, fromConn: buffered.Reader, upstream: upstream, began: time.Now(),
		ending: Ending{Origin: originOf(r.Header), Target: r.Host},
	}
	if !s.add(t) {
		return
	}
	defer s.remove(t)
	answer := "HTTP/1.1 200 Connected\r\n"
	if t.framed = r.Header.Get(headerFrames) == framesV1; t.framed {
		answer += headerFrames + ": " + framesV1 + "\r\n"
	}
	if t.timed = t.framed && r.Header.Get(headerTimed) == timedV1; t.timed {
		answer += headerTimed + ": " + timedV1 + "\r\n"
	}
	if _, err := io.WriteString(conn, answer+"\r\n"); err != nil {
		return
	}
	ending := t.run()
	if !ending.Proper() {
		s.broken.Add(1)
		s.onBroken(ending)
	}
}

// add registers a tunnel, so that Close ends it. It reports false after Close.
func (s *Server) add(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.running[t] = true
	}
	return !s.closed
}

func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, t)
}

func originOf(h http.Header) Origin {
	bounded := func(name string) string {
		value := h.Get(name)
		return value[:min(len(value), maxOriginBytes)]
	}
	return Origin{Gateway: bounded(headerGateway), Request: bounded(headerRequest)}
}

// tunnel is a tunnel at the node that relays.
type tunnel struct {
	conn     net.Conn
	fromConn io.Reader
	upstream net.Conn
	began    time.Time
	// framed is true if the gateway gets frames, and timed if the last one is timed.
	framed  bool
	timed   bool
	stopped atomic.Bool
	sent    atomic.Int64
	// ending is complete when the tunnel has ended.
	ending Ending
}

// stop makes run end the tunnel.
func (t *tunnel) stop() {
	t.stopped.Store(true)
	_ = t.upstream.SetReadDeadline(time.Now())
	_ = t.conn.SetWriteDeadline(time.Now().Add(closeTimeout / 2))
}

// run copies both ways until either side has ended. A framed tunnel says at its end how the
// upstream's side ended. Both connections end with a reset, also
// if the kernel ends them for this process, until the other side has ended properly and all
// of its bytes were passed on: an answer that ends with its connection must not look
// complete after a part of it.
func (t *tunnel) run() Ending {
	sent := make(chan End, 1)
	toUpstream := &watchedWriter{conn: t.upstream}
	go func() {
		readErr, writeErr := pass(toUpstream, t.fromConn, false, &t.sent, nil)
		end := endOf(readErr)
		if writeErr != nil {
			end = EndOpen
		}
		if end == EndProper {
			setReset(t.upstream, false)
		}
		if writeErr == nil {
			_ = t.upstream.Close()
		}
		sent <- end
	}()
	var received atomic.Int64
	var pace peerwatch.Pace
	wasRead := func(n int) {
		conn := t.upstream
		if n == copyBufferSize {
			// More bytes wait: nothing ends here.
			conn = nil
		}
		pace.Read(n, conn, time.Now())
	}
	readErr, writeErr := pass(t.conn, t.upstream, t.framed, &received, wasRead)
	gap := endGapOf(pace.End(t.upstream, time.Now()))
	end := endOf(readErr)
	switch {
	case t.stopped.Load() && (writeErr != nil || end == EndTimeout):
		end = EndStopped
	case writeErr != nil:
		end = EndOpen
	case end == EndProper && toUpstream.broke():
		end = EndReset
	}
	endDelivered := end == EndProper
	if endDelivered {
		setReset(t.upstream, false)
	}
	if t.framed && writeErr == nil {
		_ = t.conn.SetWriteDeadline(time.Now().Add(lastFrameTimeout))
		last := appendLastFrame(nil, end)
		if t.timed {
			last = binary.BigEndian.AppendUint32(last, uint32(gap))
		}
		_, err := t.conn.Write(last)
		endDelivered = err == nil
	}
	if endDelivered {
		setReset(t.conn, false)
	}
	_ = t.conn.Close()
	gateway := <-sent
	t.ending.Upstream, t.ending.Gateway = end, gateway
	t.ending.Sent, t.ending.Received, t.ending.Lasted = t.sent.Load(), received.Load(), time.Since(t.began)
	return t.ending
}

// watchedWriter knows whether a write has failed. The kernel reports the reset of a
// connection once: if a write gets it, the next read returns a proper end.
type watchedWriter struct {
	conn   net.Conn
	mu     sync.Mutex
	failed bool
}

// Write implements io.Writer.
func (w *watchedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.conn.Write(p)
	w.failed = w.failed || err != nil
	return n, err
}

// broke reports whether a write has failed. One that runs is given writeEndTimeout.
func (w *watchedWriter) broke() bool {
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeEndTimeout))
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// setReset makes a connection end with a reset, or properly.
func setReset(conn net.Conn, reset bool) {
	linger := -1
	if reset {
		linger = 0
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(linger)
	}
}

// pass copies until the end of the source, which is no error, each read as a frame if
// framed is set. It calls wasRead, if not nil, with the size of each read.
func pass(to io.Writer, from io.Reader, framed bool, count *atomic.Int64, wasRead func(n int)) (readErr, writeErr error) {
	buffer := make([]byte, frameHead+copyBufferSize)
	for {
		n, err := from.Read(buffer[frameHead:])
		if wasRead != nil {
			wasRead(n)
		}
		if n > 0 {
			part := buffer[frameHead : frameHead+n]
			if framed {
				binary.BigEndian.PutUint16(buffer, uint16(n))
				part = buffer[:frameHead+n]
			}
			if _, writeErr := to.Write(part); writeErr != nil {
				return nil, writeErr
			}
			count.Add(int64(n))
		}
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
