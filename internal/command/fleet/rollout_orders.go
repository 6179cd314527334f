package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/arrival"
)

// Pauses returns the record of the times at which this process stood still.
func (n *Node) Pauses() *arrival.Pauses { return &n.pauses }

// StartRollout commits an operator's order to start a rollout, which was sent at the time
// sentAfter of boottime.Now or later. The error wraps control.ErrOrderOutdated if the order may be a
// late copy; after any other, the outcome is unknown.
func (n *Node) StartRollout(ctx context.Context, o rollout.Order, sentAfter time.Duration) error {
	record, err := n.startRollout(ctx, o, sentAfter)
	result := n.metrics.countOrder("rollout", err)
	if errors.Is(err, control.ErrOrderOutdated) {
		klog.InfoS("an operator's order may be a late copy, refusing it", "node", n.settings.Name, "pool", o.Pool, "target", o.Target,
			"sentAtMostMsAgo", (boottime.Now() - sentAfter).Milliseconds(), "latest", record.Number, "latestTarget", record.Target, "latestState", record.State)
	}
	n.events.Record(timeline.Event{Kind: timeline.KindMove, Pool: o.Pool, Detail: fmt.Sprintf("order for version %.64s: %s", o.Target, result)})
	return err
}

// startRollout returns the latest record of the pool that it knows besides the error.
func (n *Node) startRollout(ctx context.Context, o rollout.Order, sentAfter time.Duration) (rollout.Record, error) {
	order := control.OperatorOrder{Order: o, SentAfter: sentAfter, Basis: rollout.Basis{Known: true}}
	if n.replica == nil {
		return control.StartRollout(ctx, n.control, order)
	}
	order.Basis = n.replica.service.RolloutBasis(o.Pool, sentAfter)
	order.ReadFirst = n.replica.machine.Features() < machine.BasisLevel
	latest, err := control.StartRollout(ctx, n.control, order)
	if latest.Number > 0 {
		n.replica.service.LearnRollout(latest)
	}
	return latest, err
}

// Rollout returns the latest rollout of a pool; nil if it has had none.
func (n *Node) Rollout(ctx context.Context, name ident.PoolName) (*rollout.Record, error) {
	reply, err := control.Call[control.RolloutReply](ctx, n.control, "ReadRollout", &control.ReadRolloutArgs{Pool: name})
	return reply.Record, err
}
