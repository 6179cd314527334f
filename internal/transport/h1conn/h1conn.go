// Package h1conn implements a pooled HTTP/1.1 client whose errors state whether a
// request may have reached the server. It never sends a request twice. It uses
// the header to check that an answer belongs to the request, because a faulty server
// may send a second answer to one request where the answer to the next is expected.
// That check can't tell a second answer to a request that is sent again, so no connection
// carries the same request twice.
package h1conn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// DefaultDialTimeout limits the time to establish a connection; a server
	// that takes longer is treated as down.
	DefaultDialTimeout = 300 * time.Millisecond
	// IdleTimeout is how long an idle connection is kept unless the server asks
	// for less. It is short because an idle connection can stop working without
	// an error.
	IdleTimeout = 4 * time.Second
	// sweepInterval is the time between two sweeps, and so the longest for which an idle
	// connection stays open after it has expired.
	sweepInterval = time.Second
	// maxIdlePerServer limits the idle connections to one server.
	maxIdlePerServer = 32
	// userTimeout limits how long sent data may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	userTimeout = 3 * time.Second
	// keepAliveInterval is the time between TCP keep-alive probes, and
	// keepAliveCount the number of unanswered ones after which a connection
	// is closed.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxInlineWrite is the largest request, in bytes, that is written before the
	// answer is read. It fits into any socket buffer, so the write does not block.
	maxInlineWrite = 4 << 10
	// writeEndTimeout bounds the rest of a write whose connection the server has ended.
	writeEndTimeout = 100 * time.Millisecond
	// maxMismatched limits how many answers to other requests one call skips.
	maxMismatched = 16
	// maxSkippedBytes limits the body of an answer to another request that is read to
	// get at the next answer.
	maxSkippedBytes = 64 << 10
	// maxHeadBytes limits the headers that are read for one call, those of interim
	// answers and of answers to other requests included.
	maxHeadBytes = 64 << 10
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
	// maxCarried bounds the requests that a connection remembers, to 4 KiB. A connection
	// that has carried more which may still come again is not kept.
	maxCarried = 256
)

// ErrHeadTooLarge means that the headers of the answers exceed maxHeadBytes.
var ErrHeadTooLarge = fmt.Errorf("the header of the answer exceeds %d bytes", maxHeadBytes)

// UnsentError means that provably no byte of the request reached the server.
type UnsentError struct{ Err error }

