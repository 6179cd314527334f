// Package h1conn is a pooled HTTP/1.1 client that tells whether a request can
// have reached the server. It never sends a request twice, and it finds the
// answer to a request by a test of its header: a faulty server may send a second
// answer where the next one is expected.
package h1conn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// DefaultDialTimeout bounds the making of one connection; a server that
	// needs longer is as good as down.
	DefaultDialTimeout = 300 * time.Millisecond
	// IdleTimeout is how long an unused connection is kept if the server says
	// nothing about it. It is short, since idle connections can go silent.
	IdleTimeout = 4 * time.Second
	// maxIdlePerServer bounds the unused connections to one server.
	maxIdlePerServer = 32
	// userTimeout bounds how long sent data may stay unacknowledged.
	userTimeout = 3 * time.Second
	// keepAliveInterval is the period of probes on a connection in use, and
	// keepAliveCount how many may be lost.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxInlineWrite is the size up to which a request is written before the
	// answer is read, in bytes: it fits any socket buffer.
	maxInlineWrite = 4 << 10
	// maxMismatched bounds the answers to other requests that one call skips.
	maxMismatched = 2
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
)

// UnsentError means that provably no byte of the request reached the server.
type UnsentError struct{ Err error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// ErrForeign means that only answers to other requests came.
var ErrForeign = errors.New("the answers belong to other requests")

// Call is one request.
type Call struct {
	// Address is host:port by IP number.
	Address string
	Method  string
	// Head is the request line and header with the blank line after it.
	Head []byte
	Body []byte
	// Matches tells from its header whether an answer belongs to the request.
	// Nil takes any.
	Matches func(h http.Header) bool
	// Fresh asks for a new connection.
	Fresh bool
}

// Client keeps connections to servers. It is safe for concurrent use.
type Client struct {
	dialTimeout time.Duration
	dialed      atomic.Uint64

	mu        sync.Mutex
	idleConns map[string][]*persistConn
	closed    bool
}

// New returns a client without connections.
func New(dialTimeout time.Duration) *Client {
	return &Client{dialTimeout: dialTimeout, idleConns: make(map[string][]*persistConn)}
}

// Dialed returns the number of connections made.
func (c *Client) Dialed() uint64 { return c.dialed.Load() }

type persistConn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// expires is when an idle connection is given up.
	expires time.Time
}

// Answer is the answer to a call. Its body is read to the end, or given up, by
// Close.
type Answer struct {
	*http.Response
	client        *Client
	conn          *persistConn
	writeDone     <-chan error
	stopAfterFunc func() bool
	releaseOnce   sync.Once
	sawEOF        bool
}

// Do sends the call and returns the beginning of its answer. The end of ctx
// closes the connection. An error that is no *UnsentError means that the server
// may have run the request.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	pc, err := c.getConn(ctx, call)
	if err != nil {
		return nil, &UnsentError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = pc.Close() })
	written := pc.send(call)
	response, err := pc.receive(call)
	if err != nil {
		stop()
		_ = pc.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	a := &Answer{Response: response, client: c, conn: pc, writeDone: written, stopAfterFunc: stop}
	a.Body = &eofTrackingBody{answer: a, ReadCloser: response.Body}
	return a, nil
}

// getConn takes an idle getConn that the server has not closed, or makes one.
func (c *Client) getConn(ctx context.Context, call Call) (*persistConn, error) {
	if !call.Fresh {
		for pc := c.takeIdle(call.Address); pc != nil; pc = c.takeIdle(call.Address) {
			if time.Now().Before(pc.expires) && pc.isReusable() {
				return pc, nil
			}
			_ = pc.Close()
		}
	}
	return c.dial(ctx, call.Address)
}

func (c *Client) takeIdle(address string) *persistConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[address]
	if len(list) == 0 {
		return nil
	}
	pc := list[len(list)-1]
	c.idleConns[address] = list[:len(list)-1]
	return pc
}

