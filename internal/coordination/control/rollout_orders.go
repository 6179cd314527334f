package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// maxRolloutChanges is the number of latest changes of a pool's rollout whose times are kept.
const maxRolloutChanges = 8

// rolloutTimes records when this replica saw the latest changes of the pools' rollouts. Its times
// are those of boottime.Now and never earlier than the change. It is safe for concurrent use.
type rolloutTimes struct {
	mu    sync.Mutex
	pools map[ident.PoolName][]rolloutChange
}

// rolloutChange is a state of a pool's rollout and when it was first seen.
type rolloutChange struct {
	basis rollout.Basis
	seen  time.Duration
}

// note records rollouts that are committed. Records may come from this replica, which may lag,
// and from the leader.
func (t *rolloutTimes) note(records []rollout.Record, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pools == nil {
		t.pools = make(map[ident.PoolName][]rolloutChange)
	}
	for _, r := range records {
		changes := t.pools[r.Pool]
		if len(changes) > 0 {
			last := changes[len(changes)-1].basis
			if last == r.Basis() || last.Number > r.Number || last.Number == r.Number && last.Final {
				continue
			}
		}
		if len(changes) >= maxRolloutChanges {
			changes = slices.Clone(changes[1:])
		}
		t.pools[r.Pool] = append(changes, rolloutChange{basis: r.Basis(), seen: now})
	}
}

// basisAt returns the latest state of a pool's rollout that had been seen by the given time.
func (t *rolloutTimes) basisAt(pool ident.PoolName, at time.Duration) rollout.Basis {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range slices.Backward(t.pools[pool]) {
		if c.seen <= at {
			return c.basis
		}
	}
	return rollout.Basis{Known: true}
}

// age returns for how long a state of a pool's rollout has been known; 0 if it isn't.
func (t *rolloutTimes) age(pool ident.PoolName, basis rollout.Basis, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.pools[pool] {
		if c.basis == basis {
			return now - c.seen
		}
	}
	return 0
}

// noteRollouts records the rollouts that this replica has applied.
func (s *Service) noteRollouts() { s.rolloutTimes.note(s.machine.Rollouts(), boottime.Now()) }

// followOrders notes each change that operators' orders make until the context ends.
func (s *Service) followOrders(ctx context.Context) {
	for {
		changed := s.machine.Changed()
		s.noteRollouts()
		s.noteEvacuations()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// LearnRollout records a rollout that the leader has named.
func (s *Service) LearnRollout(r rollout.Record) {
	s.rolloutTimes.note([]rollout.Record{r}, boottime.Now())
}

// RolloutBasis returns the basis of an operator's order that was sent at the given time of
// boottime.Now or later.
func (s *Service) RolloutBasis(pool ident.PoolName, sentAfter time.Duration) rollout.Basis {
	return s.rolloutTimes.basisAt(pool, sentAfter)
}

// StartRollout commits an operator's order to start a rollout. An order that may be a late copy
// is refused with the pool's latest record.
func (s *Service) StartRollout(args *StartRolloutArgs, reply *RolloutReply) error {
	if _, status := s.readBarrier(); !status.OK() {
		reply.Status = status
		return nil
	}
	current, _ := s.machine.Rollout(args.Order.Pool)
	switch s.judge(args, current) {
	case rollout.VerdictStart:
		order, basis := args.Order, args.Basis
		command := &machine.Command{StartRollout: &order}
		if basis.Known {
			command.RolloutBasis = &basis
		}
		if err := s.changeRollout(command, reply); err != nil {
			return err
		}
	case rollout.VerdictRepeat:
		reply.Record = &current
	case rollout.VerdictOutdated:
		reply.Record, reply.Refusal = &current, string(machine.RefusedOutdated)
	}
	s.setAge(reply)
	return nil
}

// setAge sets for how long the record of a reply has been known here.
func (s *Service) setAge(reply *RolloutReply) {
	if reply.Record != nil {
		s.noteRollouts()
		reply.Age = s.rolloutTimes.age(reply.Record.Pool, reply.Record.Basis(), boottime.Now())
	}
}

// judge returns what becomes of an order. Replicas of older builds carry out what is committed
// without a look at the basis, so that the leader looks first. What such a build passes on may
// be a late copy unless the pool has had no other rollout; operators find a newer build at
// another node.
func (s *Service) judge(args *StartRolloutArgs, current rollout.Record) rollout.Verdict {
	switch {
	case args.Basis.Known:
		return args.Basis.Judge(current, args.Order)
	case current.Number == 0:
		return rollout.VerdictStart
	case current.Repeats(args.Order, time.Now()):
		return rollout.VerdictRepeat
	default:
		return rollout.VerdictOutdated
	}
}

// ErrOrderOutdated means that an order may be a late copy: what it changes may have changed
// since it was sent. It had no effect, and its sender may send it again.
var ErrOrderOutdated = errors.New("control: the order may be a late copy of an earlier one, it had no effect")

// maxOrderAttempts bounds how often an order that was refused as outdated is sent again at once.
// Each answer bounds anew when the leader learned of the latest rollout: the faster it comes, the
// closer the bound.
const maxOrderAttempts = 4

// OperatorOrder is an operator's order for a rollout as a replica received it.
type OperatorOrder struct {
	rollout.Order
	// SentAfter is the earliest time of boottime.Now at which it can have been sent, and Basis
	// what the replica had seen of the pool's rollout by then.
	SentAfter time.Duration
	Basis     rollout.Basis
	// ReadFirst is true if the leader may be of a build that carries out late copies, so that
	// the pool's rollout is to be read before.
	ReadFirst bool
}

// StartRollout sends an operator's order to the leader. It returns the pool's latest record if a
// replica named one. The error wraps ErrOrderOutdated if the order may be a late copy; after any
// other, the outcome is unknown.
func StartRollout(ctx context.Context, c *Client, o OperatorOrder) (latest rollout.Record, err error) {
	for range maxOrderAttempts {
		reply, err := o.send(ctx, c)
		if err != nil {
			return latest, err
		}
		if reply.Record != nil {
			latest = *reply.Record
		}
		if reply.Refusal == "" {
			return latest, nil
		}
		if reply.Record != nil && boottime.Now()-reply.Age <= o.SentAfter {
			// The leader has known the record since before the order was sent. The replica that
			// received the order learned of it later.
			o.Basis = latest.Basis()
		}
	}
	return latest, fmt.Errorf("%w: rollout %d of %s to %s is %s", ErrOrderOutdated, latest.Number, o.Pool, latest.Target, latest.State)
}

// send sends the order once.
func (o *OperatorOrder) send(ctx context.Context, c *Client) (RolloutReply, error) {
	if o.ReadFirst {
		reply, err := Call[RolloutReply](ctx, c, "ReadRollout", &ReadRolloutArgs{Pool: o.Pool})
		if err != nil {
			return reply, err
		}
		if reply.Record != nil && o.Basis.Judge(*reply.Record, o.Order) == rollout.VerdictOutdated {
			reply.Refusal = string(machine.RefusedOutdated)
			return reply, nil
		}
	}
	return Call[RolloutReply](ctx, c, "StartRollout", &StartRolloutArgs{Order: o.Order, Basis: o.Basis})
}
