package fleet

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// callerMoveTimeout is the time after the start of a drain by which callers
	// that ask the directory have moved to other gateways: two lifetimes of a
	// directory answer, each at most 1 s on the platform.
	callerMoveTimeout = 2 * time.Second
	// ExitReserve is the part of the grace period that is reserved for the exit
	// itself, after the remaining requests were cut off.
	ExitReserve = 500 * time.Millisecond
	// reasonStopping is the reason for refusing a request that a stopping gateway
	// might have to cut off.
	reasonStopping gateway.Reason = "stopping"
)

// mayOutliveGrace reports whether a request that arrives now at a draining gateway
// may still be running when the gateway exits. It is false for requests that arrive
// soon after the start of the drain: their callers could not know of it yet, and
// few requests need all of their time.
func mayOutliveGrace(drainStart, now, deadline time.Time, grace time.Duration) bool {
	return now.Sub(drainStart) >= callerMoveTimeout && deadline.After(drainStart.Add(grace-ExitReserve))
}

// refuseIfStopping returns the refusal of a request that may outlive the grace
// period of a draining node; nil if the request can be served.
func (n *Node) refuseIfStopping(r *gateway.Request, now time.Time) *gateway.Failure {
	began := n.drainStart.Load()
	if began == nil || !mayOutliveGrace(*began, now, r.Deadline, n.settings.Grace) {
		return nil
	}
	failure := &gateway.Failure{Reason: reasonStopping, NotRun: true, Message: "the node stops before the request's deadline"}
	n.events.Record(timeline.Event{Kind: timeline.KindRefused, Request: r.ID, Pool: r.Pool, Detail: fmt.Sprintf("%s (%s)", failure, gateway.OutcomeOf(r, failure))})
	return failure
}
