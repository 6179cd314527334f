package consensus

import "errors"

// Service handles the requests of peers. Its methods have the signature that
// net/rpc requires. Each returns within Timing.CallTimeout.
type Service struct {
	replica *replica
}

// Vote handles a VoteRequest.
func (s *Service) Vote(args *VoteRequest, reply *VoteReply) (err error) {
	*reply, err = s.replica.onVote(args)
	return err
}

// Append handles an AppendRequest.
func (s *Service) Append(args *AppendRequest, reply *AppendReply) (err error) {
	*reply, err = s.replica.onAppend(args)
	return err
}

// Snapshot handles a SnapshotRequest.
func (s *Service) Snapshot(args *SnapshotRequest, reply *SnapshotReply) (err error) {
	*reply, err = s.replica.onSnapshot(args)
	return err
}

// Elect handles an ElectRequest.
func (s *Service) Elect(args *ElectRequest, reply *ElectReply) (err error) {
	*reply, err = s.replica.onElect(args)
	return err
}

// Probe handles a ProbeRequest.
func (s *Service) Probe(_ *ProbeRequest, reply *ProbeReply) error {
	*reply = s.replica.onProbe()
	return nil
}

// Join handles a JoinRequest.
func (s *Service) Join(args *JoinRequest, reply *JoinReply) (err error) {
	*reply, err = s.replica.onJoin(args)
	return err
}

// Leave handles a LeaveRequest.
func (s *Service) Leave(args *LeaveRequest, reply *LeaveReply) (err error) {
	*reply, err = s.replica.onLeave(args)
	return err
}

// Recover handles a RecoverRequest.
func (s *Service) Recover(args *RecoverRequest, reply *RecoverReply) (err error) {
	*reply, err = s.replica.onRecover(args)
	return err
}

// joinReply converts the result of a join to a reply.
func joinReply(err error) (JoinReply, error) {
	var notLeader *NotLeaderError
	switch {
	case err == nil:
		return JoinReply{Accepted: true}, nil
	case errors.Is(err, ErrRemoved):
		return JoinReply{Removed: true}, nil
	case errors.As(err, &notLeader):
		return JoinReply{Leader: notLeader.Leader}, nil
	default:
		return JoinReply{}, err
	}
}
