package consensus

import "context"

// Resign transfers the leadership to another voter if this replica leads and
// another voter can take over. It returns when this replica no longer leads, or
// after ElectionMin at the latest.
func (n *Node[R]) Resign(ctx context.Context) {
	n.replica.transferLeadership(ctx)
}
