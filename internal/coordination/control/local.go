package control

import (
	"context"
	"sync"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// LocalProposer applies commands at once in memory. It replaces consensus in
// tests and in single-process fakes; its state is lost when the process ends.
type LocalProposer struct {
	self    ident.NodeID
	machine *machine.Machine

	mu    sync.Mutex
	index uint64
}

// NewLocalProposer returns a proposer that always leads, in term 1.
func NewLocalProposer(self ident.NodeID, m *machine.Machine) *LocalProposer {
	return &LocalProposer{self: self, machine: m}
}

// Propose implements consensus.Proposer.
func (p *LocalProposer) Propose(_ context.Context, command []byte) (machine.Result, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	return p.machine.Apply(p.index, command), nil
}

// ReadBarrier implements consensus.Proposer.
func (p *LocalProposer) ReadBarrier(context.Context) error { return nil }

// Leadership implements consensus.Proposer.
func (p *LocalProposer) Leadership() consensus.Leadership {
	return consensus.Leadership{Term: 1, Leader: p.self, Leading: true}
}
