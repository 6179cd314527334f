package control

import (
	"context"
	"fmt"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// ApplyNumbered commits a configuration under the policy that the highest number
// wins. The call is served once a quorum has the configuration on disk. Changes are
// committed one at a time, the one of the highest number first, so that copies of a change
// and those that it overtakes cost the replicas nothing.
func (s *Service) ApplyNumbered(args *ApplyNumberedArgs, reply *ApplyNumberedReply) error {
	if _, status := s.readBarrier(); !status.OK() {
		reply.Status = status
		return nil
	}
	if s.overtaken(args, reply) {
		return nil
	}
	if len(args.Numbered.Document) == 0 {
		reply.Status = Status{NotLeader: true, Redirect: s.self, Detail: fmt.Sprintf("number %d is not committed here and came without its text", args.Numbered.Number)}
		return nil
	}
	patience := ProposeTimeout
	if args.Patience > 0 {
		patience = min(patience, args.Patience)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := s.changeTurns.take(ctx, args.Numbered.Number); err != nil {
		reply.Status = Status{NotLeader: true, Redirect: s.self, Detail: err.Error()}
		return nil
	}
	defer s.changeTurns.done()
	if s.overtaken(args, reply) {
		return nil
	}
	numbered := args.Numbered
	result, status := s.propose(&machine.Command{ApplyConfig: &config.Operation{Numbered: &numbered}})
	reply.Status = status
	if status.OK() && result.Config != nil {
		reply.Outcome = *result.Config
		_, reply.Number = s.machine.Document()
	}
	return nil
}

// overtaken reports whether a configuration with the same or a higher number is committed,
// and replies that if so.
func (s *Service) overtaken(args *ApplyNumberedArgs, reply *ApplyNumberedReply) bool {
	_, number := s.machine.Document()
	if args.Numbered.Number > number {
		return false
	}
	reply.Number = number
	reply.Outcome.Verdict = config.VerdictOvertaken
	return true
}

// ReadDocument returns the original text of the newest numbered configuration.
func (s *Service) ReadDocument(_ *ReadDocumentArgs, reply *ReadDocumentReply) error {
	term, status := s.readBarrier()
	if !status.OK() {
		reply.Status = status
		return nil
	}
	reply.Document, reply.Number = s.machine.Document()
	reply.Status = s.stillServing(term)
	return nil
}

// EndRollout commits the end of a rollout.
func (s *Service) EndRollout(args *EndRolloutArgs, reply *RolloutReply) error {
	end := args.End
	return s.changeRollout(&machine.Command{EndRollout: &end}, reply)
}

func (s *Service) changeRollout(command *machine.Command, reply *RolloutReply) error {
	result, status := s.propose(command)
	reply.Status = status
	reply.Refusal = string(result.Refusal)
	reply.Record = result.Rollout
	if status.OK() {
		s.noteRollouts()
		s.publishCommitted()
	}
	return nil
}

// publishCommitted updates the fleet state, if there is one, with what is committed of it.
func (s *Service) publishCommitted() {
	if s.fleet == nil {
		return
	}
	s.fleet.setCommitted(committedState{
		rollouts: s.machine.Rollouts(), hotTeams: s.machine.HotTeams(), poison: s.machine.PoisonParts(), evacuations: s.machine.Evacuations(),
	})
}

// ReadRollout returns a pool's latest rollout.
func (s *Service) ReadRollout(args *ReadRolloutArgs, reply *RolloutReply) error {
	term, status := s.readBarrier()
	if !status.OK() {
		reply.Status = status
		return nil
	}
	if record, known := s.machine.Rollout(args.Pool); known {
		reply.Record = &record
		s.setAge(reply)
	}
	reply.Status = s.stillServing(term)
	return nil
}
