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

// ErrStopped means that the replica has stopped.
var ErrStopped = errors.New("consensus: stopped")

// replica drives a core: it owns the goroutines, the files and the calls to
// peers. The core and the fields marked "loop" belong to the run goroutine.
type replica struct {
	opts    Options
	machine machine
	lock    io.Closer
	log     *wal.Log
	store   *snap.Store
	// storeTurn holds a token while the store is in use.
	storeTurn chan struct{}

	core     *core                 // loop
	own      identity              // loop
	readers  map[uint64]chan error // loop
	token    uint64                // loop
	gated    []func()              // loop
	early    []earlyAppend         // loop
	answers  []func()              // loop
	incoming incomingSnapshot      // loop

	events    chan func(now time.Time)
	proposals chan proposal
	writer    writer
	applier   applier
	view      atomic.Pointer[view]
	changes   chan struct{}

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	fatal   chan error
	failing sync.Once
	began   time.Time
	// suspended is how long the VM had been suspended when the replica began.
	suspended time.Duration
}

// machine is a StateMachine without its result type.
type machine interface {
	apply(index uint64, command []byte) any
	snapshot() ([]byte, error)
	restore(data []byte) error
}

// proposal is a command that waits to be accepted by the loop.
type proposal struct {
	command []byte
	done    chan outcome
}

// outcome ends a proposal.
type outcome struct {
	result any
	err    error
}

// openReplica reads the data folder and returns a replica that is not running.
func openReplica(opts Options, m machine) (*replica, error) {
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
		opts: opts, machine: m, lock: lock, began: time.Now(), suspended: boottime.Suspended(),
		readers:   map[uint64]chan error{},
		storeTurn: make(chan struct{}, 1),
		events:    make(chan func(time.Time), eventBuffer),
		proposals: make(chan proposal),
		changes:   make(chan struct{}, 1),
		fatal:     make(chan error, 1),
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
	if r.own, err = loadIdentity(r.opts.FS, r.opts.ID, r.opts.faults.incarnation); err != nil {
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
	begin, snapshot, err := r.beginning(recovered)
	if err != nil {
		return errors.Join(err, log.Close())
	}
	if r.core, err = newCore(r.now(), begin); err != nil {
		return errors.Join(err, log.Close())
	}
	r.applier.init(r, snapshot.Meta.Index, begin.members)
	r.publish(r.now())
	if snapshot.Meta.Index == 0 {
		return nil
	}
	if err := r.machine.restore(snapshot.Data); err != nil {
		return errors.Join(fmt.Errorf("consensus: restore the snapshot: %w", err), log.Close())
	}
	return nil
}

// beginning joins the newest snapshot and the log that continues it.
func (r *replica) beginning(recovered wal.Recovered) (start, snap.Snapshot, error) {
	snapshot, found, err := r.store.Latest()
	if err != nil {
		return start{}, snapshot, err
	}
	members := r.own.Genesis.Members
	if found {
		if members, err = decodeMembership(snapshot.Meta.Members); err != nil {
			return start{}, snapshot, err
		}
	}
	entries, err := r.continueFrom(snapshot.Meta, recovered)
	if err != nil {
		return start{}, snapshot, err
	}
	return start{
		self: r.own.Replica, timing: r.opts.Timing, faults: r.opts.faults, replaceDead: r.opts.ReplaceDead,
		rng:  rand.New(rand.NewPCG(randomUint64(), randomUint64())),
		hard: recovered.Hard, snapshot: snapshot.Meta, members: members, entries: entries,
	}, snapshot, nil
}

// continueFrom returns the entries after a snapshot. A log that ends before the
// snapshot, or disagrees with it, is void and is told to continue after it.
func (r *replica) continueFrom(meta snap.Meta, recovered wal.Recovered) ([]wal.Entry, error) {
	entries := recovered.Entries
	first := recovered.Base.Index + 1
	if len(entries) > 0 {
		first = entries[0].Index
	}
	if first > meta.Index+1 {
		return nil, fmt.Errorf("%w: the log begins at %d, the newest snapshot is of %d", ErrDataLost, first, meta.Index)
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

// start launches the goroutines.
func (r *replica) start() {
	r.writer.init(r)
	r.spawn(r.run)
	r.spawn(r.writer.run)
	r.spawn(r.applier.run)
	r.spawn(r.enter)
}

// spawn runs a function that ends when the replica stops.
func (r *replica) spawn(fn func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		fn()
	}()
}

// halt ends everything at once and frees the data folder.
func (r *replica) halt() error {
	r.cancel()
	r.writer.wake()
	r.applier.wake()
	r.wg.Wait()
	return errors.Join(r.log.Close(), r.lock.Close())
}

// fail stops the replica for good.
func (r *replica) fail(err error) {
	r.failing.Do(func() {
		klog.ErrorS(err, "replica stops", "replica", r.opts.ID)
		r.fatal <- err
		r.cancel()
		r.writer.wake()
		r.applier.wake()
	})
}

// now returns the replica's clock. It counts the time of a suspension, so that
// no lease outlives it.
func (r *replica) now() time.Time {
	elapsed := time.Since(r.began) + boottime.Suspended() - r.suspended
	return r.began.Add(time.Duration(float64(elapsed) * r.opts.clockRate))
}

// until converts a time on the replica's clock to a duration of timers.
func (r *replica) until(t time.Time) time.Duration {
	return time.Duration(float64(t.Sub(r.now())) / r.opts.clockRate)
}
