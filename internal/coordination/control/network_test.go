package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// network lets concurrent clients and services share a cluster. It adds delays,
// faults, lost replies and changes of leader.
type network struct {
	*cluster
	mu     sync.Mutex
	random *rand.Rand
}

// delayedProposer is a replica's proposer with the delays of the network.
type delayedProposer struct {
	network *network
	replica *replica
}

func newNetwork(seed uint64) *network {
	n := &network{cluster: newCluster("r1", "r2", "r3"), random: rand.New(rand.NewPCG(seed, 1))}
	kinds := []fault{faultNone, faultCommandLost, faultReplyLost, faultCommitDelayed}
	n.fault = func() fault { return kinds[max(0, n.random.IntN(12)-8)] }
	for _, r := range n.replicas {
		r.service = NewService(r.id, &delayedProposer{n, r}, r.machine)
	}
	return n
}

func (n *network) intN(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(limit)
}

func (n *network) delay() { time.Sleep(time.Duration(n.intN(30)) * time.Millisecond) }

// Propose implements consensus.Proposer.
func (p *delayedProposer) Propose(ctx context.Context, command []byte) (machine.Result, error) {
	p.network.delay()
	defer p.network.delay()
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.replica.Propose(ctx, command)
}

// ReadBarrier implements consensus.Proposer.
func (p *delayedProposer) ReadBarrier(ctx context.Context) error {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.replica.ReadBarrier(ctx)
}

// Leadership implements consensus.Proposer.
func (p *delayedProposer) Leadership() consensus.Leadership {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	return p.replica.Leadership()
}

// leaderService returns the leader's service.
func (n *network) leaderService() *Service {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.service
}

// changeLeaders elects a random replica at random intervals until the context
// ends.
func (n *network) changeLeaders(ctx context.Context) {
	for sleep(ctx, time.Duration(200+n.intN(600))*time.Millisecond) {
		next := n.replicas[n.intN(len(n.replicas))]
		n.mu.Lock()
		n.delayed = nil
		n.elect(next)
		n.mu.Unlock()
	}
}

// start runs the services and nodes that send heartbeats.
func (n *network) start(t *testing.T, b *background, ids ...ident.NodeID) {
	for _, r := range n.replicas {
		b.group.Go(func() { r.service.Run(b.ctx) })
	}
	for _, id := range ids {
		f := newFakeNode(id, nil)
		b.group.Go(func() {
			for sleep(b.ctx, HeartbeatInterval/5) {
				f.service = n.leaderService()
				f.heartbeat(t)
			}
		})
	}
	b.group.Go(func() { n.changeLeaders(b.ctx) })
}
