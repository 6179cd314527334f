package consensus

import "context"

// Resign hands the leadership to another replica if this one leads and another
// can. It returns when the leadership is gone, or at the latest after the
// shortest election timeout.
func (n *Node[R]) Resign(ctx context.Context) {
	n.replica.handOver(ctx)
}
