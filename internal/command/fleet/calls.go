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
	// syncTimeout bounds one Sync call, including the time for which the leader may
	// hold it.
	syncTimeout = control.MaxSyncHold + callTimeout
	// dialTimeout bounds dialing another node. It is many times the round-trip time
	// between regions.
	dialTimeout = 200 * time.Millisecond
)

// replicaCaller implements control.Caller with the RPC client of a node.
type replicaCaller struct{ node *Node }

// Call implements control.Caller. A call to the node itself also goes through the
// RPC client, to the node's own address. The error wraps control.ErrNotSent if the
// replica got nothing.
func (c *replicaCaller) Call(ctx context.Context, to ident.NodeID, method string, args, reply any) error {
	timeout := callTimeout
	if method == control.ServiceName+".Sync" {
		timeout = syncTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.node.calls.Call(ctx, c.node.settings.address(to), method, args, reply)
	if errors.Is(err, rpcnet.ErrUnsent) {
		return fmt.Errorf("%w: %w", control.ErrNotSent, err)
	}
	return err
}
