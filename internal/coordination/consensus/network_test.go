package consensus

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// link is one direction of a connection between two nodes.
type link struct{ from, to ident.NodeID }

// network connects replicas in memory.
type network struct {
	mu       sync.Mutex
	rng      *rand.Rand
	services map[ident.NodeID]*Service
	cut      map[link]bool
	// gone lists nodes whose VM no longer exists: calls to them get no answer.
	gone map[ident.NodeID]bool
	// maxDelay bounds the random delay of a message in one direction.
	// dropPercent of the messages are lost; the caller notices only through its
	// deadline.
	maxDelay    time.Duration
	dropPercent int
}

func newNetwork(seed int64) *network {
	return &network{
		rng:      rand.New(rand.NewSource(seed)),
		services: map[ident.NodeID]*Service{},
		cut:      map[link]bool{},
		gone:     map[ident.NodeID]bool{},
		maxDelay: 2 * time.Millisecond,
	}
}

// attach makes a node reachable, or unreachable if s is nil.
func (n *network) attach(id ident.NodeID, s *Service) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.services[id] = s
}

// setCut cuts or restores a connection in one direction.
func (n *network) setCut(from, to ident.NodeID, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
}

// heal removes all network faults.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[link]bool{}
	n.dropPercent = 0
	n.maxDelay = 2 * time.Millisecond
}

// transmit simulates sending a message in one direction. If the message is
// lost, it blocks until the context's deadline.
func (n *network) transmit(ctx context.Context, from, to ident.NodeID) error {
	n.mu.Lock()
	lost := n.rng.Intn(100) < n.dropPercent
	var delay time.Duration
	if n.maxDelay > 0 {
		delay = time.Duration(n.rng.Int63n(int64(n.maxDelay)))
	}
	n.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	n.mu.Lock()
	lost = lost || n.cut[link{from, to}] || n.gone[to]
	n.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	return ctx.Err()
}

var errUnreachable = errors.New("no process listens")

// request sends a request and returns the reply.
func request[Q, A any](ctx context.Context, n *network, from, to ident.NodeID, handle func(*Service, *Q, *A) error, args *Q) (*A, error) {
	if err := n.transmit(ctx, from, to); err != nil {
		return nil, err
	}
	n.mu.Lock()
	service := n.services[to]
	n.mu.Unlock()
	if service == nil {
		return nil, errUnreachable
	}
	copied := *args
	reply := new(A)
	if err := handle(service, &copied, reply); err != nil {
		return nil, err
	}
	if err := n.transmit(ctx, to, from); err != nil {
		return nil, err
	}
	return reply, nil
}

// memPeers implements Peers on an in-memory network.
type memPeers struct {
	net  *network
	self ident.NodeID
}

func (p memPeers) Vote(ctx context.Context, to ident.NodeID, req *VoteRequest) (*VoteReply, error) {
	return request(ctx, p.net, p.self, to, (*Service).Vote, req)
}

func (p memPeers) Append(ctx context.Context, to ident.NodeID, req *AppendRequest) (*AppendReply, error) {
	return request(ctx, p.net, p.self, to, (*Service).Append, req)
}

func (p memPeers) Snapshot(ctx context.Context, to ident.NodeID, req *SnapshotRequest) (*SnapshotReply, error) {
	return request(ctx, p.net, p.self, to, (*Service).Snapshot, req)
}

func (p memPeers) Elect(ctx context.Context, to ident.NodeID, req *ElectRequest) (*ElectReply, error) {
	return request(ctx, p.net, p.self, to, (*Service).Elect, req)
}

func (p memPeers) Probe(ctx context.Context, to ident.NodeID, req *ProbeRequest) (*ProbeReply, error) {
	return request(ctx, p.net, p.self, to, (*Service).Probe, req)
}

func (p memPeers) Join(ctx context.Context, to ident.NodeID, req *JoinRequest) (*JoinReply, error) {
	return request(ctx, p.net, p.self, to, (*Service).Join, req)
}

func (p memPeers) Leave(ctx context.Context, to ident.NodeID, req *LeaveRequest) (*LeaveReply, error) {
	return request(ctx, p.net, p.self, to, (*Service).Leave, req)
}

func (p memPeers) Recover(ctx context.Context, to ident.NodeID, req *RecoverRequest) (*RecoverReply, error) {
	return request(ctx, p.net, p.self, to, (*Service).Recover, req)
}
