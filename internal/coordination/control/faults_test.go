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

// warmWorld runs a test in virtual time over three nodes that hold leases and
// a configuration in force.
func warmWorld(t *testing.T, run func(w *leaseWorld)) {
	synctest.Test(t, func(*testing.T) { run(newLeaseWorld()) })
}

// pass lets time go by while the given nodes heartbeat.
func (w *leaseWorld) pass(d time.Duration, nodes ...*life) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(TickInterval) {
		w.tick(nil)
		for _, n := range nodes {
			w.beat(n)
		}
	}
}

func (w *leaseWorld) claim(n *life, key ledger.Key, request ident.RequestID) ClaimReply {
	var reply ClaimReply
	c := ledger.Claim{Key: key, Gateway: n.id, Incarnation: n.incarnation, Request: request}
	_ = w.leader.service.Claim(&ClaimArgs{Claim: c}, &reply)
	return reply
}

func (w *leaseWorld) send1(args *ApplyConfigArgs) ApplyConfigReply {
	var reply ApplyConfigReply
	args.Wait = time.Nanosecond
	_ = w.leader.service.ApplyConfig(args, &reply)
	return reply
}

func TestApply_OperatorsRaceUnderEqualBase(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		_, base, _ := w.leader.machine.Config()
		first := w.send1(sampleArgs("a", base, "teams: {north: {shares: 8}}"))
		second := w.send1(sampleArgs("b", base, "teams: {north: {shares: 9}}"))
		must.Eq(t, config.VerdictAccepted, first.Outcome.Verdict)
		must.Eq(t, config.Outcome{Verdict: config.VerdictConflict, Revision: base + 1, Who: "operator a"}, second.Outcome)
	})
}

func TestApply_ResendAfterLostAnswer(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		_, base, _ := w.leader.machine.Config()
		args := sampleArgs("a", base, "teams: {north: {shares: 8}}")
		w.fault = func() fault { return faultReply }
		must.True(t, w.send1(args).Uncertain)
		w.fault = func() fault { return faultNone }
		must.Eq(t, config.VerdictAccepted, w.send1(sampleArgs("b", base+1, "")).Outcome.Verdict)
		w.elect(w.replicas[1])
		w.tick(nil)
		again := w.send1(args)
		must.Eq(t, config.Outcome{Verdict: config.VerdictAccepted, Revision: base + 1, Who: "operator a"}, again.Outcome)
		_, revision, _ := w.leader.machine.Config()
		must.Eq(t, base+2, revision)
	})
}

func TestApply_WaitsForCutOffNode(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		_, base, _ := w.leader.machine.Config()
		args := sampleArgs("a", base, "teams: {north: {shares: 8}}")
		must.Eq(t, []ident.NodeID{"n1", "n2", "n3"}, w.send1(args).Waiting)
		w.pass(time.Second, w.lives[0], w.lives[1])
		must.Eq(t, []ident.NodeID{"n3"}, w.send1(args).Waiting)
		w.pass(NodeTTL+expiryMargin, w.lives[0], w.lives[1])
		must.True(t, w.send1(args).InForce)
		must.False(t, w.lives[2].leased())
	})
}

func TestClaim_ExpiredLeaseIsRefused(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		n1, n2 := w.lives[0], w.lives[1]
		key := newKey(1)
		must.Eq(t, ledger.VerdictGranted, w.claim(n1, key, "q1").Result.Verdict)
		w.pass(3*time.Second, n2)
		must.Eq(t, ledger.VerdictStale, w.claim(n1, newKey(2), "q2").Result.Verdict)
		must.Eq(t, ledger.VerdictMayHaveRun, w.claim(n2, key, "q3").Result.Verdict)
	})
}

func TestClaim_TwoGatewaysOneGrant(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		key := newKey(1)
		w.fault = func() fault { return faultReply }
		must.True(t, w.claim(w.lives[0], key, "q1").Uncertain)
		w.fault = func() fault { return faultNone }
		must.Eq(t, ledger.VerdictRunning, w.claim(w.lives[1], key, "q2").Result.Verdict)
		must.Eq(t, ledger.VerdictGranted, w.claim(w.lives[0], key, "q1").Result.Verdict)
	})
}

