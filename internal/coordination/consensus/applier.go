package consensus

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/snap"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// trailingEntries stay in memory behind a snapshot, so that a replica a little
// behind needs no snapshot.
const trailingEntries = 1024

// applier applies committed entries in order and takes snapshots.
type applier struct {
	r       *replica
	queue   queue[appliable]
	applied atomic.Uint64

	mu      sync.Mutex
	waiters map[uint64]waiter

	// The remaining fields belong to the run goroutine.
	members      Membership
	term         uint64
	sinceEntries int
	sinceBytes   int
	saving       atomic.Bool
}

// appliable is a step of the applier, its fields in their order.
type appliable struct {
	// genesis is the first membership when the replica enters its cluster.
	genesis *Membership
	restore *snap.Snapshot
	entries []wal.Entry
	then    []func()
}

// waiter is a proposal that waits at an index.
type waiter struct {
	term uint64
	done chan outcome
}

func (a *applier) init(r *replica, applied uint64, members Membership) {
	a.r = r
	a.queue.init()
	a.waiters = map[uint64]waiter{}
	a.applied.Store(applied)
	a.members = members
}

func (a *applier) wake() {
	a.queue.close()
}

// push adds a step. It never blocks.
func (a *applier) push(step appliable) {
	if step.genesis == nil && step.restore == nil && len(step.entries) == 0 && len(step.then) == 0 {
		return
	}
	a.queue.push(step)
}

// expect registers a proposal before its entry can be applied.
func (a *applier) expect(index uint64, w waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiters[index] = w
}

// abandon ends every waiting proposal: its outcome is no longer followed.
func (a *applier) abandon() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for index, w := range a.waiters {
		w.done <- outcome{err: ErrUncertain}
		delete(a.waiters, index)
	}
}

// take returns the proposal that waits at an index.
func (a *applier) take(index uint64) (waiter, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.waiters[index]
	delete(a.waiters, index)
	return w, ok
}

// run applies until the replica stops.
func (a *applier) run() {
	for {
		steps, ok := a.queue.popAll()
		if !ok {
			return
		}
		for _, step := range steps {
			if err := a.step(step); err != nil {
				a.r.fail(err)
				return
			}
		}
		a.announceReady()
		if err := a.maybeSnapshot(); err != nil {
			a.r.fail(err)
			return
		}
	}
}

func (a *applier) step(step appliable) error {
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
	for _, fn := range step.then {
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
	a.members, a.term = members, s.Meta.Term
	a.sinceEntries, a.sinceBytes = 0, 0
	a.applied.Store(s.Meta.Index)
	return nil
}

// apply executes one entry and ends the proposal that waits for it.
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
	a.sinceEntries++
	a.sinceBytes += len(entry.Data)
	a.applied.Store(entry.Index)
	w, waiting := a.take(entry.Index)
	switch {
	case !waiting:
	case w.term != entry.Term:
		w.done <- outcome{err: ErrUncertain}
	default:
		w.done <- outcome{result: result}
	}
	return nil
}

// announceReady lets the loop publish that the leader's term is applied.
func (a *applier) announceReady() {
	v := a.r.view.Load()
	if v.leads && !v.announced.Leading && a.applied.Load() >= v.termStart {
		// The error means that the replica stops.
		_ = a.r.post(a.r.ctx, func(time.Time) {})
	}
}

// maybeSnapshot takes a snapshot when enough was applied since the last one.
// It is encoded here and saved aside.
func (a *applier) maybeSnapshot() error {
	due := a.sinceEntries >= a.r.opts.SnapshotEntries || a.sinceBytes >= a.r.opts.SnapshotBytes
	if !due || !a.saving.CompareAndSwap(false, true) {
		return nil
	}
	data, err := a.r.machine.snapshot()
	if err != nil {
		return fmt.Errorf("consensus: take a snapshot: %w", err)
	}
	a.sinceEntries, a.sinceBytes = 0, 0
	meta := snap.Meta{Index: a.applied.Load(), Term: a.term, Members: a.members.encode()}
	a.r.spawn(func() { a.save(snap.Snapshot{Meta: meta, Data: data}) })
	return nil
}

// save stores a snapshot, then lets the log drop what it covers.
func (a *applier) save(s snap.Snapshot) {
	defer a.saving.Store(false)
	if err := a.r.saveSnapshot(s); err != nil {
		a.r.fail(err)
		return
	}
	covered := s.Meta.Index - min(s.Meta.Index, trailingEntries)
	// The error means that the replica stops.
	_ = a.r.post(a.r.ctx, func(time.Time) {
		a.r.core.compact(covered)
		a.r.writer.push(job{compact: s.Meta.Index})
	})
}
