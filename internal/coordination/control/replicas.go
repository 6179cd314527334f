package control

import (
	"context"
	"errors"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// ReplicaSet is a proposer that can list and remove replicas.
type ReplicaSet interface {
	Members() consensus.Membership
	Remove(ctx context.Context, r consensus.Replica) error
}

// RemoveReplicaArgs requests the permanent removal of a node's replica.
type RemoveReplicaArgs struct{ Node ident.NodeID }

// RemoveReplicaReply answers a removal.
type RemoveReplicaReply struct {
	Status
	Refusal machine.Refusal
	// Removed is the removed replica.
	Removed consensus.Replica
}

// RemoveReplica permanently removes a node's replica from the members. The node
// must not be the leader: the caller drains it first, which hands over the
// leadership.
func (s *Service) RemoveReplica(args *RemoveReplicaArgs, reply *RemoveReplicaReply) error {
	if _, reply.Status = s.serving(); !reply.OK() {
		return nil
	}
	set, ok := s.proposer.(ReplicaSet)
	if !ok {
		reply.Refusal = machine.RefusedUnknown
		return nil
	}
	member, refusal := removable(set.Members(), args.Node, s.self)
	if refusal != "" {
		reply.Refusal = refusal
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), ProposeTimeout)
	defer cancel()
	reply.Status = removalStatus(set.Remove(ctx, member))
	if reply.OK() {
		reply.Removed = member
	}
	return nil
}

func removable(m consensus.Membership, node, self ident.NodeID) (consensus.Replica, machine.Refusal) {
	for _, member := range m.Members {
		switch {
		case member.Replica.ID != node:
		case node == self:
			return consensus.Replica{}, machine.RefusedHolder
		default:
			return member.Replica, ""
		}
	}
	return consensus.Replica{}, machine.RefusedUnknown
}

func removalStatus(err error) Status {
	var notLeader *consensus.NotLeaderError
	switch {
	case err == nil:
		return Status{}
	case errors.As(err, &notLeader):
		return Status{NotLeader: true, Redirect: notLeader.Leader, Detail: err.Error()}
	default:
		return Status{Uncertain: true, Detail: err.Error()}
	}
}

// neededForQuorum reports whether the live voters without the node's replica
// would be too few for a quorum.
func (s *Service) neededForQuorum(node ident.NodeID) bool {
	set, ok := s.proposer.(ReplicaSet)
	if !ok {
		return false
	}
	voters := set.Members().Voters()
	live, votes := 0, false
	for _, v := range voters {
		votes = votes || v.ID == node
		if _, leased := s.machine.Node(v.ID); leased {
			live++
		}
	}
	return votes && len(voters) > 1 && live-1 < len(voters)/2+1
}

// members returns the replicas, and nil if the proposer does not know them.
func (s *Service) members() []consensus.Member {
	if set, ok := s.proposer.(ReplicaSet); ok {
		return set.Members().Members
	}
	return nil
}
