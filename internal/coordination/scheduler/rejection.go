package scheduler

import (
	"time"
)

const (
	// minRejectionHold is the time without new requests at an upstream after it has
	// rejected one. It doubles with each further one in a row, up to maxRejectionHold.
	minRejectionHold = 20 * time.Millisecond
	maxRejectionHold = time.Second
	// minRoomInterval is the shortest time after which an upstream that has rejected
	// requests gets one more at once. Where a rejection asks a gateway for a pause, it is
	// pauseRoomFactor times that, so that trials pause few gateways.
	minRoomInterval = time.Second
	pauseRoomFactor = 4
)

// rejections bounds what an upstream gets after it has rejected requests. It has no
// running requests and answers fast, so without a bound it would look better than others
// that have room.
type rejections struct {
	// inARow counts the rejections since the last answer, and heldUntil is when the
	// upstream may get a request again.
	inARow    int
	heldUntil time.Duration
	// limit bounds the requests in flight; 0 if nothing does. Each answer raises it up to
	// threshold, then the time since changedAt does.
	limit, threshold int
	changedAt        time.Duration
	interval         time.Duration
	// pause is the latest pause that a rejection asked a gateway for.
	pause time.Duration
}

// recordRejection bounds what an upstream gets that rejected a request. inFlight counts
// the others that it has: if there are some, it is full, otherwise it takes none.
func (p *Pool) recordRejection(e *entry, g *engine, inFlight int, now time.Duration) {
	if now >= e.deadline || g.brittle != nil {
		// The request may have waited there for too long, and brittle upstreams have
		// bounds of their own.
		return
	}
	r := &g.rejections
	r.inARow++
	hold := maxRejectionHold
	if shift := r.inARow - 1; shift < 6 {
		hold = min(hold, minRejectionHold<<shift)
	}
	switch whole := g.upstream.MaxConcurrent; {
	case inFlight > 0:
		r.limit = min(max(1, g.limit()), inFlight)
		r.threshold = r.limit
	case r.inARow > 1 || r.threshold == 0:
		r.limit, r.threshold = 1, whole
	default:
		r.limit = 1
	}
	r.changedAt, r.heldUntil = now, now+hold
	r.interval = max(minRoomInterval, pauseRoomFactor*r.pause)
	p.pausedUntil = max(p.pausedUntil, r.heldUntil)
	p.pauseChanges = append(p.pauseChanges, PauseChange{PauseNotice: PauseNotice{Upstream: g.upstream.Name, Left: hold}, Room: r.limit})
	p.refresh(g, now)
}

// recordTaken raises the bound on an upstream that has taken a request which was sent at
// the given time.
func (r *rejections) recordTaken(sentAt time.Duration) {
	if r.limit == 0 || sentAt < r.changedAt {
		return
	}
	r.inARow, r.heldUntil = 0, 0
	if r.limit < r.threshold {
		r.limit++
	}
}

// raise raises the bound of an upstream that has rejected nothing for a while, and lifts
// it at the limit that the list states.
func (r *rejections) raise(whole int, now time.Duration) {
	if r.limit == 0 {
		return
	}
	if now-r.changedAt >= r.interval {
		r.limit++
		r.changedAt = now
	}
	if r.limit >= whole {
		*r = rejections{}
	}
}

// checkRejections runs raise for all upstreams.
func (p *Pool) checkRejections(now time.Duration) {
	for _, g := range p.orderedEngines {
		if g.rejections.limit > 0 {
			g.rejections.raise(g.upstream.MaxConcurrent, now)
			p.refresh(g, now)
		}
	}
}

// heldUntil returns when the upstream may get a request again after it turned one away.
func (e *engine) heldUntil() time.Duration {
	if e.brittle != nil {
		return max(e.brittle.pausedUntil, e.rejections.heldUntil)
	}
	return e.rejections.heldUntil
}

// isHeld reports whether the upstream gets no new request because it turned one away.
func (e *engine) isHeld(now time.Duration) bool { return now < e.heldUntil() }
