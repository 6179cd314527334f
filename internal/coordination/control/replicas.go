package control

import (
	"context"
	"errors"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// ReplicaSet is a proposer that knows and changes its replicas.
type ReplicaSet interface {
	Members() consensus.Membership
	Remove(ctx context.Context, r consensus.Replica) error
}

// RemoveReplicaArgs asks to end the membership of a node's replica for good.
type RemoveReplicaArgs struct{ Node ident.NodeID }

// RemoveReplicaReply answers a removal.
type RemoveReplicaReply struct {
	Status
	Refusal machine.Refusal
	// Removed is the replica that is no member any more.
	Removed consensus.Replica
}

// RemoveReplica ends the membership of a node's replica. The node must not be
// the leader: the caller asks it to drain first, which hands over.
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

// neededForQuorum reports whether the voters that live would be too few without
// the node's.
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

// members returns the replicas, if the proposer knows them.
func (s *Service) members() []consensus.Member {
	if set, ok := s.proposer.(ReplicaSet); ok {
		return set.Members().Members
	}
	return nil
}
