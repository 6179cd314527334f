package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// withLeaseSim runs a test in virtual time with three nodes that hold leases and
// have a configuration in force.
func withLeaseSim(t *testing.T, run func(s *leaseSim)) {
	synctest.Test(t, func(*testing.T) { run(newLeaseSim()) })
}

// advance lets time pass while the given nodes send heartbeats.
func (s *leaseSim) advance(d time.Duration, nodes ...*process) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(TickInterval) {
		s.tick(nil)
		for _, n := range nodes {
			s.heartbeat(n)
		}
	}
}

func (s *leaseSim) claim(n *process, key ledger.Key, request ident.RequestID) ClaimReply {
	var reply ClaimReply
	c := ledger.Claim{Key: key, Gateway: n.id, Incarnation: n.incarnation, Request: request}
	_ = s.leader.service.Claim(&ClaimArgs{Claim: c}, &reply)
	return reply
}

func (s *leaseSim) applyArgs(args *ApplyConfigArgs) ApplyConfigReply {
	var reply ApplyConfigReply
	args.Wait = time.Nanosecond
	_ = s.leader.service.ApplyConfig(args, &reply)
	return reply
}

func TestApply_ConcurrentOperatorsWithEqualBase(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		_, base, _ := s.leader.machine.Config()
		first := s.applyArgs(sampleArgs("a", base, "teams: {north: {shares: 8}}"))
		second := s.applyArgs(sampleArgs("b", base, "teams: {north: {shares: 9}}"))
		must.Eq(t, config.VerdictAccepted, first.Outcome.Verdict)
		must.Eq(t, config.Outcome{Verdict: config.VerdictConflict, Revision: base + 1, Who: "operator a"}, second.Outcome)
	})
}

func TestApply_ResendAfterLostReply(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		_, base, _ := s.leader.machine.Config()
		args := sampleArgs("a", base, "teams: {north: {shares: 8}}")
		s.fault = func() fault { return faultReplyLost }
		must.True(t, s.applyArgs(args).Uncertain)
		s.fault = func() fault { return faultNone }
		must.Eq(t, config.VerdictAccepted, s.applyArgs(sampleArgs("b", base+1, "")).Outcome.Verdict)
		s.elect(s.replicas[1])
		s.tick(nil)
		resent := s.applyArgs(args)
		must.Eq(t, config.Outcome{Verdict: config.VerdictAccepted, Revision: base + 1, Who: "operator a"}, resent.Outcome)
		_, revision, _ := s.leader.machine.Config()
		must.Eq(t, base+2, revision)
	})
}

func TestApply_WaitsForCutOffNode(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		_, base, _ := s.leader.machine.Config()
		args := sampleArgs("a", base, "teams: {north: {shares: 8}}")
		must.Eq(t, []ident.NodeID{"n1", "n2", "n3"}, s.applyArgs(args).Waiting)
		s.advance(time.Second, s.processes[0], s.processes[1])
		must.Eq(t, []ident.NodeID{"n3"}, s.applyArgs(args).Waiting)
		s.advance(NodeTTL+expiryMargin, s.processes[0], s.processes[1])
		must.True(t, s.applyArgs(args).InForce)
		must.False(t, s.processes[2].leased())
	})
}

func TestClaim_ExpiredLeaseIsRefused(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		n1, n2 := s.processes[0], s.processes[1]
		key := newKey(1)
		must.Eq(t, ledger.VerdictGranted, s.claim(n1, key, "q1").Result.Verdict)
		s.advance(3*time.Second, n2)
		must.Eq(t, ledger.VerdictStale, s.claim(n1, newKey(2), "q2").Result.Verdict)
		must.Eq(t, ledger.VerdictMayHaveRun, s.claim(n2, key, "q3").Result.Verdict)
	})
}

func TestClaim_TwoGatewaysOneGrant(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		key := newKey(1)
		s.fault = func() fault { return faultReplyLost }
		must.True(t, s.claim(s.processes[0], key, "q1").Uncertain)
		s.fault = func() fault { return faultNone }
		must.Eq(t, ledger.VerdictRunning, s.claim(s.processes[1], key, "q2").Result.Verdict)
		must.Eq(t, ledger.VerdictGranted, s.claim(s.processes[0], key, "q1").Result.Verdict)
	})
}

// TestClaim_LateCopyAfterRelease commits a copy of a claim after its gateway has
// released the key: the copy must not hold the key.
func TestClaim_LateCopyAfterRelease(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		key := newKey(1)
		s.fault = func() fault { return faultCommandLost }
		must.True(t, s.claim(s.processes[0], key, "q1").Uncertain)
		s.fault = func() fault { return faultNone }
		var released LedgerReply
		args := &ReleaseArgs{Release: ledger.Release{Key: key, Request: "q1"}}
		must.NoError(t, s.leader.service.Release(args, &released))
		must.Eq(t, ledger.OutcomeDone, released.Outcome)
		must.Eq(t, ledger.VerdictStale, s.claim(s.processes[0], key, "q1").Result.Verdict)
		must.Eq(t, ledger.VerdictGranted, s.claim(s.processes[1], key, "q2").Result.Verdict)
	})
}

