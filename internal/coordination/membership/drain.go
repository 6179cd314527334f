package membership

import "time"

// Drain decides when a draining node may exit: callers may use its address until
// the lists that name it have expired, and all accepted work must have ended. It
// interrupts no work.
type Drain struct {
	// listDelay limits how long other nodes may still hand out lists that name
	// the node after its draining was committed.
	listDelay time.Duration
	ttl       time.Duration

	begun      bool
	committed  bool
	unlistedAt time.Duration
}

// NewDrain returns a drain that has not begun. ttl is the time to live of address
// lists, and listDelay the maximum delay with which a node learns of a change of
// the members.
func NewDrain(ttl, listDelay time.Duration) *Drain {
	return &Drain{ttl: ttl, listDelay: listDelay}
}

// Begin starts the drain. The node then requests that its lease is marked as
// draining.
func (d *Drain) Begin() { d.begun = true }

// Draining reports whether the drain has begun.
func (d *Drain) Draining() bool { return d.begun }

// MarkCommitted records that the members show the node as draining, or that its lease
// has ended. Only the first call after Begin has an effect.
func (d *Drain) MarkCommitted(now time.Duration) {
	if d.begun && !d.committed {
		d.committed = true
		d.unlistedAt = now + d.listDelay
	}
}

// MayExit reports whether the node may exit. work is the number of requests that
// are waiting or running.
func (d *Drain) MayExit(now time.Duration, work int) bool {
	return d.committed && work == 0 && now >= d.unlistedAt+d.ttl
}
