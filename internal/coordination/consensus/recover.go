package consensus

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// recoverAfter is how long a replica must run, and know no leader, before it tries
// to recover the vote of a lost incarnation. It is longer than a campaign that
// counted a vote of that incarnation, on any clock.
func (r *replica) recoverAfter() time.Duration {
	return 2 * r.opts.Timing.ElectionMax
}

// recoverVote gives this replica the vote back that it lost with its disk, if there is
// no leader and the other voters can't elect one without it. It asks twice:
// first for the members and their terms, then for promises.
func (r *replica) recoverVote(v *view) {
	if !r.opts.ReplaceDead || v.genesis.Cluster == "" || v.members.Role(v.self) == RoleVoter || r.leaving.Load() {
		return
	}
	asked := r.opts.InitialReplicas
	for _, member := range v.members.Members {
		asked = append(asked[:len(asked):len(asked)], member.Replica.ID)
	}
	round := newRecovery(r.askToRecover(v, asked, 0))
	for _, member := range round.newest.Members.Members {
		asked = append(asked[:len(asked):len(asked)], member.Replica.ID)
	}
	round = newRecovery(r.askToRecover(v, asked, 0))
	lost, found := round.lostVoter(v.self)
	if round.led || !found || !round.isNeeded() || !round.isSufficient(lost) {
		return
	}
	term := max(round.term, v.term) + 1
	round = newRecovery(promising(r.askToRecover(v, asked, term)))
	if again, found := round.lostVoter(v.self); !found || again != lost || round.led || !round.isSufficient(lost) || len(round.replies) == 0 {
		klog.InfoS("vote not recovered, too few promises", "replica", v.self, "lost", lost, "term", term, "promises", len(round.replies))
		return
	}
	adopted, err := r.adoptVote(v, lost, term, round.tip)
	if err != nil {
		r.fail(err)
		return
	}
	if !adopted {
		return
	}
	klog.InfoS("vote recovered", "replica", lost, "term", term, "promises", len(round.replies), "tipTerm", round.tip.Term, "tipIndex", round.tip.Index)
}

// promising returns the replies that promise a term.
func promising(replies []*RecoverReply) []*RecoverReply {
	var kept []*RecoverReply
	for _, reply := range replies {
		if reply.Promised {
			kept = append(kept, reply)
		}
	}
	return kept
}

// askToRecover sends a RecoverRequest to each of the given replicas and returns
// the replies.
func (r *replica) askToRecover(v *view, ids []ident.NodeID, term uint64) []*RecoverReply {
	ctx, cancel := context.WithTimeout(r.ctx, r.opts.Timing.ElectionMin)
	defer cancel()
	asked := map[ident.NodeID]bool{v.self.ID: true}
	var mu sync.Mutex
	var replies []*RecoverReply
	var wg sync.WaitGroup
	for _, id := range ids {
		if asked[id] {
			continue
		}
		asked[id] = true
		wg.Go(func() {
			reply, err := r.opts.Peers.Recover(ctx, id, &RecoverRequest{Cluster: v.genesis.Cluster, From: v.self, Term: term})
			if err != nil || reply.Replica.ID != id {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// adoptVote makes the promised term durable, then the identity of the lost
// incarnation, and takes part under it. It returns false without an effect if this replica
// has heard from a leader meanwhile, and if the disk is full: others may have gone on when
// there is space, so the next round asks them again.
func (r *replica) adoptVote(v *view, lost Replica, term uint64, tip logTip) (adopted bool, err error) {
	if !r.inLoop(true, func(now time.Time) bool {
		if r.core.leader != (Replica{}) || r.core.term > term {
			return false
		}
		r.core.becomeFollower(now, term, Replica{})
		return true
	}) {
		return false, nil
	}
	own := identity{Replica: lost, Genesis: v.genesis, RecoveredTip: tip}
	err = own.save(r.opts.FS)
	if errors.Is(err, disk.ErrFull) {
		klog.ErrorS(err, "vote not recovered, the disk is full", "replica", v.self, "lost", lost)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	return r.inLoop(false, func(now time.Time) bool {
		r.identity = own
		r.core.recovered(now, lost, tip)
		return true
	}), nil
}

// inLoop runs fn in the event loop and waits until it is done and, with needsSync
// set, its effect is durable. It returns fn's result, or false if the replica
// stops.
func (r *replica) inLoop(needsSync bool, fn func(now time.Time) bool) bool {
	done := make(chan bool, 1)
	if r.post(r.ctx, func(now time.Time) {
		ok := fn(now)
		r.queueReply(needsSync && ok, func() { done <- ok })
	}) != nil {
		return false
	}
	select {
	case ok := <-done:
		return ok
	case <-r.ctx.Done():
		return false
	}
}
