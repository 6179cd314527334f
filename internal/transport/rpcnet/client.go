package rpcnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// DefaultCallTimeout bounds a call whose context has no deadline.
const DefaultCallTimeout = 2 * time.Second

// ErrUnsent is wrapped by the error of a call that certainly did not reach the peer.
var ErrUnsent = errors.New("rpc: call not sent")

// Client calls net/rpc services at any address over one connection per
// address. It is safe for concurrent use.
type Client struct {
	dial DialFunc

	mu         sync.Mutex
	conns      map[string]*connection
	closed     bool
	reconnects atomic.Uint64
}

type connection struct {
	once   sync.Once
	client *rpc.Client
	err    error
}

// DialFunc connects to a host:port address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// NewClient returns a client that connects with Dial.
func NewClient() *Client {
	return NewClientWithDialer(Dial)
}

// NewClientWithDialer returns a client that connects with dial.
func NewClientWithDialer(dial DialFunc) *Client {
	return &Client{dial: dial, conns: make(map[string]*connection)}
}

// Reconnects returns the number of connections that failed or were closed after a
// call timed out.
func (c *Client) Reconnects() uint64 {
	return c.reconnects.Load()
}

// Call calls method at address. When it fails, the content of reply is
// undefined and reply must not be used again: a late answer may still be
// written to it. An error that wraps ErrUnsent means that the peer did
// not receive the call.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultCallTimeout)
		defer cancel()
	}
	conn, err := c.connect(ctx, address)
	if err != nil {
		return err
	}
	call := conn.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(address, conn, method, call.Error)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.drop(address, conn)
		}
		return fmt.Errorf("rpc %s at %s: %w", method, address, ctx.Err())
	}
}

// finish wraps the error of a call. It closes the connection unless the error was
// returned by the server.
func (c *Client) finish(address string, conn *connection, method string, err error) error {
	if err == nil {
		return nil
	}
	var serverErr rpc.ServerError
	if !errors.As(err, &serverErr) {
		c.drop(address, conn)
	}
	return fmt.Errorf("rpc %s at %s: %w", method, address, err)
}

func (c *Client) connect(ctx context.Context, address string) (*connection, error) {
	conn, err := c.lookup(address)
	if err != nil {
		return nil, err
	}
	conn.once.Do(func() {
		raw, err := c.dial(ctx, address)
		if err != nil {
			conn.err = err
			return
		}
		conn.client = rpc.NewClient(&frameLimiter{Conn: raw})
	})
	if conn.err != nil {
		c.drop(address, conn)
		return nil, fmt.Errorf("%w: %w", ErrUnsent, conn.err)
	}
	return conn, nil
}

func (c *Client) lookup(address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fmt.Errorf("%w: client is closed", ErrUnsent)
	}
	conn, ok := c.conns[address]
	if !ok {
		conn = &connection{}
		c.conns[address] = conn
	}
	return conn, nil
}

func (c *Client) drop(address string, conn *connection) {
	c.mu.Lock()
	current := c.conns[address] == conn
	if current {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	if current {
		c.reconnects.Add(1)
	}
	if conn.client != nil {
		_ = conn.client.Close()
	}
}

// Close closes all connections; outstanding calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	conns := c.conns
	c.conns = make(map[string]*connection)
	c.closed = true
	c.mu.Unlock()
	for _, conn := range conns {
		conn.once.Do(func() { conn.err = errors.New("client is closed") })
		if conn.client != nil {
			_ = conn.client.Close()
		}
	}
}
