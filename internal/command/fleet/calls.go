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
	// callTimeout bounds one try of a call to a replica: an operator gives up
	// on a node after 1 s, and another replica must get its try before.
	callTimeout = 600 * time.Millisecond
	// syncTimeout bounds one sync, its hold included.
	syncTimeout = control.MaxSyncHold + callTimeout
	// dialTimeout bounds the making of a connection to another node: many times
	// the round trip between regions.
	dialTimeout = 200 * time.Millisecond
)

// replicaCaller implements control.Caller.
type replicaCaller struct{ node *Node }

// Call implements control.Caller. A call to the node itself takes no network.
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
