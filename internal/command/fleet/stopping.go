package fleet

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// callerMoveTimeout is the time after which callers that ask the directory have left a
	// stopping gateway: two lifetimes of an answer (1 s at most on the platform).
	callerMoveTimeout = 2 * time.Second
	// ExitReserve is the part of the grace period that is left for the exit, after
	// requests were cut.
	ExitReserve = 500 * time.Millisecond
	// reasonStopping refuses a request that a stopping gateway might cut.
	reasonStopping gateway.Reason = "stopping"
)

// mayOutliveGrace reports whether a request that comes to a stopping gateway now may
// still run when the gateway ends. Requests that come soon after the stop began
// are taken all the same: their callers couldn't know of it, and few need all
// the time that they have.
func mayOutliveGrace(drainStart, now, deadline time.Time, grace time.Duration) bool {
	return now.Sub(drainStart) >= callerMoveTimeout && deadline.After(drainStart.Add(grace-ExitReserve))
}

// refuseIfStopping returns the refusal of a request that the node might cut.
func (n *Node) refuseIfStopping(r *gateway.Request, now time.Time) *gateway.Failure {
	began := n.drainStart.Load()
	if began == nil || !mayOutliveGrace(*began, now, r.Deadline, n.settings.Grace) {
		return nil
	}
	failure := &gateway.Failure{Reason: reasonStopping, NotRun: true, Message: "the node stops before the request's deadline"}
	n.events.Record(timeline.Event{Kind: timeline.KindRefused, Request: r.ID, Pool: r.Pool, Detail: failure.Error()})
	return failure
}
