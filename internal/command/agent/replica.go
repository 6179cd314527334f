package agent

import (
	"context"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// replica is the part of a node that keeps the replicated state.
type replica struct {
	machine *machine.Machine
	service *control.Service
	cancel  context.CancelFunc
}

// openReplica opens the data folder and offers the control service.
func openReplica(a *Agent) (*replica, error) {
	m := machine.New(ledger.DefaultLimits())
	proposer := control.NewLocalProposer(a.settings.Node, m)
	r := &replica{machine: m, service: control.NewService(a.settings.Node, proposer, m)}
	if err := a.server.Register(control.ServiceName, r.service); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *replica) start(a *Agent) {
	ctx, cancel := context.WithCancel(a.ctx)
	r.cancel = cancel
	a.loops.Go(func() { r.service.Run(ctx) })
}

// kill ends the replica without any last word to the others.
func (r *replica) kill() {
	if r.cancel != nil {
		r.cancel()
	}
}
