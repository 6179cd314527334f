package consensus

import "time"

// Limits for AppendRequests that arrive before their predecessor.
const (
	// maxHeldAppends is the number of requests that may be held.
	maxHeldAppends = 2 * maxInFlight
	// heldAppendTimeout is how long a request is held before it is handled
	// anyway.
	heldAppendTimeout = 10 * time.Millisecond
)

// heldAppend is an AppendRequest whose predecessor has not arrived yet.
type heldAppend struct {
	prevIndex uint64
	until     time.Time
	handle    func(now time.Time)
}

// handleInOrder handles an AppendRequest at once, or holds it briefly if it
// arrived before its predecessor. Calls to the same node may be reordered, and
// a rejection would make the leader return to probing.
func (r *replica) handleInOrder(now time.Time, req *AppendRequest, handle func(now time.Time)) {
	ahead := req.PrevIndex > r.core.log.last()
	fromLeader := req.Term == r.core.term && r.core.leader == req.Header.From
	if ahead && fromLeader && len(r.heldAppends) < maxHeldAppends {
		r.heldAppends = append(r.heldAppends, heldAppend{prevIndex: req.PrevIndex, until: now.Add(heldAppendTimeout), handle: handle})
		return
	}
	handle(now)
}

// releaseHeldAppends handles the held requests whose predecessor has arrived or
// whose timeout has expired.
func (r *replica) releaseHeldAppends(now time.Time) {
	for at := 0; at < len(r.heldAppends); at++ {
		held := r.heldAppends[at]
		if held.prevIndex > r.core.log.last() && now.Before(held.until) {
			continue
		}
		r.heldAppends = append(r.heldAppends[:at], r.heldAppends[at+1:]...)
		held.handle(now)
		// Handling this request may have extended the log, so that a request
		// skipped earlier can be handled now.
		at = -1
	}
}

// nextWake returns the time at which the loop must run next even without input.
func (r *replica) nextWake(now time.Time) time.Time {
	wake := r.core.nextWake(now)
	for _, held := range r.heldAppends {
		if held.until.Before(wake) {
			wake = held.until
		}
	}
	return wake
}
