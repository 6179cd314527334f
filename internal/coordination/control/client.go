package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// ServiceName is the name under which the service is registered with net/rpc.
const ServiceName = "Control"

const (
	// minRetryBackoff is the least pause between two tries; it doubles up to
	// maxRetryPause.
	minRetryBackoff = 25 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond
	// maxAttempts bounds the tries of one call.
	maxAttempts = 64
)

// ErrUnavailable means that no replica took the call: it had certainly no
// effect.
var ErrUnavailable = errors.New("control: no leader took the call, it had no effect")

// ErrUncertain means that the call may or may not have taken effect. It may be
// sent again with the same arguments.
var ErrUncertain = errors.New("control: outcome unknown, the call may have taken effect")

// Caller sends one call to one replica. An error means that the outcome is
// unknown, unless it wraps ErrNotSent.
type Caller interface {
	Call(ctx context.Context, node ident.NodeID, method string, args, reply any) error
}

// ErrNotSent means that a call provably never left this process.
var ErrNotSent = errors.New("control: call not sent")

// Client finds the leader among the replicas and sends calls again until one
// is served. All calls are idempotent when sent with the same arguments.
type Client struct {
	caller Caller

	// maxBackoff bounds the maxBackoff between two tries.
	maxBackoff time.Duration

	mu          sync.Mutex
	replicas    []ident.NodeID
	leader      ident.NodeID
	nextReplica int
}

// NewClient returns a client of the replicas.
func NewClient(caller Caller, replicas []ident.NodeID) *Client {
	return &Client{caller: caller, replicas: replicas, maxBackoff: maxRetryBackoff}
}

// SetMaxPause bounds the pause between two tries of a call. It is called before
// the first call.
func (c *Client) SetMaxPause(limit time.Duration) { c.maxBackoff = limit }

// SetReplicas replaces the replicas that calls may go to. An empty list changes
// nothing.
func (c *Client) SetReplicas(replicas []ident.NodeID) {
	if len(replicas) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas = replicas
}

// Leader returns the replica that served last; empty if none did.
func (c *Client) Leader() ident.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Call sends a call by the service's method name until a replica serves it or
// the context ends. R is the reply type of the method.
func Call[R any, P interface {
	*R
	Reply
}](ctx context.Context, c *Client, method string, args any) (R, error) {
	uncertain := false
	backoff := minRetryBackoff
	for range maxAttempts {
		// Each try gets a reply of its own: a late answer to an earlier try
		// must not mix with it.
		reply := new(R)
		target := c.target()
		err := c.caller.Call(ctx, target, ServiceName+"."+method, args, reply)
		if err == nil {
			status := P(reply).CallStatus()
			if status.OK() {
				c.setLeader(target)
				return *reply, nil
			}
			uncertain = uncertain || status.Uncertain
			c.redirect(target, status)
		} else {
			uncertain = uncertain || !errors.Is(err, ErrNotSent)
			c.redirect(target, Status{NotLeader: true})
		}
		if !sleep(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, c.maxBackoff)
	}
	var zero R
	if uncertain {
		return zero, fmt.Errorf("control: %s: %w", method, ErrUncertain)
	}
	return zero, fmt.Errorf("control: %s: %w", method, ErrUnavailable)
}

// target returns the replica to try.
func (c *Client) target() ident.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	return c.replicas[c.nextReplica%len(c.replicas)]
}

// setLeader remembers the leader.
func (c *Client) setLeader(node ident.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = node
}

// redirect chooses where the next try goes after one at node wasn't served.
func (c *Client) redirect(node ident.NodeID, status Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" && c.leader != node {
		return
	}
	c.leader = ""
	if status.Redirect != "" {
		c.leader = status.Redirect
		return
	}
	c.nextReplica++
}

// sleep waits and tells whether the context still lasts.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}
