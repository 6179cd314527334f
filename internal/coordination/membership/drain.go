package membership

import "time"

// Drain decides when a draining node may exit: callers may go on using its
// address until the lists that name it have run out, and all accepted work
// must be over. It cuts nothing.
type Drain struct {
	// listDelay bounds how long other nodes may still hand out lists that name
	// the node after its draining was committed.
	listDelay time.Duration
	ttl       time.Duration

	begun      bool
	committed  bool
	unlistedAt time.Duration
}

// NewDrain returns a drain that has not begun. ttl is the time to live of
// address lists, spread the bound on how late a node learns of members.
func NewDrain(ttl, listDelay time.Duration) *Drain {
	return &Drain{ttl: ttl, listDelay: listDelay}
}

// Begin starts the drain: the node asks for its lease to say so.
func (d *Drain) Begin() { d.begun = true }

// Draining reports whether the drain has begun.
func (d *Drain) Draining() bool { return d.begun }

// Committed tells that the members say that the node is draining, or that its
// lease has ended. Only the first call counts.
func (d *Drain) Committed(now time.Duration) {
	if d.begun && !d.committed {
		d.committed = true
		d.unlistedAt = now + d.listDelay
	}
}

// MayExit reports whether the node may exit with the given number of requests
// waiting or running.
func (d *Drain) MayExit(now time.Duration, work int) bool {
	return d.committed && work == 0 && now >= d.unlistedAt+d.ttl
}