// Error implements error.
func (e *UnsentError) Error() string { return "not sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// ErrAnswerMismatch means that the server sent only answers to other requests.
var ErrAnswerMismatch = errors.New("the answers belong to other requests")

// ErrNoIdleConn means that a call which may only reuse a connection found none.
var ErrNoIdleConn = errors.New("no connection from before can be reused")

// Call describes a request.
type Call struct {
	// Address is host:port, where host is an IPv4 address.
	Address string
	// Peer names the process at the address; see Witnesses.
	Peer   string
	Method string
	// ID is the id of the request that answers repeat. Until the deadline of the call's
	// context, or for good if it has none, a connection that has carried a request with this
	// id is not used for another one. If ID is empty, any connection is.
	ID string
	// Head is the request line and the header, including the blank line at the end.
	Head []byte
	Body []byte
	// Matches reports whether an answer with header h belongs to the request.
	// If it is nil, every answer does.
	Matches func(h http.Header) bool
	// Fresh forces a new connection, and ReuseOnly one from before.
	Fresh, ReuseOnly bool
	// OnConn, if set, is called with the connection's use so far before the call is sent.
	OnConn func(ConnUse)
	// OnStall, if set, is called if the call's bytes are not acknowledged StallAfter after
	// they were sent and no answer has begun. Larger calls than maxInlineWrite are left out:
	// the server may not have read them yet.
	OnStall    func()
	StallAfter time.Duration
	// Dial, if set, makes the connection, which is not kept for other calls.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// ConnUse says what a connection was used for before a call.
type ConnUse struct {
	// Number tells the connections of a client apart; the first one has 1.
	Number uint64
	// Calls is the number of calls that the connection has carried; 0 for a new one.
	Calls int
	// Age is the time since it was opened.
	Age time.Duration
}

// isInline reports whether the call is written before its answer is read.
func (c *Call) isInline() bool { return len(c.Head)+len(c.Body) <= maxInlineWrite }

// Client sends requests over pooled connections. It is safe for concurrent use.
type Client struct {
	dialTimeout time.Duration
	began       time.Time
	dialed      atomic.Uint64
	numbered    atomic.Uint64

	mu        sync.Mutex
	idleConns map[string][]*persistConn
	// open holds all connections to each server, and lastEnded when a server last ended one.
	open      map[string]map[*persistConn]struct{}
	lastEnded map[string]time.Time
	// sweeper runs the next sweep; nil if none is due.
	sweeper *time.Timer
	closed  bool
}

// New returns a client whose dials time out after dialTimeout.
func New(dialTimeout time.Duration) *Client {
	return &Client{
		dialTimeout: dialTimeout, began: time.Now(), idleConns: make(map[string][]*persistConn),
		open: make(map[string]map[*persistConn]struct{}), lastEnded: make(map[string]time.Time),
	}
}

// Dialed returns the number of connections established.
func (c *Client) Dialed() uint64 { return c.dialed.Load() }

// persistConn is a connection that can serve several requests, one at a time.
type persistConn struct {
	net.Conn
	address string
	// peer is that of the call that the connection was made for.
	peer   string
	reader *bufio.Reader
	// head bounds what reader may read while it reads headers.
	head *headLimiter
	// number tells the client's connections apart, and calls counts those that it has carried.
	number uint64
	calls  int
	opened time.Time
	// carried lists the requests that were sent on the connection and may come again.
	carried []carriedRequest
	// expires is when an idle connection may no longer be used.
	expires time.Time
	// idleSince is when the latest call ended; zero while there is one. The client's lock
	// guards it.
	idleSince time.Time
	// misdirected is true once the server has answered that a request to the peer was
	// misdirected. The client's lock guards it.
	misdirected bool
	// answered is true once the latest call was answered whole and the connection is not to be
	// used for others, and forgotten once it is no longer among the client's open ones.
	answered, forgotten atomic.Bool
	client              *Client
}

// carriedRequest is a request that a connection has carried.
type carriedRequest struct {
	// hash is that of the request's id.
	hash uint64
	// until is when the request can't come again, since the client began.
	until time.Duration
}

// carry records a request with a deadline; zero if it has none.
func (pc *persistConn) carry(id string, deadline time.Time, began time.Time) {
	now := time.Since(began)
	pc.carried = slices.DeleteFunc(pc.carried, func(r carriedRequest) bool { return r.until < now })
	until := time.Duration(math.MaxInt64)
	if !deadline.IsZero() {
		until = deadline.Sub(began)
	}
	pc.carried = append(pc.carried, carriedRequest{hash: xxhash.Sum64String(id), until: until})
}

// hasCarried reports whether a request with the hash may come again that the connection has
// carried.
func (pc *persistConn) hasCarried(hash uint64) bool {
	return slices.ContainsFunc(pc.carried, func(r carriedRequest) bool { return r.hash == hash })
}

// Do sends the call and returns its answer as soon as the header has been read. The
// end of ctx closes the connection. An error other than an *UnsentError means that
// the server may have run the request.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	pc, err := c.getConn(ctx, call)
	if err != nil {
		return nil, &UnsentError{Err: err}
	}
	if call.OnConn != nil {
		call.OnConn(ConnUse{Number: pc.number, Calls: pc.calls, Age: time.Since(pc.opened)})
	}
	pc.calls++
	if call.ID != "" {
		deadline, _ := ctx.Deadline()
		pc.carry(call.ID, deadline, c.began)
	}
	stop := context.AfterFunc(ctx, func() { _ = pc.Close() })
	writeDone := pc.send(call)
	if call.OnStall != nil && call.isInline() {
		timer := time.AfterFunc(call.StallAfter, func() {
			if pc.hasUnacknowledged() {
				call.OnStall()
			}
		})
		defer timer.Stop()
	}
	response, err := pc.receive(call)
	if err != nil {
		stop()
		_ = pc.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	if response.StatusCode == http.StatusMisdirectedRequest {
		c.disown(pc)
	}
	a := &Answer{Response: response, client: c, conn: pc, writeDone: writeDone, stopAfterFunc: stop, hasBody: response.Body != http.NoBody}
	a.Body = &eofTrackingBody{answer: a, ReadCloser: response.Body}
	return a, nil
}

// getConn returns a reusable idle connection or dials a new one.
func (c *Client) getConn(ctx context.Context, call Call) (*persistConn, error) {
	if call.Dial != nil {
		raw, err := call.Dial(ctx, call.Address)
		if err != nil {
			return nil, err
		}
		return c.newPersistConn(raw, "", call.Peer), nil
	}
	if !call.Fresh {
		for pc := c.takeIdle(call.Address, call.ID); pc != nil; pc = c.takeIdle(call.Address, call.ID) {
			if time.Now().Before(pc.expires) && pc.isReusable() {
				c.use(pc)
				return pc, nil
			}
			_ = pc.Close()
		}
	}
	if call.ReuseOnly {
		return nil, ErrNoIdleConn
	}
	return c.dial(ctx, call.Address, call.Peer)
}

// takeIdle removes the connection from the pool that was used last, of those to the address
// that have not carried the request with the id. It returns nil if there is none.
func (c *Client) takeIdle(address, id string) *persistConn {
	hash := xxhash.Sum64String(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idleConns[address]
	for i, pc := range slices.Backward(list) {
		if !pc.hasCarried(hash) {
			c.idleConns[address] = slices.Delete(list, i, i+1)
			return pc
		}
	}
	return nil
}

func (c *Client) dial(ctx context.Context, address, peer string) (*persistConn, error) {
	raw, err := c.Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	c.dialed.Add(1)
	return c.newPersistConn(raw, address, peer), nil
}

// newPersistConn returns a connection to a peer that is kept for other calls to the address;
// empty if it is not.
func (c *Client) newPersistConn(raw net.Conn, address, peer string) *persistConn {
	head := &headLimiter{Reader: raw}
	pc := &persistConn{
		Conn: raw, client: c, address: address, peer: peer, number: c.numbered.Add(1), opened: time.Now(),
		head: head, reader: bufio.NewReaderSize(head, readBufferSize),
	}
	if address != "" {
		c.remember(pc)
	}
	return pc
}

// Connect makes a connection with the client's timeouts, which does not belong to the
// pool.
func (c *Client) Connect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: c.dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// isReusable reports whether an idle connection is still open and has no unread
// bytes. Unread bytes on an idle connection are not the answer to any request.
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

// send writes the request and returns a channel for the result. It writes a request
// larger than maxInlineWrite in a separate goroutine while the answer is read,
// because a server may answer before it has read the whole request.
func (pc *persistConn) send(call Call) <-chan error {
	writeDone := make(chan error, 1)
	if call.isInline() {
		_, err := pc.Write(append(call.Head[:len(call.Head):len(call.Head)], call.Body...))
		writeDone <- err
		return writeDone
	}
	go func() {
		buffers := net.Buffers{call.Head, call.Body}
		_, err := buffers.WriteTo(pc.Conn)
		writeDone <- err
	}()
	return writeDone
}

// Close closes all idle connections. Connections in use close after their answers.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	idle := c.idleConns
	c.idleConns = make(map[string][]*persistConn)
	if c.sweeper != nil {
		c.sweeper.Stop()
	}
	c.mu.Unlock()
	for _, list := range idle {
		for _, pc := range list {
			_ = pc.Close()
		}
	}
}
