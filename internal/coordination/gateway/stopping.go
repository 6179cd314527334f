package gateway

import (
	"context"
	"errors"
	"time"
)

// ReasonStopping ends requests at a gateway that stops: those that would outlast it are
// refused, and those that are left at its end fail.
const ReasonStopping Reason = "stopping"

var errStopping = errors.New("this node stops")

// RefuseBeyond refuses all requests whose deadline lies after exit, when this gateway will be
// gone, and that no upstream has: those that wait, that are still arriving, and that come
// later. A request that has failed at an upstream and waits to be sent once more fails. A
// stream that has begun still goes on at another upstream.
func (g *Gateway) RefuseBeyond(exit time.Time) { g.budget.refuseBeyond(exit) }

// EndAll ends all requests that are left, so that each without an answer gets one. An answer that
// has begun is broken off. Later requests are refused.
func (g *Gateway) EndAll() {
	g.budget.endAll()
	g.endRunning(errStopping)
}

// untilEnd returns a context that also ends with EndAll, with errStopping as its cause.
func (g *Gateway) untilEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.running, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

func stoppingFailure() *Failure {
	return &Failure{Reason: ReasonStopping, NotRun: true, Message: "the node stops before the request's deadline"}
}

// refuseBeyond ends the reservations of requests that wait to be sent and would outlast exit,
// and lets none be made for such requests.
func (b *Budget) refuseBeyond(exit time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exit = exit
	for res := range b.reservations {
		b.endIfStopping(res)
	}
}

// endAll ends all reservations and lets none be made.
func (b *Budget) endAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.exit = time.Now()
	for res := range b.reservations {
		res.cancel(stoppingFailure())
	}
}

// outlasts reports whether a request with the deadline is refused because the gateway stops.
func (b *Budget) outlasts(deadline time.Time) bool {
	return !b.exit.IsZero() && deadline.After(b.exit)
}

// endIfStopping ends a reservation if its request waits to be sent and would outlast the exit.
// The memory is released by the request itself, as its body may be in use.
func (b *Budget) endIfStopping(res *Reservation) {
	if res.phase.isQueued() && b.outlasts(res.deadline) {
		res.cancel(stoppingFailure())
	}
}
