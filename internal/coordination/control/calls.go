package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// maxHistoryReply bounds the changes in one reply.
const maxHistoryReply = 1000

// Claim commits a claim. Resending a granted claim with the same request and
// attempt grants it again.
func (s *Service) Claim(args *ClaimArgs, reply *ClaimReply) error {
	claim := args.Claim
	result, status := s.propose(&machine.Command{Claim: &claim})
	reply.Status = status
	if result.Claim != nil {
		reply.Result = *result.Claim
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Claims++
	return nil
}

// Release commits that a claimed request was provably never sent.
func (s *Service) Release(args *ReleaseArgs, reply *LedgerReply) error {
	release := args.Release
	return s.changeLedger(&machine.Command{Release: &release}, reply)
}

// Complete commits the outcome of a claimed request.
func (s *Service) Complete(args *CompleteArgs, reply *LedgerReply) error {
	complete := args.Complete
	return s.changeLedger(&machine.Command{Complete: &complete}, reply)
}

// Resolve commits the outcome that the upstream service reports for a request
// whose answer was lost.
func (s *Service) Resolve(args *ResolveArgs, reply *LedgerReply) error {
	resolve := args.Resolve
	return s.changeLedger(&machine.Command{Resolve: &resolve}, reply)
}

func (s *Service) changeLedger(command *machine.Command, reply *LedgerReply) error {
	result, status := s.propose(command)
	reply.Status = status
	reply.Outcome = result.Ledger
	return nil
}

// Lookup returns what is recorded for a key. While a claim of the key is running,
// it waits for the claim to end, for at most args.Wait and MaxLookupWait.
func (s *Service) Lookup(args *LookupArgs, reply *LookupReply) error {
	end := time.Now().Add(min(args.Wait, MaxLookupWait))
	term, status := s.readBarrier()
	if !status.OK() {
		reply.Status = status
		return nil
	}
	for {
		reply.Result, reply.Found = s.machine.Lookup(args.Key)
		reply.Status = s.stillServing(term)
		running := reply.Found && reply.Result.Verdict == ledger.VerdictRunning
		if !running || !reply.Status.OK() || !time.Now().Before(end) {
			return nil
		}
		time.Sleep(pollInterval)
	}
}

// CommitMove commits a move's next record.
func (s *Service) CommitMove(args *CommitMoveArgs, reply *CommitMoveReply) error {
	record := args.Record
	result, status := s.propose(&machine.Command{CommitMove: &record})
	reply.Status = status
	reply.Refusal = result.Refusal
	reply.Record = result.Move
	return nil
}

// IssueOrder commits an order and returns it with its fencing number. The caller
// sends the order to the upstream only after that.
func (s *Service) IssueOrder(args *IssueOrderArgs, reply *OrderReply) error {
	order := args.Order
	return s.changeOrder(&machine.Command{IssueOrder: &order}, reply)
}

// CompleteOrder commits that an order is known to have ended.
func (s *Service) CompleteOrder(args *CompleteOrderArgs, reply *OrderReply) error {
	order := args.Order
	return s.changeOrder(&machine.Command{CompleteOrder: &order}, reply)
}

func (s *Service) changeOrder(command *machine.Command, reply *OrderReply) error {
	result, status := s.propose(command)
	reply.Status = status
	reply.Refusal = result.Refusal
	reply.Order = result.Order
	return nil
}

// ShowConfig returns the current configuration.
func (s *Service) ShowConfig(_ *ShowConfigArgs, reply *ShowConfigReply) error {
	_, status := s.readBarrier()
	reply.Status = status
	if status.OK() {
		reply.Config, reply.Revision, reply.Digest = s.machine.Config()
	}
	return nil
}

// History returns the latest accepted configuration changes, at most args.Limit
// and maxHistoryReply.
func (s *Service) History(args *HistoryArgs, reply *HistoryReply) error {
	_, status := s.readBarrier()
	reply.Status = status
	if status.OK() {
		reply.Changes = s.machine.History(min(max(args.Limit, 0), maxHistoryReply))
	}
	return nil
}

// Status returns the state of the system as the leader sees it.
func (s *Service) Status(_ *StatusArgs, reply *StatusReply) error {
	term, status := s.readBarrier()
	if !status.OK() {
		reply.Status = status
		return nil
	}
	reply.Leader = s.self
	reply.Term = term
	reply.Index = s.machine.Index()
	_, reply.Revision, _ = s.machine.Config()
	reply.Nodes = s.nodeStatus()
	reply.Pools = s.machine.Pools()
	reply.Moves = s.machine.Moves()
	reply.OpenOrders = s.machine.OpenOrders()
	reply.Replicas = s.members()
	reply.LedgerEntries, reply.LedgerBytes = s.machine.LedgerSize()
	reply.Evacuations, reply.Features = s.machine.Evacuations(), s.machine.Features()
	reply.Status = s.stillServing(term)
	return nil
}
