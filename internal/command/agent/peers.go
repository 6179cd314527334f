package agent

import (
	"context"
	"fmt"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

// consensusServiceName is the net/rpc name of the replicas' own service.
const consensusServiceName = "Consensus"

// peers implements consensus.Peers over net/rpc. It keeps connections of its
// own, so that a large control call can't delay a heartbeat between replicas.
type peers struct {
	calls     *rpcnet.Client
	addresses map[ident.NodeID]string
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
	address, ok := p.addresses[to]
	if !ok {
		return nil, fmt.Errorf("replica %q is not in the settings", to)
	}
	reply := new(R)
	if err := p.calls.Call(ctx, address, consensusServiceName+"."+method, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
