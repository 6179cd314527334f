package consensus

import (
	"context"
	"time"
)

// leave asks the leader to take this replica's vote before it stops, if there are
// more voters than needed, and waits until that is done. It gives up when ctx
// ends, and at once if this replica leads and found no successor: it has no lease
// any more. The leader then misses the replica after SilentVoterTimeout.
func (r *replica) leave(ctx context.Context) {
	r.leaving.Store(true)
	ticker := time.NewTicker(r.opts.Timing.Heartbeat)
	defer ticker.Stop()
	for r.ctx.Err() == nil {
		v := r.view.Load()
		spare := len(v.members.Voters()) > r.opts.MinVoters
		if !r.opts.ReplaceDead || v.leads || v.members.Role(v.self) != RoleVoter || !spare {
			return
		}
		if v.leader != "" && r.askToLeave(ctx, v) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// hasLeft reports whether this replica gave up its vote before it was restarted.
func (r *replica) hasLeft(v *view) bool {
	self := v.members.member(v.self)
	return r.opts.ReplaceDead && self.Role == RoleLearner && !self.AutoPromote
}

// askToLeave sends one LeaveRequest to the leader and reports whether this
// replica may stop.
func (r *replica) askToLeave(ctx context.Context, v *view) bool {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timing.CallTimeout)
	defer cancel()
	reply, err := r.opts.Peers.Leave(ctx, v.leader, &LeaveRequest{Cluster: v.genesis.Cluster, Replica: v.self})
	return err == nil && reply.Done
}

// onLeave takes the vote of a replica that is about to stop, if this replica
// leads.
func (r *replica) onLeave(req *LeaveRequest) (LeaveReply, error) {
	if req.Cluster != r.view.Load().genesis.Cluster {
		return LeaveReply{}, ErrWrongRecipient
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timing.CallTimeout)
	defer cancel()
	err := r.changeMembers(ctx, func(now time.Time, c *core) (uint64, error) { return c.leave(now, req.Replica) })
	return LeaveReply{Done: err == nil}, err
}
