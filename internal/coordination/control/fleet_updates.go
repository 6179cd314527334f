package control

import (
	"fmt"
	"time"
)

// packedUpdate is an encoded update to a version, with the time when it was
// encoded.
type packedUpdate struct {
	to     FleetVersion
	packed []byte
	made   time.Time
}

// deliveryFor returns the update for a node at version have, which may be up to
// updateCacheTTL old. It is empty if the node is up to date or this replica does
// not lead.
func (f *fleet) deliveryFor(have FleetVersion) (d FleetDelivery, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading || !f.version.Newer(have) {
		return d, nil
	}
	since := f.since(have)
	update, cached := f.updates[since]
	if !cached || !update.to.Newer(have) || update.to != f.version && time.Since(update.made) >= updateCacheTTL {
		packed, err := pack(f.updateSince(since))
		if err != nil {
			return d, fmt.Errorf("control: encoding fleet update to version %v: %w", f.version, err)
		}
		update = packedUpdate{to: f.version, packed: packed, made: time.Now()}
		f.updates[since] = update
	}
	d.Packed = update.packed
	if since != 0 {
		d.From = have
	}
	return d, nil
}

// newer reports whether a node at version have is behind. changed is closed at
// the next change.
func (f *fleet) newer(have FleetVersion) (changed <-chan struct{}, newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed, f.leading && f.version.Newer(have)
}

// since returns the sequence number of a version if all changes after it are
// known, else 0. The caller holds the lock.
func (f *fleet) since(have FleetVersion) uint64 {
	switch {
	case have == FleetVersion{}:
		return 0
	case have == f.base:
		return f.floor
	case have.Term == f.version.Term && have.Sequence > f.floor:
		return have.Sequence
	default:
		return 0
	}
}

// updateSince returns all changes after a sequence number, and the full state for
// 0. The caller holds the lock.
func (f *fleet) updateSince(sequence uint64) *FleetUpdate {
	u := &FleetUpdate{To: f.version, Listed: f.listed, Rollouts: f.committed.rollouts, HotTeams: f.committed.hotTeams, Poison: f.committed.poison, Evacuations: f.committed.evacuations}
	u.Members, u.MembersGone = f.members.since(sequence)
	u.Upstreams, u.UpstreamsGone = f.upstreams.since(sequence)
	u.Ends, u.EndsGone = f.ends.since(sequence)
	return u
}