func (c *Client) dial(ctx context.Context, address string) (*persistConn, error) {
	dialer := net.Dialer{
		Timeout: c.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	c.dialed.Add(1)
	return &persistConn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBufferSize)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// isReusable tells whether an idle connection has neither ended nor brought bytes
// that belong to no request.
func (pc *persistConn) isReusable() bool {
	if pc.reader.Buffered() > 0 {
		return false
	}
	sysConn, ok := pc.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = rawConn.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// send writes the request; a long one beside the reading of the answer, since a
// server may answer before it has read all.
func (pc *persistConn) send(call Call) <-chan error {
	written := make(chan error, 1)
	if len(call.Head)+len(call.Body) <= maxInlineWrite {
		_, err := pc.Write(append(call.Head[:len(call.Head):len(call.Head)], call.Body...))
		written <- err
		return written
	}
	go func() {
		buffers := net.Buffers{call.Head, call.Body}
		_, err := buffers.WriteTo(pc.Conn)
		written <- err
	}()
	return written
}

// receive reads the header of the answer that belongs to the call.
func (pc *persistConn) receive(call Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	for mismatched := 0; mismatched <= maxMismatched; {
		response, err := http.ReadResponse(pc.reader, request)
		if err != nil {
			return nil, fmt.Errorf("answer: %w", err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if call.Matches == nil || call.Matches(response.Header) {
			return response, nil
		}
		mismatched++
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, ErrForeign
		}
	}
	return nil, ErrForeign
}

// eofTrackingBody notes the end of the answer's eofTrackingBody.
type eofTrackingBody struct {
	io.ReadCloser
	answer *Answer
}

// Read implements io.Reader.
func (b *eofTrackingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.answer.sawEOF = true
	}
	return n, err
}

// Close implements io.Closer. A connection whose answer was read whole is kept.
func (b *eofTrackingBody) Close() error {
	b.answer.releaseOnce.Do(b.answer.release)
	return nil
}

func (a *Answer) release() {
	notCanceled := a.stopAfterFunc()
	keep := notCanceled && a.sawEOF && !a.Response.Close && a.conn.reader.Buffered() == 0
	select {
	case err := <-a.writeDone:
		keep = keep && err == nil
	default:
		keep = false
	}
	if !keep || !a.client.putIdle(a.conn, idleTimeoutFor(a.Header)) {
		_ = a.conn.Close()
	}
}

// putIdle keeps a connection for later calls, if there is room.
func (c *Client) putIdle(pc *persistConn, timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idleConns[pc.address]) >= maxIdlePerServer || timeout <= 0 {
		return false
	}
	pc.expires = time.Now().Add(timeout)
	c.idleConns[pc.address] = append(c.idleConns[pc.address], pc)
	return true
}

// idleTimeoutFor is how long a connection may stay unused: three quarters of what the
// server allows, since its clock began earlier.
func idleTimeoutFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(IdleTimeout, time.Duration(seconds)*time.Second*3/4)
		}
	}
	return IdleTimeout
}

// Forget closes the unused connections to a server that is gone.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	list := c.idleConns[address]
	delete(c.idleConns, address)
	c.mu.Unlock()
	for _, k := range list {
		_ = k.Close()
	}
}

// Sweep closes connections that have been unused for too long.
func (c *Client) Sweep(now time.Time) {
	var expired []*persistConn
	c.mu.Lock()
	for address, list := range c.idleConns {
		kept := list[:0]
		for _, k := range list {
			if now.Before(k.expires) {
				kept = append(kept, k)
			} else {
				expired = append(expired, k)
			}
		}
		clear(list[len(kept):])
		if c.idleConns[address] = kept; len(kept) == 0 {
			delete(c.idleConns, address)
		}
	}
	c.mu.Unlock()
	for _, k := range expired {
		_ = k.Close()
	}
}

// Close gives up all unused connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idleConns
	c.idleConns = make(map[string][]*persistConn)
	c.mu.Unlock()
	for _, list := range idle {
		for _, k := range list {
			_ = k.Close()
		}
	}
}
