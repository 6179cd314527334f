package consensus

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// ErrBusy means that a command was not accepted by the deadline, because too
// many commands were in progress. It never commits.
var ErrBusy = errors.New("consensus: not accepted, too many commands in progress")

// Node is one replica of the log with its state machine. It implements
// Proposer.
type Node[R any] struct {
	replica *replica
}

// typedMachine adapts a StateMachine to untypedMachine.
type typedMachine[R any] struct {
	sm StateMachine[R]
}

func (m typedMachine[R]) apply(index uint64, command []byte) any { return m.sm.Apply(index, command) }
func (m typedMachine[R]) snapshot() ([]byte, error)              { return m.sm.Snapshot() }
func (m typedMachine[R]) restore(data []byte) error              { return m.sm.Restore(data) }

// New reads the data folder and restores the state machine from the newest
// snapshot. It fails if the folder is in use, damaged or incomplete
// (ErrDataLost).
func New[R any](opts Options, sm StateMachine[R]) (*Node[R], error) {
	r, err := openReplica(opts, typedMachine[R]{sm})
	if err != nil {
		return nil, err
	}
	return &Node[R]{replica: r}, nil
}

// fullDiskOpenInterval is the time between two attempts to open a data folder on a full disk.
const fullDiskOpenInterval = 250 * time.Millisecond

// NewAwaitingSpace is New, but tries again while the disk is too full to open the data folder.
func NewAwaitingSpace[R any](opts Options, sm StateMachine[R]) (*Node[R], error) {
	for {
		node, err := New(opts, sm)
		if !errors.Is(err, disk.ErrFull) {
			return node, err
		}
		klog.ErrorS(err, "the disk is full, retrying to open the data folder", "replica", opts.ID)
		time.Sleep(fullDiskOpenInterval)
	}
}

// Start starts the replica. The peers must be able to reach Service.
func (n *Node[R]) Start() {
	n.replica.start()
}

// Stop transfers the leadership if this replica leads, gives up its vote if there
// are more voters than needed, then stops the replica. ctx bounds the first two
// only.
func (n *Node[R]) Stop(ctx context.Context) error {
	n.replica.transferLeadership(ctx)
	n.replica.leave(ctx)
	return n.replica.halt()
}

// Service returns the RPC handler for requests of peers.
func (n *Node[R]) Service() *Service {
	return &Service{replica: n.replica}
}

// Propose implements Proposer. It also fails with ErrBusy if the command was
// not accepted by the deadline.
func (n *Node[R]) Propose(ctx context.Context, command []byte) (R, error) {
	var none R
	result, err := n.replica.propose(ctx, command)
	if err != nil {
		return none, err
	}
	typed, _ := result.(R)
	return typed, nil
}

// ReadBarrier implements Proposer.
func (n *Node[R]) ReadBarrier(ctx context.Context) error {
	return n.replica.readBarrier(ctx)
}

// Leadership implements Proposer. Leading is true only once this replica has
// applied every command committed before it began to lead.
func (n *Node[R]) Leadership() Leadership {
	now := n.replica.leadershipOf(n.replica.view.Load(), n.replica.now())
	now.Leading = now.Leading && n.replica.ctx.Err() == nil
	return now
}

// Changes returns a channel that signals possible changes of Leadership, of
// Members and of Status.FailedCampaign.
// Signals that are not received in time are merged into one.
func (n *Node[R]) Changes() <-chan struct{} {
	return n.replica.changes
}

// Fatal returns a channel that delivers the error that stopped the replica, if
// one did.
func (n *Node[R]) Fatal() <-chan error {
	return n.replica.fatal
}

// Self returns the ID and incarnation of this replica.
func (n *Node[R]) Self() Replica {
	return n.replica.view.Load().self
}

// Members returns the membership in effect on this replica.
func (n *Node[R]) Members() Membership {
	return n.replica.view.Load().members
}

// AddLearner adds a learner, which receives the log but does not vote. Leader
// only.
func (n *Node[R]) AddLearner(ctx context.Context, r Replica) error {
	return n.replica.changeMembers(ctx, func(now time.Time, c *core) (uint64, error) { return c.addLearner(now, r, false) })
}

// Promote turns a learner that has caught up into a voter. Leader only.
func (n *Node[R]) Promote(ctx context.Context, r Replica) error {
	return n.replica.changeMembers(ctx, func(now time.Time, c *core) (uint64, error) { return c.promote(now, r) })
}

// Remove removes a replica permanently: the incarnation can't join again.
// Leader only.
func (n *Node[R]) Remove(ctx context.Context, r Replica) error {
	return n.replica.changeMembers(ctx, func(now time.Time, c *core) (uint64, error) { return c.remove(now, r) })
}

// Status describes a replica for operators and metrics.
type Status struct {
	Replica   Replica
	Cluster   ClusterID
	Term      uint64
	Leader    ident.NodeID
	LastIndex uint64
	Commit    uint64
	Applied   uint64
	// LogEntries is the number of log entries in memory.
	LogEntries int
	// SilentVoters is the number of other voters that a leader has not heard
	// from for SilentVoterTimeout; 0 if this replica doesn't lead.
	SilentVoters int
	// Writing is for how long the write to the log in progress has taken; 0 if there is none.
	// SlowWrites is the number of those that took SlowWrite or longer.
	Writing    time.Duration
	SlowWrites uint64
	// FailedCampaign describes the votes of this replica's last campaign if no
	// leader is known since, with the reasons of refusals.
	FailedCampaign string
}

