// Package peernet makes the calls between replicas over net/rpc.
package peernet

import (
	"context"
	"fmt"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

// ServiceName is the net/rpc name of the consensus service.
const ServiceName = "Consensus"

// Peers implements consensus.Peers over net/rpc. It should not share its client
// with other services: on a shared connection, a large control call could delay a
// heartbeat between replicas.
type Peers struct {
	Calls *rpcnet.Client
	// Address returns the address of a replica and whether it is known.
	Address func(id ident.NodeID) (string, bool)
}

// Vote implements consensus.Peers.
func (p *Peers) Vote(ctx context.Context, to ident.NodeID, req *consensus.VoteRequest) (*consensus.VoteReply, error) {
	return callPeer[consensus.VoteReply](ctx, p, to, "Vote", req)
}

// Append implements consensus.Peers.
func (p *Peers) Append(ctx context.Context, to ident.NodeID, req *consensus.AppendRequest) (*consensus.AppendReply, error) {
	return callPeer[consensus.AppendReply](ctx, p, to, "Append", req)
}

// Snapshot implements consensus.Peers.
func (p *Peers) Snapshot(ctx context.Context, to ident.NodeID, req *consensus.SnapshotRequest) (*consensus.SnapshotReply, error) {
	return callPeer[consensus.SnapshotReply](ctx, p, to, "Snapshot", req)
}

// Elect implements consensus.Peers.
func (p *Peers) Elect(ctx context.Context, to ident.NodeID, req *consensus.ElectRequest) (*consensus.ElectReply, error) {
	return callPeer[consensus.ElectReply](ctx, p, to, "Elect", req)
}

// Probe implements consensus.Peers.
func (p *Peers) Probe(ctx context.Context, to ident.NodeID, req *consensus.ProbeRequest) (*consensus.ProbeReply, error) {
	return callPeer[consensus.ProbeReply](ctx, p, to, "Probe", req)
}

// Join implements consensus.Peers.
func (p *Peers) Join(ctx context.Context, to ident.NodeID, req *consensus.JoinRequest) (*consensus.JoinReply, error) {
	return callPeer[consensus.JoinReply](ctx, p, to, "Join", req)
}

// Leave implements consensus.Peers.
func (p *Peers) Leave(ctx context.Context, to ident.NodeID, req *consensus.LeaveRequest) (*consensus.LeaveReply, error) {
	return callPeer[consensus.LeaveReply](ctx, p, to, "Leave", req)
}

// Recover implements consensus.Peers.
func (p *Peers) Recover(ctx context.Context, to ident.NodeID, req *consensus.RecoverRequest) (*consensus.RecoverReply, error) {
	return callPeer[consensus.RecoverReply](ctx, p, to, "Recover", req)
}

func callPeer[R any](ctx context.Context, p *Peers, to ident.NodeID, method string, req any) (*R, error) {
	address, ok := p.Address(to)
	if !ok {
		return nil, fmt.Errorf("replica %q has no known address", to)
	}
	reply := new(R)
	if err := p.Calls.Call(ctx, address, ServiceName+"."+method, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}
