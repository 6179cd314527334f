package consensus

import (
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/snap"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// writer makes the loop's output durable in order. Everything that waits is
// covered by one sync. After an error it releases nothing more.
type writer struct {
	r     *replica
	queue queue[job]
	// full is true while the disk has no space.
	full bool
}

// job is one output of the loop.
type job struct {
	// number is 0 if there is nothing to persist.
	number   uint64
	last     uint64
	hard     termVote
	batch    wal.Batch
	snapshot *snap.Snapshot
	// compact drops the log up to here if it is not 0.
	compact uint64
	// done runs once the job and all before it are durable.
	done []func()
}

func (w *writer) init(r *replica) {
	w.r = r
	w.queue.init()
}

func (w *writer) wake() {
	w.queue.close()
}

// push adds a job. It never blocks.
func (w *writer) push(j job) {
	if j.number == 0 && j.compact == 0 && len(j.done) == 0 {
		return
	}
	w.queue.push(j)
}

// run writes until the replica stops.
func (w *writer) run() {
	for {
		jobs, ok := w.queue.popAll()
		if !ok {
			return
		}
		for len(jobs) > 0 {
			n := groupLength(jobs)
			err := w.write(jobs[:n])
			if errors.Is(err, disk.ErrFull) && w.awaitSpace(err) {
				continue
			}
			if err != nil {
				w.r.fail(err)
				return
			}
			w.full = false
			jobs = jobs[n:]
		}
	}
}

// spaceInterval is the time between two tries to write to a full disk.
const spaceInterval = 100 * time.Millisecond

// awaitSpace waits before the next try; it returns false once the replica
// stops. Meanwhile the replica acknowledges nothing that it has not written.
func (w *writer) awaitSpace(err error) bool {
	if !w.full {
		w.full = true
		klog.ErrorS(err, "the disk is full, trying again until there is space", "replica", w.r.opts.ID)
	}
	select {
	case <-w.r.ctx.Done():
		return false
	case <-time.After(spaceInterval):
		return true
	}
}

// groupLength returns how many jobs one sync may cover: a snapshot must be
// durable before the log that continues it, and so begins a group.
func groupLength(jobs []job) int {
	for i, j := range jobs {
		if i > 0 && j.snapshot != nil {
			return i
		}
	}
	return len(jobs)
}

// write makes a group durable and releases what waited for it.
func (w *writer) write(group []job) error {
	if group[0].snapshot != nil {
		if err := w.r.saveSnapshot(*group[0].snapshot); err != nil {
			return err
		}
	}
	if err := w.appendGroup(group); err != nil {
		return err
	}
	for _, j := range group {
		for _, fn := range j.done {
			fn()
		}
	}
	return w.compactGroup(group)
}

// appendGroup writes all batches with one sync and reports them to the core.
func (w *writer) appendGroup(group []job) error {
	var batches []wal.Batch
	var last job
	for _, j := range group {
		if j.number != 0 {
			batches = append(batches, j.batch)
			last = j
		}
	}
	if len(batches) == 0 {
		return nil
	}
	if err := w.r.log.Append(batches...); err != nil {
		return err
	}
	// The error means that the replica stops.
	_ = w.r.post(w.r.ctx, func(now time.Time) {
		w.r.core.persisted(now, last.number, last.last, last.hard)
	})
	return nil
}

func (w *writer) compactGroup(group []job) error {
	for _, j := range group {
		if j.compact == 0 {
			continue
		}
		if err := w.r.log.Compact(j.compact); err != nil {
			return err
		}
	}
	return nil
}

// saveSnapshot stores a snapshot and drops older ones.
func (r *replica) saveSnapshot(s snap.Snapshot) error {
	r.storeTurn <- struct{}{}
	defer func() { <-r.storeTurn }()
	if err := r.store.Save(s); err != nil {
		return err
	}
	return r.store.Prune(keptSnapshots)
}

// keptSnapshots is how many snapshots stay on disk.
const keptSnapshots = 2