// Status returns the current status.
func (n *Node[R]) Status() Status {
	status := n.replica.view.Load().status
	status.Applied = n.replica.applier.applied.Load()
	status.Writing, status.SlowWrites = n.replica.writer.writingFor(), n.replica.writer.slowWrites.Load()
	return status
}

// status returns the status without Applied, Writing and SlowWrites. Only the loop may call it.
func (r *replica) status(now time.Time) Status {
	c := r.core
	return Status{
		Replica: c.self, Cluster: r.identity.Genesis.Cluster, Term: c.term, Leader: c.leader.ID,
		LastIndex: c.log.last(), Commit: c.commit, LogEntries: len(c.log.entries),
		SilentVoters: len(c.silentVoters(now, SilentVoterTimeout)), FailedCampaign: c.failedCampaign,
	}
}

// withDefaultTimeout adds ProposeTimeout to a context that has no deadline.
func (r *replica) withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, r.opts.Timing.ProposeTimeout)
}

// propose commits a command and returns its result.
func (r *replica) propose(ctx context.Context, command []byte) (any, error) {
	ctx, cancel := r.withDefaultTimeout(ctx)
	defer cancel()
	p := proposal{command: command, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, errors.Join(ErrBusy, ctx.Err())
	case <-r.ctx.Done():
		return nil, &NotLeaderError{}
	}
	return r.await(ctx, p.done)
}

// await waits for the outcome of an accepted proposal.
func (r *replica) await(ctx context.Context, done chan outcome) (any, error) {
	select {
	case end := <-done:
		return end.result, end.err
	case <-ctx.Done():
		return nil, errors.Join(ErrUncertain, ctx.Err())
	case <-r.ctx.Done():
		return nil, ErrUncertain
	}
}

// readBarrier waits until a read is confirmed and the state machine has applied
// the entries that the read depends on.
func (r *replica) readBarrier(ctx context.Context) error {
	ctx, cancel := r.withDefaultTimeout(ctx)
	defer cancel()
	done := make(chan error, 1)
	err := r.post(ctx, func(now time.Time) {
		r.lastReadToken++
		r.readWaiters[r.lastReadToken] = done
		if !r.core.read(now, r.lastReadToken) {
			delete(r.readWaiters, r.lastReadToken)
			done <- &NotLeaderError{Leader: r.core.leader.ID}
		}
	})
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.ctx.Done():
		return ErrStopped
	}
}

// changeMembers makes a membership change and waits until it is committed. It
// waits at most ElectionMin for an earlier change to end, which the leader may
// have made by itself.
func (r *replica) changeMembers(ctx context.Context, change func(now time.Time, c *core) (uint64, error)) error {
	ctx, cancel := r.withDefaultTimeout(ctx)
	defer cancel()
	for began := time.Now(); ; {
		announced, err := r.tryChangeMembers(ctx, change)
		pending := errors.Is(err, ErrChangePending) && time.Since(began) < r.opts.Timing.ElectionMin
		switch {
		case pending:
			time.Sleep(r.opts.Timing.Heartbeat / pollsPerHeartbeat)
		case !announced || err != nil:
			return err
		}
	}
}

// tryChangeMembers does the same as changeMembers, but returns once the change is
// announced if that must be committed first.
func (r *replica) tryChangeMembers(ctx context.Context, change func(now time.Time, c *core) (uint64, error)) (announced bool, err error) {
	started := make(chan error, 1)
	done := make(chan outcome, 1)
	err = r.post(ctx, func(now time.Time) {
		index, err := change(now, r.core)
		started <- err
		switch {
		case err != nil && !errors.Is(err, errAnnounced):
			done <- outcome{err: err}
		case index <= r.core.commit:
			done <- outcome{}
		default:
			r.applier.addWaiter(index, waiter{term: r.core.term, done: done})
		}
	})
	if err != nil {
		return false, err
	}
	_, err = r.await(ctx, done)
	select {
	case startErr := <-started:
		return errors.Is(startErr, errAnnounced), err
	default:
		return false, err
	}
}

// transferLeadership asks another voter to take over the leadership and waits
// until this replica no longer leads, at most ElectionMin.
func (r *replica) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timing.ElectionMin)
	defer cancel()
	if !r.view.Load().leads || len(r.view.Load().members.Voters()) == 1 {
		return
	}
	if r.post(ctx, func(time.Time) { r.core.transfer() }) != nil {
		return
	}
	ticker := time.NewTicker(r.opts.Timing.Heartbeat / pollsPerHeartbeat)
	defer ticker.Stop()
	for r.view.Load().leads {
		select {
		case <-ctx.Done():
			return
		case <-r.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pollsPerHeartbeat is how often per heartbeat period transferLeadership checks
// whether this replica still leads, and changeMembers whether a change has ended.
const pollsPerHeartbeat = 10
