package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

const (
	// callTimeout bounds one attempt to call a replica. Operators give up on a node
	// after 1 s, which must leave time for an attempt at another replica.
	callTimeout = 600 * time.Millisecond
	// firstSyncTimeout bounds one Sync call of a node that doesn't know the other nodes yet: all
	// may have started with it, and the leader has much to send to each.
	firstSyncTimeout = control.MaxSyncHold + callTimeout
	// probeTimeout and probeTimePerMember bound one Sync call to a replica that did not serve the
	// one before. A replica that knows no leader waits for up to 400 ms before it says so, and the
	// leader of a large fleet, which may have lost all its nodes at once, is slower to reply.
	probeTimeout       = 450 * time.Millisecond
	probeTimePerMember = 2 * time.Millisecond
	// dialTimeout bounds dialing another node. It is many times the round-trip time
	// between regions.
	dialTimeout = 200 * time.Millisecond
)

// replicaCaller implements control.Caller with the RPC client of a node.
type replicaCaller struct {
	node  *Node
	syncs syncWatch
}

// Call implements control.Caller. A call to the node itself also goes through the
// RPC client, to the node's own address. The error wraps control.ErrNotSent if the
// replica got nothing.
func (c *replicaCaller) Call(ctx context.Context, to ident.NodeID, method string, args, reply any) error {
	if sync, ok := args.(*control.SyncArgs); ok {
		return c.sync(ctx, to, method, sync, reply)
	}
	return c.call(ctx, callTimeout, to, method, args, reply)
}

// sync sends one sync to a replica. It gives up earlier than ctx says once the replica has left
// this sync and the interrupted ones before it unanswered for too long.
func (c *replicaCaller) sync(ctx context.Context, to ident.NodeID, method string, args *control.SyncArgs, reply any) error {
	began := c.syncs.begin(to, time.Now())
	held := *args
	var timeout time.Duration
	held.Hold, timeout = syncTimes(len(c.node.Members()), began)
	err := c.call(ctx, timeout-time.Since(began.unanswered), to, method, &held, reply)
	served, _ := reply.(control.Reply)
	c.syncs.end(to, err == nil && served != nil && served.CallStatus().OK(), errors.Is(ctx.Err(), context.Canceled))
	return err
}

func (c *replicaCaller) call(ctx context.Context, timeout time.Duration, to ident.NodeID, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.node.calls.Call(ctx, c.node.settings.address(to), method, args, reply)
	if errors.Is(err, rpcnet.ErrUnsent) {
		return fmt.Errorf("%w: %w", control.ErrNotSent, err)
	}
	return err
}
