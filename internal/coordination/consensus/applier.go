package consensus

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/snap"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// trailingEntries bounds the entries before a snapshot that stay in memory, so
// that a peer that is slightly behind does not need the snapshot. Their size is
// bounded by Options.SnapshotBytes.
const trailingEntries = 1024

// applier applies committed entries in order and takes snapshots.
type applier struct {
	r       *replica
	queue   queue[applyStep]
	applied atomic.Uint64

	mu      sync.Mutex
	waiters map[uint64]waiter

	// The remaining fields belong to the run goroutine, except saving, which
	// the save goroutine resets.
	members              Membership
	term                 uint64
	entriesSinceSnapshot int
	bytesSinceSnapshot   int
	// snapshotBytes is the size of the latest snapshot's data.
	snapshotBytes int
	saving        atomic.Bool
}

// applyStep is one unit of work for the applier. The fields are handled in
// their order.
type applyStep struct {
	// genesis is the first membership, set when the replica adopts its cluster.
	genesis   *Membership
	restore   *snap.Snapshot
	entries   []wal.Entry
	callbacks []func()
}

// waiter is a proposal that waits until the entry at an index is applied.
type waiter struct {
	term uint64
	done chan outcome
}

func (a *applier) init(r *replica, latest snap.Snapshot, members Membership) {
	a.r = r
	a.queue.init()
	a.waiters = map[uint64]waiter{}
	a.applied.Store(latest.Meta.Index)
	a.members, a.snapshotBytes = members, len(latest.Data)
}

func (a *applier) stop() {
	a.queue.close()
}

// push queues a step. It never blocks.
func (a *applier) push(step applyStep) {
	if step.genesis == nil && step.restore == nil && len(step.entries) == 0 && len(step.callbacks) == 0 {
		return
	}
	a.queue.push(step)
}

// addWaiter registers a proposal. It must be called before the entry at index
// can be applied.
func (a *applier) addWaiter(index uint64, w waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters[index] = w
}

// failWaiters completes every waiting proposal with ErrUncertain. It is called
// when this replica steps down, since the entries may or may not be committed
// by the next leader.
func (a *applier) failWaiters() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, w := range a.waiters {
		w.done <- outcome{err: ErrUncertain}
		delete(a.waiters, index)
	}
}

// takeWaiter removes and returns the proposal that waits at an index.
func (a *applier) takeWaiter(index uint64) (waiter, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.waiters[index]
	delete(a.waiters, index)
	return w, ok
}

// run handles queued steps until the replica stops.
func (a *applier) run() {
	for {
		steps, ok := a.queue.popAll()
		if !ok {
			return
		}
		for _, step := range steps {
			if err := a.runStep(step); err != nil {
				a.r.fail(err)
				return
			}
		}
		a.notifyTermApplied()
		if err := a.maybeSnapshot(); err != nil {
			a.r.fail(err)
			return
		}
	}
}

func (a *applier) runStep(step applyStep) error {
	if step.genesis != nil {
		a.members = *step.genesis
	}
	if step.restore != nil {
		if err := a.restore(*step.restore); err != nil {
			return err
		}
	}
	for _, entry := range step.entries {
		if err := a.apply(entry); err != nil {
			return err
		}
	}
	for _, fn := range step.callbacks {
		fn()
	}
	return nil
}

func (a *applier) restore(s snap.Snapshot) error {
	members, err := decodeMembership(s.Meta.Members)
	if err != nil {
		return err
	}
	if err := a.r.machine.restore(s.Data); err != nil {
		return fmt.Errorf("consensus: restore the snapshot: %w", err)
	}
	a.members, a.term, a.snapshotBytes = members, s.Meta.Term, len(s.Data)
	a.entriesSinceSnapshot, a.bytesSinceSnapshot = 0, 0
	a.applied.Store(s.Meta.Index)
	return nil
}

// apply applies one entry and completes the proposal that waits for it.
func (a *applier) apply(entry wal.Entry) error {
	var result any
	switch entry.Kind {
	case entryCommand:
		result = a.r.machine.apply(entry.Index, entry.Data)
	case entryMembers:
		members, err := decodeMembership(entry.Data)
		if err != nil {
			return err
		}
		a.members = members
	}
	a.term = entry.Term
	a.entriesSinceSnapshot++
	a.bytesSinceSnapshot += len(entry.Data)
	a.applied.Store(entry.Index)
	w, waiting := a.takeWaiter(entry.Index)
	switch {
	case !waiting:
	case w.term != entry.Term:
		w.done <- outcome{err: ErrUncertain}
	default:
		w.done <- outcome{result: result}
	}
	return nil
}

// notifyTermApplied wakes the loop to publish the leadership once the first
// entry of the leader's term is applied.
func (a *applier) notifyTermApplied() {
	v := a.r.view.Load()
	if v.leads && !v.announced.Leading && a.applied.Load() >= v.termStart {
		// post fails only when the replica stops.
		_ = a.r.post(a.r.ctx, func(time.Time) {})
	}
}

// maybeSnapshot takes a snapshot if enough entries were applied since the last
// one. Their size is at least that of a snapshot, so that snapshots at most
// double what is written. The state is encoded here, between two steps, and
// saved in another goroutine.
func (a *applier) maybeSnapshot() error {
	due := a.entriesSinceSnapshot >= a.r.opts.SnapshotEntries || a.bytesSinceSnapshot >= max(a.r.opts.SnapshotBytes, a.snapshotBytes)
	if !due || !a.saving.CompareAndSwap(false, true) {
		return nil
	}
	data, err := a.r.machine.snapshot()
	if err != nil {
		return fmt.Errorf("consensus: take a snapshot: %w", err)
	}
	a.entriesSinceSnapshot, a.bytesSinceSnapshot, a.snapshotBytes = 0, 0, len(data)
	meta := snap.Meta{Index: a.applied.Load(), Term: a.term, Members: a.members.encode()}
	a.r.spawn(func() { a.save(snap.Snapshot{Meta: meta, Data: data}) })
	return nil
}

// save stores a snapshot, then drops the log entries that it covers.
func (a *applier) save(s snap.Snapshot) {
	defer a.saving.Store(false)
	if err := a.r.retryWhileFull("a snapshot", func() error { return a.r.saveSnapshot(s) }); err != nil {
		a.r.fail(err)
		return
	}
	// post fails only when the replica stops.
	_ = a.r.post(a.r.ctx, func(time.Time) {
		a.r.core.compact(s.Meta.Index, trailingEntries, a.r.opts.SnapshotBytes)
		a.r.writer.push(job{compact: s.Meta.Index})
	})
}
