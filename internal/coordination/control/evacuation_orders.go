package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// maxEvacuationChanges is the number of latest changes of the evacuations whose times are kept.
const maxEvacuationChanges = 8

// evacuationTimes records when this replica saw the latest changes of the evacuations. Its times
// are those of boottime.Now and never earlier than the change. It is safe for concurrent use.
type evacuationTimes struct {
	mu      sync.Mutex
	changes []evacuationChange
}

// evacuationChange is a state of the evacuations and when it was first seen.
type evacuationChange struct {
	records []evacuation.Record
	last    uint64
	seen    time.Duration
}

// note records the current evacuations.
func (t *evacuationTimes) note(records []evacuation.Record, last uint64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.changes); n > 0 && t.changes[n-1].last == last && evacuation.Same(t.changes[n-1].records, records) {
		return
	}
	if len(t.changes) >= maxEvacuationChanges {
		t.changes = slices.Clone(t.changes[1:])
	}
	t.changes = append(t.changes, evacuationChange{records: records, last: last, seen: now})
}

// basisAt returns the basis of an order about a data centre by what had been seen by a time.
func (t *evacuationTimes) basisAt(zone ident.Zone, at time.Duration) evacuation.Basis {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range slices.Backward(t.changes) {
		if c.seen <= at {
			return evacuation.BasisOf(c.records, c.last, zone)
		}
	}
	return evacuation.Basis{Known: true}
}

// latest returns the basis of a new order about a data centre, and for how long it has been known.
func (t *evacuationTimes) latest(zone ident.Zone, now time.Duration) (evacuation.Basis, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.changes) == 0 {
		return evacuation.Basis{Known: true}, 0
	}
	c := t.changes[len(t.changes)-1]
	return evacuation.BasisOf(c.records, c.last, zone), now - c.seen
}

// noteEvacuations records the evacuations that this replica has applied.
func (s *Service) noteEvacuations() {
	records, last := s.machine.EvacuationState()
	s.evacuationTimes.note(records, last, boottime.Now())
}

// EvacuationBasis returns the basis of an operator's order that was sent at the given time of
// boottime.Now or later.
func (s *Service) EvacuationBasis(zone ident.Zone, sentAfter time.Duration) evacuation.Basis {
	return s.evacuationTimes.basisAt(zone, sentAfter)
}

// isOutdated reports whether an order that would change something may be a late copy, and replies
// that if so. One without a basis comes from an older build during an upgrade and is taken for
// new: an evacuation that waits for the end of the upgrade may come too late.
func (s *Service) isOutdated(args *EvacuateArgs, reply *EvacuateReply) bool {
	s.noteEvacuations()
	basis, age := s.evacuationTimes.latest(args.Order.Zone, boottime.Now())
	if args.Basis == basis || !args.Basis.Known {
		return false
	}
	reply.Refusal, reply.Basis, reply.Age = machine.RefusedOutdated, basis, age
	return true
}

// Evacuate sends an operator's order to the leader, which was sent at the time sentAfter of
// boottime.Now or later. The error wraps ErrOrderOutdated if the order may be a late copy.
func Evacuate(ctx context.Context, c *Client, args EvacuateArgs, sentAfter time.Duration) (EvacuateReply, error) {
	for range maxOrderAttempts {
		reply, err := Call[EvacuateReply](ctx, c, "Evacuate", &args)
		if err != nil || reply.Refusal != machine.RefusedOutdated {
			return reply, err
		}
		if boottime.Now()-reply.Age <= sentAfter {
			// The leader has known this since before the order was sent.
			args.Basis = reply.Basis
		}
	}
	return EvacuateReply{}, fmt.Errorf("%w: the evacuations have changed", ErrOrderOutdated)
}
