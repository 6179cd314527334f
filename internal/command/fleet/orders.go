package fleet

import (
	"context"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// Apply commits a numbered configuration. Accepted is false if a configuration with
// a higher number has been committed already. After an error the outcome is
// unknown.
func (n *Node) Apply(ctx context.Context, c config.Numbered) (accepted bool, err error) {
	reply, err := control.Call[control.ApplyNumberedReply](ctx, n.control, "ApplyNumbered", &control.ApplyNumberedArgs{Numbered: c})
	return reply.Outcome.Verdict == config.VerdictAccepted, err
}

// Document returns the text of the newest numbered configuration as it was
// submitted. The number is 0 if there is none.
func (n *Node) Document(ctx context.Context) (document []byte, number uint64, err error) {
	reply, err := control.Call[control.ReadDocumentReply](ctx, n.control, "ReadDocument", &control.ReadDocumentArgs{})
	return reply.Document, reply.Number, err
}

// StartRollout commits an operator's order to start a rollout.
func (n *Node) StartRollout(ctx context.Context, o rollout.Order) error {
	_, err := control.Call[control.RolloutReply](ctx, n.control, "StartRollout", &control.StartRolloutArgs{Order: o})
	return err
}

// Rollout returns the latest rollout of a pool; nil if it has had none.
func (n *Node) Rollout(ctx context.Context, name ident.PoolName) (*rollout.Record, error) {
	reply, err := control.Call[control.RolloutReply](ctx, n.control, "ReadRollout", &control.ReadRolloutArgs{Pool: name})
	return reply.Record, err
}