// TestClaim_LateCopyAfterRelease brings a claim that commits after the gateway
// gave it up: it must not hold the key.
func TestClaim_LateCopyAfterRelease(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		key := newKey(1)
		w.fault = func() fault { return faultLost }
		must.True(t, w.claim(w.lives[0], key, "q1").Uncertain)
		w.fault = func() fault { return faultNone }
		var released LedgerReply
		args := &ReleaseArgs{Release: ledger.Release{Key: key, Request: "q1"}}
		must.NoError(t, w.leader.service.Release(args, &released))
		must.Eq(t, ledger.OutcomeDone, released.Outcome)
		must.Eq(t, ledger.VerdictStale, w.claim(w.lives[0], key, "q1").Result.Verdict)
		must.Eq(t, ledger.VerdictGranted, w.claim(w.lives[1], key, "q2").Result.Verdict)
	})
}

func TestNode_RestartGetsNewLease(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		old := w.lives[0]
		next := newLife(old.id, old.incarnation+1)
		w.pass(NodeTTL+expiryMargin+2*TickInterval, next)
		must.True(t, next.leased())
		w.beat(old)
		must.True(t, old.Superseded())
		must.False(t, old.leased())
	})
}

func TestNode_DrainMovesItsPools(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		pool, _ := w.leader.machine.Pool("chat")
		var holder *life
		for _, n := range w.lives {
			if n.id == pool.Holder {
				holder = n
			}
		}
		holder.SetDraining()
		w.pass(time.Second, w.lives...)
		next, _ := w.leader.machine.Pool("chat")
		must.NotEq(t, pool.Holder, next.Holder)
		must.NotEq(t, "", next.Holder)
		must.Greater(t, pool.Epoch, next.Epoch)
		must.True(t, holder.leased())
	})
}

// TestFollower_LateAnswersNeverRevert hands a node the answers to its earlier
// heartbeats after the later ones.
func TestFollower_LateAnswersNeverRevert(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		n := w.lives[0]
		c, revision := n.Config()
		sequence := n.Members().Sequence
		old := config.Config{Teams: map[ident.TeamName]config.Team{"old": {Shares: 1}}}
		late := &HeartbeatReply{
			TTL:      NodeTTL,
			Revision: revision + 5,
			Update:   &config.Update{To: revision - 1, Digest: old.Digest(), Full: &old},
			View:     &machine.View{Sequence: sequence - 1, Full: true},
		}
		w.pass(3 * time.Second)
		again, err := n.Take(localTime(), late)
		must.NoError(t, err)
		must.False(t, again)
		must.False(t, n.leased(), must.Sprint("a lease of a later revision was used"))
		after, same := n.Config()
		must.Eq(t, revision, same)
		must.Eq(t, c, after)
		must.Eq(t, sequence, n.Members().Sequence)
	})
}

// TestMove_OnlyPresentEpoch lets a scheduler that lost its lease, and one that
// resends, commit records of a move.
func TestMove_OnlyPresentEpoch(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		_, base, _ := w.leader.machine.Config()
		w.send1(sampleArgs("m", base, "moves: {m: {pool: chat, from: v1, to: v2, deadline: 2001-01-01T00:00:00Z}}"))
		pool, _ := w.leader.machine.Pool("chat")
		r, known := w.leader.machine.Move("m")
		must.True(t, known)
		commit := func(state move.State, epoch ident.Epoch) machine.Refusal {
			r.State, r.Epoch = state, epoch
			var reply CommitMoveReply
			must.NoError(t, w.leader.service.CommitMove(&CommitMoveArgs{Record: r}, &reply))
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

// TestOrder_WrittenDownBeforeNewLeader shows a new leader the orders that its
// predecessor left open, under rising fencing numbers.
func TestOrder_WrittenDownBeforeNewLeader(t *testing.T) {
	warmWorld(t, func(w *leaseWorld) {
		issue := func(id machine.OrderID) *machine.Order {
			var reply OrderReply
			order := machine.IssueOrder{ID: id, Upstream: "e1", Kind: machine.OrderLoad, Subject: "v2"}
			must.NoError(t, w.leader.service.IssueOrder(&IssueOrderArgs{Order: order}, &reply))
			return reply.Order
		}
		first := issue("o1")
		must.Eq(t, first, issue("o1"))
		w.elect(w.replicas[1])
		w.tick(nil)
		second := issue("o2")
		must.Greater(t, first.Number, second.Number)
		must.Len(t, 2, w.leader.machine.OpenOrders())
		done := &CompleteOrderArgs{Order: machine.CompleteOrder{Number: first.Number}}
		must.NoError(t, w.leader.service.CompleteOrder(done, &OrderReply{}))
		must.Eq(t, []machine.Order{*second}, w.leader.machine.OpenOrders())
	})
}