func TestNode_RestartGetsNewLease(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		old := s.processes[0]
		next := newProcess(old.id, old.incarnation+1)
		s.advance(NodeTTL+expiryMargin+2*TickInterval, next)
		must.True(t, next.leased())
		s.heartbeat(old)
		must.True(t, old.Superseded())
		must.False(t, old.leased())
	})
}

func TestNode_DrainMovesItsPools(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		pool, _ := s.leader.machine.Pool("chat")
		var holder *process
		for _, n := range s.processes {
			if n.id == pool.Holder {
				holder = n
			}
		}
		holder.SetDraining()
		s.advance(time.Second, s.processes...)
		next, _ := s.leader.machine.Pool("chat")
		must.NotEq(t, pool.Holder, next.Holder)
		must.NotEq(t, "", next.Holder)
		must.Greater(t, pool.Epoch, next.Epoch)
		must.True(t, holder.leased())
	})
}

// TestFollower_LateRepliesNeverRevert delivers an outdated reply to a node after
// newer ones: neither its configuration nor its members may go back, and a lease
// granted with a revision that the node does not have must not be used.
func TestFollower_LateRepliesNeverRevert(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		n := s.processes[0]
		c, revision := n.Config()
		sequence := n.Members().Sequence
		old := config.Config{Teams: map[ident.TeamName]config.Team{"old": {Shares: 1}}}
		late := &HeartbeatReply{
			TTL:      NodeTTL,
			Revision: revision + 5,
			Update:   &config.Update{To: revision - 1, Digest: old.Digest(), Full: &old},
			View:     &machine.View{Sequence: sequence - 1, Full: true},
		}
		s.advance(3 * time.Second)
		resend, err := n.HandleReply(localTime(), late)
		must.NoError(t, err)
		must.False(t, resend)
		must.False(t, n.leased(), must.Sprint("the node uses a lease granted with a later revision"))
		after, same := n.Config()
		must.Eq(t, revision, same)
		must.Eq(t, c, after)
		must.Eq(t, sequence, n.Members().Sequence)
	})
}

// TestMove_RejectsStaleEpoch commits records of a move from a scheduler that has
// lost its lease, and from one that resends them.
func TestMove_RejectsStaleEpoch(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		_, base, _ := s.leader.machine.Config()
		s.applyArgs(sampleArgs("m", base, "moves: {m: {pool: chat, from: v1, to: v2, deadline: 2001-01-01T00:00:00Z}}"))
		pool, _ := s.leader.machine.Pool("chat")
		r, known := s.leader.machine.Move("m")
		must.True(t, known)
		commit := func(state move.State, epoch ident.Epoch) machine.Refusal {
			r.State, r.Epoch = state, epoch
			var reply CommitMoveReply
			must.NoError(t, s.leader.service.CommitMove(&CommitMoveArgs{Record: r}, &reply))
			return reply.Refusal
		}
		must.Eq(t, machine.RefusedEpoch, commit(move.StateCanary, pool.Epoch-1))
		must.Eq(t, machine.RefusedTransition, commit(move.StateDone, pool.Epoch))
		must.Eq(t, "", commit(move.StateCanary, pool.Epoch))
		must.Eq(t, "", commit(move.StateTakenBack, pool.Epoch))
		must.Eq(t, "", commit(move.StateTakenBack, pool.Epoch))
		must.Eq(t, machine.RefusedTransition, commit(move.StateCanary, pool.Epoch))
	})
}

// TestOrder_OpenOrdersSurviveLeaderChange checks that a new leader knows the open
// orders of its predecessor, and that the fencing numbers keep rising.
func TestOrder_OpenOrdersSurviveLeaderChange(t *testing.T) {
	withLeaseSim(t, func(s *leaseSim) {
		issue := func(id machine.OrderID) *machine.Order {
			var reply OrderReply
			order := machine.IssueOrder{ID: id, Upstream: "e1", Kind: machine.OrderLoad, Subject: "v2"}
			must.NoError(t, s.leader.service.IssueOrder(&IssueOrderArgs{Order: order}, &reply))
			return reply.Order
		}
		first := issue("o1")
		must.Eq(t, first, issue("o1"))
		s.elect(s.replicas[1])
		s.tick(nil)
		second := issue("o2")
		must.Greater(t, first.Number, second.Number)
		must.Len(t, 2, s.leader.machine.OpenOrders())
		done := &CompleteOrderArgs{Order: machine.CompleteOrder{Number: first.Number}}
		must.NoError(t, s.leader.service.CompleteOrder(done, &OrderReply{}))
		must.Eq(t, []machine.Order{*second}, s.leader.machine.OpenOrders())
	})
}
