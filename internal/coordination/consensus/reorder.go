package consensus

import "time"

// Limits of holding back requests that overtook an earlier one.
const (
	// maxEarly is how many requests are held back.
	maxEarly = 2 * maxInFlight
	// earlyWait is how long one is held back.
	earlyWait = 10 * time.Millisecond
)

// earlyAppend is a request whose predecessor has not arrived yet.
type earlyAppend struct {
	prev   uint64
	until  time.Time
	handle func(now time.Time)
}

// takeAppend handles a request at once, or holds it back for a short while if
// it overtook the one before it: calls to one node may overtake each other, and
// a refusal would make the leader start over.
func (r *replica) takeAppend(now time.Time, req *AppendRequest, handle func(now time.Time)) {
	gap := req.PrevIndex > r.core.log.last()
	following := req.Term == r.core.term && r.core.leader == req.Header.From
	if gap && following && len(r.early) < maxEarly {
		r.early = append(r.early, earlyAppend{prev: req.PrevIndex, until: now.Add(earlyWait), handle: handle})
		return
	}
	handle(now)
}

// releaseEarly handles the requests that fit by now or have waited enough.
func (r *replica) releaseEarly(now time.Time) {
	for at := 0; at < len(r.early); at++ {
		held := r.early[at]
		if held.prev > r.core.log.last() && now.Before(held.until) {
			continue
		}
		r.early = append(r.early[:at], r.early[at+1:]...)
		held.handle(now)
		// The log may have grown up to one that was passed over.
		at = -1
	}
}

// nextWake returns when the loop has to act without any input.
func (r *replica) nextWake(now time.Time) time.Time {
	wake := r.core.nextWake(now)
	for _, held := range r.early {
		if held.until.Before(wake) {
			wake = held.until
		}
	}
	return wake
}
