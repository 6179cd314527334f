package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// ApplyConfig replaces the configuration of revision Base. It is acknowledged
// (InForce) once a quorum has committed the revision and every node with a
// live lease reports it; a node that doesn't has lost its lease before.
func (s *Service) ApplyConfig(args *ApplyConfigArgs, reply *ApplyConfigReply) error {
	next, report := config.Load(args.Files, time.Now())
	reply.Mistakes = report.Mistakes
	reply.Warnings = report.Warnings
	if args.ID == "" {
		reply.Mistakes = append(reply.Mistakes, config.Mistake{File: "operation", Text: "the operation id is missing"})
	}
	if len(reply.Mistakes) > 0 {
		return nil
	}
	if _, status := s.readBarrier(); !status.OK() {
		reply.Status = status
		return nil
	}
	result, status := s.propose(&machine.Command{ApplyConfig: s.newOperation(args, next)})
	reply.Status = status
	if !status.OK() || result.Config == nil {
		return nil
	}
	s.countApply()
	reply.Outcome = *result.Config
	if reply.Outcome.Verdict != config.VerdictAccepted {
		return nil
	}
	s.awaitInForce(reply, args.Wait)
	return nil
}

// newOperation makes the command. The delta is left out when Base is superseded:
// then only the outcome of an earlier copy can be anything but a conflict.
func (s *Service) newOperation(args *ApplyConfigArgs, next config.Config) *config.Operation {
	op := &config.Operation{ID: args.ID, Base: args.Base, Who: args.Who, Digest: next.Digest()}
	current, revision, _ := s.machine.Config()
	if revision == args.Base {
		delta := config.Diff(current, next)
		op.Delta = &delta
	}
	return op
}

func (s *Service) countApply() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Applies++
}

// awaitInForce waits until the accepted revision is in force everywhere.
func (s *Service) awaitInForce(reply *ApplyConfigReply, wait time.Duration) {
	if wait <= 0 || wait > MaxApplyWait {
		wait = MaxApplyWait
	}
	end := time.Now().Add(wait)
	for {
		term, status := s.serving()
		reply.Waiting = s.nodesBehind(reply.Outcome.Revision)
		if status.OK() {
			status = s.stillServing(term)
		}
		reply.InForce = status.OK() && len(reply.Waiting) == 0
		if !status.OK() {
			// The revision is committed; a resend to the next leader tells
			// when it is in force.
			reply.Status = Status{Uncertain: true, Redirect: status.Redirect, Detail: status.Detail}
			return
		}
		if reply.InForce || !time.Now().Before(end) {
			return
		}
		time.Sleep(pollInterval)
	}
}

// nodesBehind names the live nodes that haven't reported the revision.
func (s *Service) nodesBehind(revision ident.Revision) []ident.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []ident.NodeID
	for _, node := range s.machine.Nodes() {
		state := s.nodes[node.ID]
		upToDate := state != nil && state.incarnation == node.Incarnation &&
			state.reported && state.revision >= revision
		if !upToDate {
			names = append(names, node.ID)
		}
	}
	return names
}
