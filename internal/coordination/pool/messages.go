// Package pool runs the scheduler of a pool on the node that holds its lease, and
// connects every gateway to it.
package pool

import (
	"context"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Pool"

const (
	// PollHold is how long a Poll waits for a decision.
	PollHold = 500 * time.Millisecond
	// MaxInFlight bounds the concurrent Submit calls of one gateway.
	MaxInFlight = 4
	// CallTimeout bounds one Submit.
	CallTimeout = time.Second
	// PollTimeout bounds one Poll.
	PollTimeout = PollHold + CallTimeout
)

// Session identifies one registration of a gateway with one scheduler. A message
// of another session is refused, so that a delayed message can't undo a newer
// one.
type Session struct {
	Pool        ident.PoolName
	Epoch       ident.Epoch
	Gateway     ident.NodeID
	Incarnation ident.Incarnation
	// Number increases with each registration of the gateway's incarnation.
	Number uint64
}

// SubmitArgs carries a gateway's registration, tickets, cancellations and reports
// to the pool's scheduler.
type SubmitArgs struct {
	Session Session
	// Sequence numbers the messages of a session from 0. They are applied in this
	// order even when several are in flight.
	Sequence uint64
	// Register is set on the first message of a session.
	Register *scheduler.Registration
	Tickets  []scheduler.Ticket
	Cancels  []ident.RequestID
	Reports  []scheduler.Report
	// Stamp is the sender's timeline clock.
	Stamp timeline.Stamp
}

// LeaveArgs ends a session of a gateway that has switched to another scheduler.
type LeaveArgs struct{ Session Session }

// PollArgs asks for decisions.
type PollArgs struct {
	Session Session
}

// Reply answers Submit and Poll.
type Reply struct {
	// Refused means that the receiver has no such lease or session and applied
	// nothing of the message.
	Refused   bool
	Decisions []scheduler.Decision
	// RateLimits are the rate limits that changed since the last reply to the
	// session; PerSecond is 0 for one that has ended.
	RateLimits []scheduler.RateLimitNotice
	// Leaving are the upstreams that have said in an answer that they leave, of which the
	// session has not been told.
	Leaving []ident.UpstreamName
	// Cold are the upstreams that became cold since the last reply to the session.
	Cold []scheduler.ColdNotice
	// Pauses are those that upstreams asked the gateway for while it relayed requests of
	// others.
	Pauses []scheduler.PauseNotice
	// Poison holds the records of refused parts that changed since the last reply to
	// the session.
	Poison []poison.Record
	// Stamp is the receiver's timeline clock.
	Stamp timeline.Stamp
}

// Caller makes calls to the service on another node.
type Caller interface {
	// Call calls a method at host:port. After an error, reply must not be used.
	Call(ctx context.Context, address, method string, args, reply any) error
}
