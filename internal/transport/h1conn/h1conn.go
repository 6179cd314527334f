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
	// maxIdle bounds the unused connections to one server.
	maxIdle = 32
	// userTimeout bounds how long sent data may stay unacknowledged.
	userTimeout = 3 * time.Second
	// keepAlive is the period of probes on a connection in use, and
	// keepAliveCount how many may be lost.
	keepAlive      = time.Second
	keepAliveCount = 3
	// inlineWrite is the size up to which a request is written before the
	// answer is read, in bytes: it fits any socket buffer.
	inlineWrite = 4 << 10
	// maxForeign bounds the answers to other requests that one call skips.
	maxForeign = 2
	// readBuffer is the size of a connection's read buffer, in bytes.
	readBuffer = 4 << 10
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

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// New returns a client without connections.
func New(dialTimeout time.Duration) *Client {
	return &Client{dialTimeout: dialTimeout, idle: make(map[string][]*conn)}
}

// Dialed returns the number of connections made.
func (c *Client) Dialed() uint64 { return c.dialed.Load() }

type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// until is when an idle connection is given up.
	until time.Time
}

// Answer is the answer to a call. Its body is read to the end, or given up, by
// Close.
type Answer struct {
	*http.Response
	client  *Client
	conn    *conn
	written <-chan error
	stop    func() bool
	once    sync.Once
	ended   bool
}

// Do sends the call and returns the beginning of its answer. The end of ctx
// closes the connection. An error that is no *UnsentError means that the server
// may have run the request.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	k, err := c.connection(ctx, call)
	if err != nil {
		return nil, &UnsentError{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	written := k.send(call)
	response, err := k.receive(call)
	if err != nil {
		stop()
		_ = k.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	a := &Answer{Response: response, client: c, conn: k, written: written, stop: stop}
	a.Body = &body{answer: a, ReadCloser: response.Body}
	return a, nil
}

// connection takes an idle connection that the server has not closed, or makes one.
func (c *Client) connection(ctx context.Context, call Call) (*conn, error) {
	if !call.Fresh {
		for k := c.take(call.Address); k != nil; k = c.take(call.Address) {
			if time.Now().Before(k.until) && k.quiet() {
				return k, nil
			}
			_ = k.Close()
		}
	}
	return c.dial(ctx, call.Address)
}

func (c *Client) take(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[address] = list[:len(list)-1]
	return k
}

func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{
		Timeout: c.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	c.dialed.Add(1)
	return &conn{Conn: raw, address: address, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// quiet tells whether an idle connection has neither ended nor brought bytes
// that belong to no request.
func (k *conn) quiet() bool {
	if k.reader.Buffered() > 0 {
		return false
	}
	raw, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	access, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = access.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// send writes the request; a long one beside the reading of the answer, since a
// server may answer before it has read all.
func (k *conn) send(call Call) <-chan error {
	written := make(chan error, 1)
	if len(call.Head)+len(call.Body) <= inlineWrite {
		_, err := k.Write(append(call.Head[:len(call.Head):len(call.Head)], call.Body...))
		written <- err
		return written
	}
	go func() {
		buffers := net.Buffers{call.Head, call.Body}
		_, err := buffers.WriteTo(k.Conn)
		written <- err
	}()
	return written
}

// receive reads the header of the answer that belongs to the call.
func (k *conn) receive(call Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	for foreign := 0; foreign <= maxForeign; {
		response, err := http.ReadResponse(k.reader, request)
		if err != nil {
			return nil, fmt.Errorf("answer: %w", err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if call.Matches == nil || call.Matches(response.Header) {
			return response, nil
		}
		foreign++
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, ErrForeign
		}
	}
	return nil, ErrForeign
}

// body notes the end of the answer's body.
type body struct {
	io.ReadCloser
	answer *Answer
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.answer.ended = true
	}
	return n, err
}

// Close implements io.Closer. A connection whose answer was read whole is kept.
func (b *body) Close() error {
	b.answer.once.Do(b.answer.release)
	return nil
}

func (a *Answer) release() {
	unbroken := a.stop()
	keep := unbroken && a.ended && !a.Response.Close && a.conn.reader.Buffered() == 0
	select {
	case err := <-a.written:
		keep = keep && err == nil
	default:
		keep = false
	}
	if !keep || !a.client.put(a.conn, idleLimit(a.Header)) {
		_ = a.conn.Close()
	}
}

// put keeps a connection for later calls, if there is room.
func (c *Client) put(k *conn, limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[k.address]) >= maxIdle || limit <= 0 {
		return false
	}
	k.until = time.Now().Add(limit)
	c.idle[k.address] = append(c.idle[k.address], k)
	return true
}

// idleLimit is how long a connection may stay unused: three quarters of what the
// server allows, since its clock began earlier.
func idleLimit(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if whole, err := strconv.Atoi(value); err == nil {
			return min(IdleTimeout, time.Duration(whole)*time.Second*3/4)
		}
	}
	return IdleTimeout
}

// Forget closes the unused connections to a server that is gone.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, k := range list {
		_ = k.Close()
	}
}

// Sweep closes connections that have been unused for too long.
func (c *Client) Sweep(now time.Time) {
	var old []*conn
	c.mu.Lock()
	for address, list := range c.idle {
		kept := list[:0]
		for _, k := range list {
			if now.Before(k.until) {
				kept = append(kept, k)
			} else {
				old = append(old, k)
			}
		}
		clear(list[len(kept):])
		if c.idle[address] = kept; len(kept) == 0 {
			delete(c.idle, address)
		}
	}
	c.mu.Unlock()
	for _, k := range old {
		_ = k.Close()
	}
}

// Close gives up all unused connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idle
	c.idle = make(map[string][]*conn)
	c.mu.Unlock()
	for _, list := range idle {
		for _, k := range list {
			_ = k.Close()
		}
	}
}
