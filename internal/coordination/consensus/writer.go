package consensus

import (
	"errors"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/snap"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// writer persists the loop's output in order. One sync covers all jobs that
// wait. After an error it runs no further callbacks.
type writer struct {
	r     *replica
	queue queue[job]
	// writeBegan is when the write in progress began, in nanoseconds since the writer was made; 0
	// if there is none. slowWrites counts those longer than SlowWrite.
	made       time.Time
	writeBegan atomic.Int64
	slowWrites atomic.Uint64
}

// SlowWrite is the duration from which a write to the log, sync included, is reported. It is many
// times a disk's usual sync, and half of what operators wait for an acknowledgement.
const SlowWrite = 500 * time.Millisecond

// job is one output of the loop to persist.
type job struct {
	// number is 0 if there is nothing to persist.
	number   uint64
	last     uint64
	hard     termVote
	batch    wal.Batch
	snapshot *snap.Snapshot
	// compact is the index up to which the log on disk is dropped; 0 drops
	// nothing.
	compact uint64
	// done holds the callbacks to run once this job and all before it are
	// durable.
	done []func()
}

func (w *writer) init(r *replica) {
	w.r = r
	w.made = time.Now()
	w.queue.init()
}

func (w *writer) stop() {
	w.queue.close()
}

// push queues a job. It never blocks.
func (w *writer) push(j job) {
	if j.number == 0 && j.compact == 0 && len(j.done) == 0 {
		return
	}
	w.queue.push(j)
}

// run writes queued jobs until the replica stops.
func (w *writer) run() {
	for {
		jobs, ok := w.queue.popAll()
		if !ok {
			return
		}
		for len(jobs) > 0 {
			n := groupLength(jobs)
			if err := w.write(jobs[:n]); err != nil {
				w.r.fail(err)
				return
			}
			jobs = jobs[n:]
		}
	}
}

// fullDiskRetryInterval is the time between two attempts to write to a full
// disk.
const fullDiskRetryInterval = 100 * time.Millisecond

// retryWhileFull calls write again until the disk has space for it, or returns ErrStopped.
// write must have had no effect when it fails with disk.ErrFull. In the meantime the replica
// acknowledges nothing that is not written, and does not go on leading: what it could not
// write stays in its memory.
func (r *replica) retryWhileFull(what string, write func() error) error {
	var since, resigned time.Time
	for {
		err := write()
		if !errors.Is(err, disk.ErrFull) {
			if !since.IsZero() && err == nil {
				klog.InfoS("the disk has space again", "replica", r.opts.ID, "for", what, "fullMs", time.Since(since).Milliseconds())
			}
			return err
		}
		now := time.Now()
		if since.IsZero() {
			since, resigned = now, now
			klog.ErrorS(err, "disk full, retrying until space is available", "replica", r.opts.ID, "for", what)
		}
		if now.Sub(resigned) >= r.opts.Timing.ElectionMax {
			resigned = now
			r.spawn(func() { r.transferLeadership(r.ctx) })
		}
		select {
		case <-r.ctx.Done():
			return ErrStopped
		case <-time.After(fullDiskRetryInterval):
		}
	}
}

// ignoreFull returns err unless it means that the disk is full, which is logged. It is for
// work that frees space: the next snapshot does it again.
func (r *replica) ignoreFull(what string, err error) error {
	if !errors.Is(err, disk.ErrFull) {
		return err
	}
	klog.ErrorS(err, "disk full, left for the next snapshot", "replica", r.opts.ID, "what", what)
	return nil
}

// groupLength returns how many jobs one sync may cover. A snapshot must be
// durable before the log that continues it, so a job with a snapshot starts a
// new group.
func groupLength(jobs []job) int {
	for i, j := range jobs {
		if i > 0 && j.snapshot != nil {
			return i
		}
	}
	return len(jobs)
}

// write makes a group of jobs durable and runs their callbacks. Each step waits for space
// by itself, so that none is done twice.
func (w *writer) write(group []job) error {
	if s := group[0].snapshot; s != nil {
		if err := w.r.retryWhileFull("a snapshot of the leader", func() error { return w.r.saveSnapshot(*s) }); err != nil {
			return err
		}
	}
	if err := w.r.retryWhileFull("the log", func() error { return w.appendGroup(group) }); err != nil {
		return err
	}
	for _, j := range group {
		for _, fn := range j.done {
			fn()
		}
	}
	return w.compactGroup(group)
}

// appendGroup writes all batches of a group with one sync and reports them to
// the core as durable.
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
	if err := w.timed(len(batches), func() error { return w.r.log.Append(batches...) }); err != nil {
		return err
	}
	// post fails only when the replica stops.
	_ = w.r.post(w.r.ctx, func(now time.Time) {
		w.r.core.persisted(now, last.number, last.last, last.hard)
	})
	return nil
}

// timed runs a write and reports a slow one when it has ended.
func (w *writer) timed(batches int, write func() error) error {
	began := time.Now()
	w.writeBegan.Store(int64(began.Sub(w.made)) + 1)
	err := write()
	w.writeBegan.Store(0)
	if took := time.Since(began); took >= SlowWrite {
		w.slowWrites.Add(1)
		klog.InfoS("a slow write to the log has ended", "replica", w.r.opts.ID, "batches", batches, "tookMs", took.Milliseconds(), "err", err)
	}
	return err
}

// writingFor returns for how long the write in progress has taken; 0 if there is none.
func (w *writer) writingFor() time.Duration {
	began := w.writeBegan.Load()
	if began == 0 {
		return 0
	}
	return time.Since(w.made) - time.Duration(began)
}

func (w *writer) compactGroup(group []job) error {
	for _, j := range group {
		if j.compact == 0 {
			continue
		}
		if err := w.r.ignoreFull("compaction of the log", w.r.log.Compact(j.compact)); err != nil {
			return err
		}
	}
	return nil
}

// saveSnapshot stores a snapshot and deletes older ones.
func (r *replica) saveSnapshot(s snap.Snapshot) error {
	r.storeSem <- struct{}{}
	defer func() { <-r.storeSem }()
	if err := r.store.Save(s); err != nil {
		return err
	}
	return r.ignoreFull("removal of old snapshots", r.store.Prune(keptSnapshots))
}

// keptSnapshots is the number of snapshots kept on disk.
const keptSnapshots = 2
