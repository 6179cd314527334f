package control

import (
	"errors"
	"time"
)

// SyncHold returns how long a sync waits for a change in a fleet of the given number of
// members. A leader replies soon after it in any case.
func SyncHold(members int) time.Duration {
	return min(MaxSyncHold, max(minSyncHold, time.Duration(members)*syncHoldPerMember))
}

// syncHold returns how long a sync waits for a change at the current number of
// members.
func (f *fleet) syncHold() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return SyncHold(len(f.contacts))
}

// Sync records that a node is live, waits for a change and returns what the node
// lacks. Every served reply proves that this replica led after the call was sent.
func (s *Service) Sync(args *SyncArgs, reply *SyncReply) error {
	s.observeSync(args.Member)
	term, status := s.awaitServing()
	if !status.OK() {
		reply.Status = status
		return nil
	}
	if !s.fleet.startSync(args.Member, time.Now()) {
		reply.Status = Status{NotLeader: true, Redirect: s.self, Detail: "the term is beginning"}
		return nil
	}
	s.noteConfirmation(args.Member.ID, args.HaveRevision)
	superseded := s.fleet.supersede(args.Member)
	s.fleet.reportHot(args.HotTeams, time.Now())
	s.fleet.reportUse(args.Member.ID, args.TeamUse, time.Now())
	s.fleet.reportPoison(args.Poison, time.Now())
	s.fleet.reportEnds(args.Ends, args.Cleared, args.ClearedParts, time.Now())
	hold := min(args.Hold, s.fleet.syncHold())
	holdEnd := time.Now().Add(hold)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	for !s.lacks(args) {
		if !s.awaitSync(args, timer.C, superseded) {
			break
		}
	}
	if s.lacks(args) {
		// Read after the pause, so that the reply includes what changed
		// meanwhile.
		limiter := s.updateLimiter
		if args.HaveRevision == 0 {
			limiter = s.firstSyncLimiter
		}
		switch s.fleet.awaitTurn(args.Member, limiter, superseded, max(minTurnWait, time.Until(holdEnd))) {
		case turnCame:
		case turnSuperseded:
			s.fleet.endSync(args.Member, time.Now())
			reply.Status = Status{Uncertain: true, Detail: "the node has sent another sync"}
			return nil
		case turnLater:
			// A sign of life: a node can't tell a long wait from a connection that has
			// gone silent.
			s.fleet.endSync(args.Member, time.Now())
			reply.Status = Status{Uncertain: true, Redirect: s.self, Detail: "the node's turn to get an update has not come"}
			return nil
		}
		var errs [2]error
		reply.Config, errs[0] = s.configDelivery(args.HaveRevision)
		reply.Spread, errs[1] = s.fleet.deliveryFor(args.HaveSpread)
		if err := errors.Join(errs[:]...); err != nil {
			s.fleet.endSync(args.Member, time.Now())
			return err
		}
		if reply.Config.Packed != nil && args.HaveRevision != 0 {
			s.confirmations.sent(args.Member.ID, time.Now())
		}
	}
	s.fleet.endSync(args.Member, time.Now())
	current, status := s.awaitServing()
	if status.OK() && current != term {
		status = Status{NotLeader: true, Redirect: s.self, Detail: "the term has changed"}
	}
	reply.Status = status
	return nil
}

// awaitServing waits for at most maxLeaderWait while no other replica is known to
// lead: an election may be in progress, or this replica's lease may have expired
// for a moment. If all nodes were turned away then, their attempts to find a
// leader would keep the replicas from electing one.
func (s *Service) awaitServing() (uint64, Status) {
	timer := time.NewTimer(maxLeaderWait)
	defer timer.Stop()
	for {
		changed := s.leadershipChange()
		term, status := s.serving()
		leader := s.proposer.Leadership().Leader
		if status.OK() || leader != "" && leader != s.self {
			return term, status
		}
		select {
		case <-changed:
		case <-timer.C:
			return term, status
		}
	}
}

// lacks reports whether a node is behind the current configuration or fleet
// state.
func (s *Service) lacks(args *SyncArgs) bool {
	_, newer := s.fleet.newer(args.HaveSpread)
	return newer || s.lacksConfig(args)
}

// lacksConfig reports whether a node is behind the current configuration.
func (s *Service) lacksConfig(args *SyncArgs) bool {
	_, revision, _ := s.machine.Config()
	s.confirmations.committed(revision, time.Now())
	return revision > args.HaveRevision
}

// awaitSync waits for a change. It returns false on timeout, when the node has sent
// another sync, and when this replica has lost the leadership.
func (s *Service) awaitSync(args *SyncArgs, timeout <-chan time.Time, superseded <-chan struct{}) bool {
	machineChanged := s.machine.Changed()
	fleetChanged, newer := s.fleet.newer(args.HaveSpread)
	if newer || s.lacksConfig(args) {
		return true
	}
	select {
	case <-machineChanged:
	case <-fleetChanged:
	case <-timeout:
		return false
	case <-superseded:
		return false
	}
	_, status := s.serving()
	return status.OK() || s.proposer.Leadership().Leader == s.self
}
