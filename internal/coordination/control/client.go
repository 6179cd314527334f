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
	// minRetryBackoff is the pause after the first failed attempt. It doubles
	// with each attempt, up to maxRetryBackoff.
	minRetryBackoff = 25 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond
	// maxAttempts limits the attempts of one call.
	maxAttempts = 64
)

// ErrUnavailable means that no replica accepted the call, so it had no effect.
var ErrUnavailable = errors.New("control: no leader accepted the call, it had no effect")

// ErrUncertain means that the call may have taken effect. It may be resent with
// the same arguments.
var ErrUncertain = errors.New("control: outcome unknown, the call may have taken effect")

// Caller sends one call to one replica. Unless an error wraps ErrNotSent, the
// outcome of the failed call is unknown.
type Caller interface {
	Call(ctx context.Context, node ident.NodeID, method string, args, reply any) error
}

// ErrNotSent means that a call provably never left this process.
var ErrNotSent = errors.New("control: call not sent")

// Client finds the leader among the replicas and retries calls until a replica
// serves them. All calls are idempotent when they are resent with the same
// arguments.
type Client struct {
	caller Caller

	// maxBackoff limits the pause between two attempts.
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

// SetMaxBackoff limits the pause between two attempts of a call. It must be called
// before the first call.
func (c *Client) SetMaxBackoff(limit time.Duration) { c.maxBackoff = limit }

// SetReplicas replaces the replicas that calls are sent to. An empty list is
// ignored.
func (c *Client) SetReplicas(replicas []ident.NodeID) {
	if len(replicas) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replicas = replicas
}

// Leader returns the replica believed to lead, from the latest served call or
// redirect; empty if unknown.
func (c *Client) Leader() ident.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// Call sends a call to the named method until a replica serves it, the context
// ends or maxAttempts is reached. R is the method's reply type. The error wraps
// ErrUncertain if any attempt may have taken effect, and ErrUnavailable
// otherwise.
func Call[R any, P interface {
	*R
	Reply
}](ctx context.Context, c *Client, method string, args any) (R, error) {
	uncertain := false
	backoff := minRetryBackoff
	for range maxAttempts {
		if ctx.Err() != nil {
			break
		}
		// Each attempt has its own reply, so that a late answer to an earlier
		// attempt cannot overwrite it.
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
			if errors.Is(ctx.Err(), context.Canceled) {
				// The caller gave the call up, which says nothing about the replica.
				break
			}
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

// target returns the replica for the next attempt.
func (c *Client) target() ident.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	return c.replicas[c.nextReplica%len(c.replicas)]
}

// setLeader records the replica that served a call as the leader.
func (c *Client) setLeader(node ident.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = node
}

// redirect selects the replica for the next attempt after node did not serve the
// call.
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

// sleep waits for d and reports whether the context is still active.
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
