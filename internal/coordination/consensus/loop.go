package consensus

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Limits of the event loop.
const (
	// eventBuffer is the capacity of the event channel.
	eventBuffer = 256
	// maxInputsPerRound bounds the inputs handled in one round before the
	// core's output is carried out.
	maxInputsPerRound = 512
	// minTimerDelay is the shortest timer delay. It exceeds the rounding error
	// of converting between the replica's clock and the system's, so that the
	// loop does not wake just before a deadline.
	minTimerDelay = 100 * time.Microsecond
	// maxUncommitted is the number of uncommitted entries at which the leader
	// stops accepting proposals.
	maxUncommitted = 8192
	// maxUncommittedBytes is their size at which it does so, in bytes.
	maxUncommittedBytes = 16 << 20
)

// view is the state that the loop publishes to other goroutines.
type view struct {
	term       uint64
	leader     ident.NodeID
	leads      bool
	leaseUntil time.Time
	termStart  uint64
	members    Membership
	self       Replica
	genesis    Genesis
	status     Status
	// membersIndex is the log index of members.
	membersIndex uint64
	// announced is the leadership last signalled on the changes channel.
	announced Leadership
}

// run is the event loop: each round handles the waiting inputs, lets the core
// act and carries out the core's output.
func (r *replica) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for r.processInputs(timer) {
		now := r.now()
		r.releaseHeldAppends(now)
		r.core.tick(now)
		r.core.replicate(now)
		if !r.flush(now) {
			return
		}
		timer.Reset(max(minTimerDelay, r.timerDelay(r.nextWake(now))))
	}
}

// processInputs waits for an input or the timer, then handles further inputs
// that are already available. It returns false once the replica stops.
func (r *replica) processInputs(timer *time.Timer) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-timer.C:
	case fn := <-r.events:
		fn(r.now())
	case p := <-r.proposalInput():
		r.acceptProposal(p)
	}
	for range maxInputsPerRound {
		select {
		case fn := <-r.events:
			fn(r.now())
		case p := <-r.proposalInput():
			r.acceptProposal(p)
		default:
			return r.ctx.Err() == nil
		}
	}
	return r.ctx.Err() == nil
}

// proposalInput returns the channel of proposals, or nil while too many entries
// are uncommitted.
func (r *replica) proposalInput() chan proposal {
	if r.core.log.last()-r.core.commit >= maxUncommitted || r.core.uncommittedBytes >= maxUncommittedBytes {
		return nil
	}
	return r.proposals
}

// acceptProposal appends a proposal to the log, or rejects it if this replica
// does not lead.
func (r *replica) acceptProposal(p proposal) {
	index, accepted := r.core.propose(p.command)
	if !accepted {
		p.done <- outcome{err: &NotLeaderError{Leader: r.core.leader.ID}}
		return
	}
	r.applier.addWaiter(index, waiter{term: r.core.term, done: p.done})
}

// post queues an event for the loop. It fails with the context's error, or with
// ErrStopped once the replica stops.
func (r *replica) post(ctx context.Context, fn func(now time.Time)) error {
	select {
	case r.events <- fn:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return ErrStopped
	}
}

// queueReply queues fn, which sends a reply. It runs once the pending state is
// durable if needsSync is set, otherwise at the end of the round.
func (r *replica) queueReply(needsSync bool, fn func()) {
	if needsSync {
		r.repliesAfterSync = append(r.repliesAfterSync, fn)
		return
	}
	r.readyReplies = append(r.readyReplies, fn)
}

// flush carries out the core's output. It returns false if the core found a
// violated invariant. The view is published first, so that no goroutine relies
// on the lease once a message that gives it up has been sent.
func (r *replica) flush(now time.Time) bool {
	out := r.core.take()
	if r.core.invariantErr != nil {
		r.fail(r.core.invariantErr)
		return false
	}
	r.publish(now)
	if out.steppedDown {
		r.applier.failWaiters()
	}
	afterSync := r.repliesAfterSync
	r.repliesAfterSync = nil
	for _, msg := range out.sends {
		if msg.afterSync {
			afterSync = append(afterSync, func() { r.send(msg) })
			continue
		}
		r.send(msg)
	}
	r.writer.push(job{
		number: out.job, last: r.core.log.last(), hard: r.core.emittedHard,
		batch: out.batch, snapshot: out.snapshot, done: afterSync,
	})
	for _, to := range out.snapshotPeers {
		r.startSnapshotStream(to, r.core.term)
	}
	r.applier.push(applyStep{restore: out.restore, entries: out.committed, callbacks: r.readCallbacks(out.reads)})
	r.sendReadyReplies()
	return true
}

// sendReadyReplies sends the replies that need no sync.
func (r *replica) sendReadyReplies() {
	for _, fn := range r.readyReplies {
		fn()
	}
	r.readyReplies = nil
}

// readCallbacks returns the functions that complete the reads. The applier runs
// them once all entries before them are applied.
func (r *replica) readCallbacks(reads []readReady) []func() {
	var callbacks []func()
	for _, read := range reads {
		done := r.readWaiters[read.token]
		delete(r.readWaiters, read.token)
		var err error
		if read.failed {
			err = &NotLeaderError{Leader: r.core.leader.ID}
		}
		callbacks = append(callbacks, func() { done <- err })
	}
	return callbacks
}

// publish updates the view and signals changes of the leadership.
func (r *replica) publish(now time.Time) {
	c := r.core
	next := &view{
		term: c.term, leader: c.leader.ID, leads: c.role == leader, termStart: c.termStart,
		members: c.members(), membersIndex: c.configIndex(), self: c.self, genesis: r.identity.Genesis, status: r.status(now),
	}
	if next.leads {
		next.leaseUntil = c.leaseUntil(now)
	}
	next.announced = r.leadershipOf(next, now)
	old := r.view.Swap(next)
	if old != nil && !next.differs(old) {
		return
	}
	if old != nil && (old.announced.Leader != next.announced.Leader || old.announced.Leading != next.announced.Leading) {
		klog.InfoS("leadership changed", "replica", c.self.ID, "term", c.term, "leader", c.leader.ID, "leading", next.announced.Leading)
	}
	select {
	case r.changes <- struct{}{}:
	default:
	}
}

// differs reports whether a change from old to v is signalled on the changes
// channel.
func (v *view) differs(old *view) bool {
	return v.announced != old.announced || v.membersIndex != old.membersIndex ||
		v.genesis.Cluster != old.genesis.Cluster || v.status.FailedCampaign != old.status.FailedCampaign
}

// leadershipOf returns the leadership that a view shows at the given time.
func (r *replica) leadershipOf(v *view, now time.Time) Leadership {
	ready := r.applier.applied.Load() >= v.termStart
	return Leadership{
		Term:    v.term,
		Leader:  v.leader,
		Leading: v.leads && ready && now.Before(v.leaseUntil),
	}
}
