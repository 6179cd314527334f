package consensus

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/snap"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// ErrStopped means that the replica is stopped or stopping.
var ErrStopped = errors.New("consensus: stopped")

// replica drives a core: it owns the goroutines, the files and the calls to
// peers. The core and the fields marked "loop" belong to the run goroutine.
type replica struct {
	opts    Options
	machine untypedMachine
	lock    io.Closer
	log     *wal.Log
	store   *snap.Store
	// storeSem is a semaphore of size one that guards store.
	storeSem chan struct{}

	core             *core                 // loop
	identity         identity              // loop
	readWaiters      map[uint64]chan error // loop
	lastReadToken    uint64                // loop
	repliesAfterSync []func()              // loop
	heldAppends      []heldAppend          // loop
	readyReplies     []func()              // loop
	incoming         incomingSnapshot      // loop

	events    chan func(now time.Time)
	proposals chan proposal
	writer    writer
	applier   applier
	view      atomic.Pointer[view]
	changes   chan struct{}

	// leaving is set once this replica stops for good or for a restart, and asks
	// for no vote any more.
	leaving atomic.Bool

	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	fatal     chan error
	failOnce  sync.Once
	startedAt time.Time
	// suspendedAtStart is the total time the VM had been suspended when the
	// replica was opened.
	suspendedAtStart time.Duration
}

// untypedMachine is a StateMachine whose results have type any.
type untypedMachine interface {
	apply(index uint64, command []byte) any
	snapshot() ([]byte, error)
	restore(data []byte) error
}

// proposal is a command that waits for the loop to accept it.
type proposal struct {
	command []byte
	done    chan outcome
}

// outcome is the result of a proposal or of a membership change.
type outcome struct {
	result any
	err    error
}

// openReplica locks and reads the data folder and returns a replica that is not
// started.
func openReplica(opts Options, m untypedMachine) (*replica, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	if err := opts.FS.MkdirAll(rootDir); err != nil {
		return nil, fmt.Errorf("consensus: open the data folder: %w", err)
	}
	lock, err := opts.FS.Lock(lockFile)
	if err != nil {
		return nil, fmt.Errorf("consensus: lock the data folder: %w", err)
	}
	r := &replica{
		opts: opts, machine: m, lock: lock, startedAt: time.Now(), suspendedAtStart: boottime.Suspended(),
		readWaiters: map[uint64]chan error{},
		storeSem:    make(chan struct{}, 1),
		events:      make(chan func(time.Time), eventBuffer),
		proposals:   make(chan proposal),
		changes:     make(chan struct{}, 1),
		fatal:       make(chan error, 1),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	if err := r.load(); err != nil {
		r.cancel()
		return nil, errors.Join(err, lock.Close())
	}
	return r, nil
}

// load restores the core and the state machine from the data folder.
func (r *replica) load() error {
	var err error
	if r.identity, err = loadIdentity(r.opts.FS, r.opts.ID, r.opts.faults.incarnation); err != nil {
		return err
	}
	if r.store, err = snap.Open(r.opts.FS, snapDir); err != nil {
		return err
	}
	log, recovered, err := wal.Open(r.opts.FS, walDir, wal.Options{})
	if err != nil {
		return err
	}
	r.log = log
	config, snapshot, err := r.recoverState(recovered)
	if err != nil {
		return errors.Join(err, log.Close())
	}
	if r.core, err = newCore(r.now(), config); err != nil {
		return errors.Join(err, log.Close())
	}
	r.applier.init(r, snapshot, config.members)
	r.publish(r.now())
	if snapshot.Meta.Index == 0 {
		return nil
	}
	if err := r.machine.restore(snapshot.Data); err != nil {
		return errors.Join(fmt.Errorf("consensus: restore the snapshot: %w", err), log.Close())
	}
	return nil
}

// recoverState returns the core's initial state, built from the newest snapshot
// and the log after it, and that snapshot.
func (r *replica) recoverState(recovered wal.Recovered) (coreConfig, snap.Snapshot, error) {
	snapshot, found, err := r.store.Latest()
	if err != nil {
		return coreConfig{}, snapshot, err
	}
	members := r.identity.Genesis.Members
	if found {
		if members, err = decodeMembership(snapshot.Meta.Members); err != nil {
			return coreConfig{}, snapshot, err
		}
	}
	entries, err := r.entriesAfter(snapshot.Meta, recovered)
	if err != nil {
		return coreConfig{}, snapshot, err
	}
	return coreConfig{
		self: r.identity.Replica, timing: r.opts.Timing, faults: r.opts.faults, replaceDead: r.opts.ReplaceDead, minVoters: r.opts.MinVoters,
		rng:  rand.New(rand.NewPCG(randomUint64(), randomUint64())),
		hard: recovered.Hard, snapshot: snapshot.Meta, members: members, entries: entries,
		recoveredTip: r.identity.RecoveredTip,
	}, snapshot, nil
}

// entriesAfter returns the log entries after a snapshot. A log that ends before
// the snapshot, or has another term at its index, is discarded: a mark in the
// log makes it continue after the snapshot. It fails with ErrDataLost if
// entries between the snapshot and the log are missing.
func (r *replica) entriesAfter(meta snap.Meta, recovered wal.Recovered) ([]wal.Entry, error) {
	entries := recovered.Entries
	first := recovered.Base.Index + 1
	if len(entries) > 0 {
		first = entries[0].Index
	}
	if first > meta.Index+1 {
		return nil, fmt.Errorf("%w: the log begins at index %d, but the newest snapshot ends at index %d", ErrDataLost, first, meta.Index)
	}
	if first == meta.Index+1 {
		return entries, nil
	}
	at := meta.Index - first
	if at < uint64(len(entries)) && entries[at].Term == meta.Term {
		return entries[at+1:], nil
	}
	mark := wal.Mark{Index: meta.Index, Term: meta.Term}
	return nil, r.log.Append(wal.Batch{Mark: &mark, Hard: &recovered.Hard})
}

// start starts the goroutines.
func (r *replica) start() {
	r.writer.init(r)
	r.spawn(r.run)
	r.spawn(r.writer.run)
	r.spawn(r.applier.run)
	r.spawn(r.ensureMembership)
}

// spawn runs fn in a goroutine that halt waits for. fn must return once the
// replica stops.
func (r *replica) spawn(fn func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		fn()
	}()
}

// halt stops the replica without handing over leadership, waits for its
// goroutines and releases the data folder.
func (r *replica) halt() error {
	r.cancel()
	r.writer.stop()
	r.applier.stop()
	r.wg.Wait()
	return errors.Join(r.log.Close(), r.lock.Close())
}

// fail stops the replica after an error and reports the error on the fatal
// channel. Only the first call has an effect, and none if the replica stops already.
func (r *replica) fail(err error) {
	if errors.Is(err, ErrStopped) {
		return
	}
	r.failOnce.Do(func() {
		klog.ErrorS(err, "replica stopped by an error", "replica", r.opts.ID)
		r.fatal <- err
		r.cancel()
		r.writer.stop()
		r.applier.stop()
	})
}

// now returns the time on the replica's clock. The clock includes the time that
// the VM was suspended, so that leases expire during a suspension.
func (r *replica) now() time.Time {
	elapsed := time.Since(r.startedAt) + boottime.Suspended() - r.suspendedAtStart
	return r.startedAt.Add(time.Duration(float64(elapsed) * r.opts.clockRate))
}

// timerDelay returns the timer duration until t, a time on the replica's clock.
func (r *replica) timerDelay(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(r.now())) / r.opts.clockRate)
}
