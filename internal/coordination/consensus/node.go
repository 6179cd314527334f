package consensus

import (
	"context"
	"errors"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// ErrBusy means that a command was certainly not accepted: too many were in
// progress until the deadline.
var ErrBusy = errors.New("consensus: not accepted, too many commands in progress")

// Node is one replica of the log and the state machine on top of it. It
// implements Proposer.
type Node[R any] struct {
	replica *replica
}

// typedMachine adapts a StateMachine to the driver.
type typedMachine[R any] struct {
	sm StateMachine[R]
}

func (m typedMachine[R]) apply(index uint64, command []byte) any { return m.sm.Apply(index, command) }
func (m typedMachine[R]) snapshot() ([]byte, error)              { return m.sm.Snapshot() }
func (m typedMachine[R]) restore(data []byte) error              { return m.sm.Restore(data) }

// New reads the data folder and restores the state machine from the newest
// snapshot. It fails if the folder is in use, damaged or incomplete.
func New[R any](opts Options, sm StateMachine[R]) (*Node[R], error) {
	r, err := openReplica(opts, typedMachine[R]{sm})
	if err != nil {
		return nil, err
	}
	return &Node[R]{replica: r}, nil
}

// Start begins to take part. Service must be reachable by the peers.
func (n *Node[R]) Start() {
	n.replica.start()
}

// Stop hands over the leadership if this replica leads, then ends everything.
// The context bounds the handing over.
func (n *Node[R]) Stop(ctx context.Context) error {
	n.replica.handOver(ctx)
	return n.replica.halt()
}

// Service returns the handler of the peers' requests.
func (n *Node[R]) Service() *Service {
	return &Service{replica: n.replica}
}

// Propose implements Proposer. Besides, it fails with ErrBusy when the command
// was certainly not accepted.
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

// Changes signals that Leadership may have changed. Signals are merged.
func (n *Node[R]) Changes() <-chan struct{} {
	return n.replica.changes
}

// Fatal delivers the error that stopped the replica by itself, if any does.
func (n *Node[R]) Fatal() <-chan error {
	return n.replica.fatal
}

// Self returns this replica.
func (n *Node[R]) Self() Replica {
	return n.replica.view.Load().self
}

// Members returns the membership in force here.
func (n *Node[R]) Members() Membership {
	return n.replica.view.Load().members
}

// AddLearner lets a replica receive the log. Leader only.
func (n *Node[R]) AddLearner(ctx context.Context, r Replica) error {
	return n.replica.changeMembers(ctx, func(c *core) (uint64, error) { return c.addLearner(r, false) })
}

// Promote lets a learner that has caught up vote. Leader only.
func (n *Node[R]) Promote(ctx context.Context, r Replica) error {
	return n.replica.changeMembers(ctx, func(c *core) (uint64, error) { return c.promote(r) })
}

// Remove ends the membership of a replica for good. Leader only.
func (n *Node[R]) Remove(ctx context.Context, r Replica) error {
	return n.replica.changeMembers(ctx, func(c *core) (uint64, error) { return c.remove(r) })
}

// Status is a replica's position for operators and metrics.
type Status struct {
	Replica   Replica
	Cluster   ClusterID
	Term      uint64
	Leader    ident.NodeID
	LastIndex uint64
	Commit    uint64
	Applied   uint64
	// LogEntries is the number of entries in memory.
	LogEntries int
}

// Status returns the present position.
func (n *Node[R]) Status() Status {
	status := n.replica.view.Load().status
	status.Applied = n.replica.applier.applied.Load()
	return status
}

// status is called by the loop.
func (r *replica) status() Status {
	c := r.core
	return Status{
		Replica: c.self, Cluster: r.own.Genesis.Cluster, Term: c.term, Leader: c.leader.ID,
		LastIndex: c.log.last(), Commit: c.commit, LogEntries: len(c.log.entries),
	}
}

// bounded gives a context without a deadline the default one.
func (r *replica) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, r.opts.Timing.Propose)
}

// propose commits a command and returns its result.
func (r *replica) propose(ctx context.Context, command []byte) (any, error) {
	ctx, cancel := r.bounded(ctx)
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

// await returns the outcome of an accepted proposal.
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

// readBarrier waits until a read is confirmed and the state machine is ready.
func (r *replica) readBarrier(ctx context.Context) error {
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	done := make(chan error, 1)
	err := r.post(ctx, func(now time.Time) {
		r.token++
		r.readers[r.token] = done
		if !r.core.read(now, r.token) {
			delete(r.readers, r.token)
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

// changeMembers begins a change of membership and waits for its commit.
func (r *replica) changeMembers(ctx context.Context, change func(c *core) (uint64, error)) error {
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	done := make(chan outcome, 1)
	err := r.post(ctx, func(time.Time) {
		index, err := change(r.core)
		switch {
		case err != nil:
			done <- outcome{err: err}
		case index <= r.core.commit:
			done <- outcome{}
		default:
			r.applier.expect(index, waiter{term: r.core.term, done: done})
		}
	})
	if err != nil {
		return err
	}
	_, err = r.await(ctx, done)
	return err
}

// handOver gives the leadership to another replica and waits until it is gone.
func (r *replica) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timing.ElectionMin)
	defer cancel()
	if !r.view.Load().leads || len(r.view.Load().members.Voters()) == 1 {
		return
	}
	if r.post(ctx, func(time.Time) { r.core.transfer() }) != nil {
		return
	}
	ticker := time.NewTicker(r.opts.Timing.Heartbeat / handOverPolls)
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

// handOverPolls is how often per heartbeat a stopping leader looks whether it
// still leads.
const handOverPolls = 10
