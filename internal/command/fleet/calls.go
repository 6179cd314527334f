package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

const (
	// orderTimeout bounds one try of a call to a replica: an operator gives up
	// on a node after 1 s, and another replica must get its try before.
	orderTimeout = 600 * time.Millisecond
	// syncTimeout bounds one sync, its hold included.
	syncTimeout = control.MaxSyncHold + orderTimeout
	// dialTimeout bounds the making of a connection to another node: many times
	// the round trip between regions.
	dialTimeout = 200 * time.Millisecond
	// consensusServiceName is the net/rpc name of the replicas' own service.
	consensusServiceName = "Consensus"
)

// replicaCaller implements control.Caller.
type replicaCaller struct{ node *Node }

// Call implements control.Caller. A call to the node itself takes no network.
func (c *replicaCaller) Call(ctx context.Context, to ident.NodeID, method string, args, reply any) error {
	timeout := orderTimeout
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

// peers implements consensus.Peers over connections of its own, so that a large
// call can't delay a heartbeat between replicas.
type peers struct {
	calls    *rpcnet.Client
	settings *Settings
}

// Vote implements consensus.Peers.
func (p *peers) Vote(ctx context.Context, to ident.NodeID, req *consensus.VoteRequest) (*consensus.VoteReply, error) {
	return callPeer[consensus.VoteReply](ctx, p, to, "Vote", req)
}

// Append implements consensus.Peers.
func (p *peers) Append(ctx context.Context, to ident.NodeID, req *consensus.AppendRequest) (*consensus.AppendReply, error) {
	return callPeer[consensus.AppendReply](ctx, p, to, "Append", req)
}

// Snapshot implements consensus.Peers.
func (p *peers) Snapshot(ctx context.Context, to ident.NodeID, req *consensus.SnapshotRequest) (*consensus.SnapshotReply, error) {
	return callPeer[consensus.SnapshotReply](ctx, p, to, "Snapshot", req)
}

// Elect implements consensus.Peers.
func (p *peers) Elect(ctx context.Context, to ident.NodeID, req *consensus.ElectRequest) (*consensus.ElectReply, error) {
	return callPeer[consensus.ElectReply](ctx, p, to, "Elect", req)
}

// Probe implements consensus.Peers.
func (p *peers) Probe(ctx context.Context, to ident.NodeID, req *consensus.ProbeRequest) (*consensus.ProbeReply, error) {
	return callPeer[consensus.ProbeReply](ctx, p, to, "Probe", req)
}

// Join implements consensus.Peers.
func (p *peers) Join(ctx context.Context, to ident.NodeID, req *consensus.JoinRequest) (*consensus.JoinReply, error) {
	return callPeer[consensus.JoinReply](ctx, p, to, "Join", req)
}

func callPeer[R any](ctx context.Context, p *peers, to ident.NodeID, method string, req any) (*R, error) {
	reply := new(R)
	if err := p.calls.Call(ctx, p.settings.address(to), consensusServiceName+"."+method, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
