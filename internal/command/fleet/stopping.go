package fleet

import "time"

const (
	// callerMoveTimeout is the time after the start of a drain by which callers
	// that ask the directory have moved to other gateways: two lifetimes of a
	// directory answer, each at most 1 s on the platform.
	callerMoveTimeout = 2 * time.Second
	// ExitReserve is the part of the grace period that is reserved for the exit
	// itself, after the remaining connections were closed.
	ExitReserve = 500 * time.Millisecond
	// answerReserve is the time before that in which requests that are ended get their answers.
	answerReserve = 200 * time.Millisecond
)

// stopTimes says when a draining gateway ends requests, from the start of the drain on.
type stopTimes struct {
	// refuse is when requests that have reached no upstream, and may outlast end, are refused.
	// Until then most are served: few need all of their time, and their callers could not know
	// of the drain. After it, callers still have time to be served elsewhere.
	refuse time.Duration
	// end is when the requests that are left get an answer.
	end time.Duration
}

func stopTimesOf(grace time.Duration) stopTimes {
	end := max(0, grace-ExitReserve-answerReserve)
	return stopTimes{refuse: min(callerMoveTimeout, end/2), end: end}
}

// EndTime returns when a draining gateway ends the requests that are left, after the start of
// the drain.
func (n *Node) EndTime() time.Duration { return stopTimesOf(n.settings.Grace).end }

// endRequests ends the requests of a draining gateway in time, so that each that it has read is
// answered before it exits.
func (n *Node) endRequests(began time.Time) {
	times := stopTimesOf(n.settings.Grace)
	sleep(n.ctx, time.Until(began.Add(times.refuse)))
	if n.ctx.Err() != nil {
		return
	}
	n.gateway.RefuseBeyond(began.Add(times.end))
	sleep(n.ctx, time.Until(began.Add(times.end)))
	if n.ctx.Err() == nil {
		n.gateway.EndAll()
	}
}
