package consensus

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Limits of the loop.
const (
	// eventBuffer is how many events may wait.
	eventBuffer = 256
	// maxDrain is how many inputs one round takes before it acts.
	maxDrain = 512
	// minWake is the shortest pause of the timer; it outweighs the rounding of
	// clocks.
	minWake = 100 * time.Microsecond
	// maxUncommitted is how many entries may wait for their commit before no
	// further proposal is accepted.
	maxUncommitted = 8192
)

// view is what the loop publishes to other goroutines.
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
	// announced is the last leadership that was signalled as a change.
	announced Leadership
}

// run is the loop: it takes inputs, lets the core act and carries out what the
// core decided.
func (r *replica) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for r.step(timer) {
		now := r.now()
		r.releaseEarly(now)
		r.core.tick(now)
		r.core.replicate(now)
		if !r.flush(now) {
			return
		}
		timer.Reset(max(minWake, r.until(r.nextWake(now))))
	}
}

// step waits for one input and takes those that are ready with it.
func (r *replica) step(timer *time.Timer) bool {
	select {
	case <-r.ctx.Done():
		return false
	case <-timer.C:
	case fn := <-r.events:
		fn(r.now())
	case p := <-r.acceptable():
		r.accept(p)
	}
	for range maxDrain {
		select {
		case fn := <-r.events:
			fn(r.now())
		case p := <-r.acceptable():
			r.accept(p)
		default:
			return r.ctx.Err() == nil
		}
	}
	return r.ctx.Err() == nil
}

// acceptable returns the proposals, or nil while too many are in progress.
func (r *replica) acceptable() chan proposal {
	if r.core.log.last()-r.core.commit >= maxUncommitted {
		return nil
	}
	return r.proposals
}

// accept appends a proposal or refuses it.
func (r *replica) accept(p proposal) {
	index, accepted := r.core.propose(p.command)
	if !accepted {
		p.done <- outcome{err: &NotLeaderError{Leader: r.core.leader.ID}}
		return
	}
	r.applier.expect(index, waiter{term: r.core.term, done: p.done})
}

// post hands an event to the loop.
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

// answer runs fn once the state that it vouches for is durable.
func (r *replica) answer(needsSync bool, fn func()) {
	if needsSync {
		r.gated = append(r.gated, fn)
		return
	}
	r.answers = append(r.answers, fn)
}

// flush carries out what the core decided. The lease is published before any
// message that gives it up is sent.
func (r *replica) flush(now time.Time) bool {
	out := r.core.take()
	if r.core.broken != nil {
		r.fail(r.core.broken)
		return false
	}
	r.publish(now)
	if out.steppedDown {
		r.applier.abandon()
	}
	gated := r.gated
	r.gated = nil
	for _, msg := range out.sends {
		if msg.gated {
			gated = append(gated, func() { r.send(msg) })
			continue
		}
		r.send(msg)
	}
	r.writer.push(job{
		number: out.job, last: r.core.log.last(), hard: r.core.emittedHard,
		batch: out.batch, snapshot: out.snapshot, done: gated,
	})
	for _, to := range out.streams {
		r.stream(to, r.core.term)
	}
	r.applier.push(appliable{restore: out.restore, entries: out.committed, then: r.readOutcomes(out.reads)})
	r.runAnswers()
	return true
}

// runAnswers releases the replies that wait for nothing.
func (r *replica) runAnswers() {
	for _, fn := range r.answers {
		fn()
	}
	r.answers = nil
}

// readOutcomes returns what ends the reads once all before them is applied.
func (r *replica) readOutcomes(reads []readReady) []func() {
	var ends []func()
	for _, read := range reads {
		done := r.readers[read.token]
		delete(r.readers, read.token)
		var err error
		if read.failed {
			err = &NotLeaderError{Leader: r.core.leader.ID}
		}
		ends = append(ends, func() { done <- err })
	}
	return ends
}

// publish shows the present state to other goroutines and signals changes of
// the leadership.
func (r *replica) publish(now time.Time) {
	c := r.core
	next := &view{
		term: c.term, leader: c.leader.ID, leads: c.role == leader, termStart: c.termStart,
		members: c.members(), self: c.self, genesis: r.own.Genesis, status: r.status(),
	}
	if next.leads {
		next.leaseUntil = c.leaseUntil(now)
	}
	next.announced = r.leadershipOf(next, now)
	old := r.view.Swap(next)
	if old != nil && old.announced == next.announced {
		return
	}
	if old != nil && (old.announced.Leader != next.announced.Leader || old.announced.Leading != next.announced.Leading) {
		klog.InfoS("leadership", "replica", c.self.ID, "term", c.term, "leader", c.leader.ID, "leading", next.announced.Leading)
	}
	select {
	case r.changes <- struct{}{}:
	default:
	}
}

// leadershipOf evaluates a view at a time.
func (r *replica) leadershipOf(v *view, now time.Time) Leadership {
	ready := r.applier.applied.Load() >= v.termStart
	return Leadership{
		Term:    v.term,
		Leader:  v.leader,
		Leading: v.leads && ready && now.Before(v.leaseUntil),
	}
}
