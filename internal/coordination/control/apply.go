package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// ApplyConfig replaces the configuration of revision Base. InForce is set once a
// quorum has committed the new revision and every node with a live lease has
// reported it; a node that has not reported it has lost its lease by then.
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

// newOperation returns the operation to commit. It carries no delta when Base is
// superseded: the operation can then only end in a conflict or return the outcome
// of an earlier copy of itself.
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

// awaitInForce waits until the accepted revision is in force on every node with a
// live lease, for at most MaxApplyWait.
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
			// The revision is committed. Resending the call to the next leader
			// reports when it is in force.
			reply.Status = Status{Uncertain: true, Redirect: status.Redirect, Detail: status.Detail}
			return
		}
		if reply.InForce || !time.Now().Before(end) {
			return
		}
		time.Sleep(pollInterval)
	}
}

// nodesBehind returns the live nodes that have not reported the revision or a
// later one.
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
