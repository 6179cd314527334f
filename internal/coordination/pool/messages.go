// Package pool runs the scheduler of a pool on the node that holds its lease,
// and connects every gateway with it.
package pool

import (
	"context"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Pool"

const (
	// PollHold is how long a Poll waits for a decision.
	PollHold = 500 * time.Millisecond
	// MaxInFlight bounds the Submits of one gateway that are under way.
	MaxInFlight = 4
	// CallTimeout bounds one Submit.
	CallTimeout = time.Second
	// PollTimeout bounds one Poll.
	PollTimeout = PollHold + CallTimeout
)

// Session names one registration of a gateway with one scheduler. A message of
// another session is refused, so that a late message can't undo a newer one.
type Session struct {
	Pool        ident.PoolName
	Epoch       ident.Epoch
	Gateway     ident.NodeID
	Incarnation ident.Incarnation
	// Number grows with each registration of the gateway's incarnation.
	Number uint64
}

// SubmitArgs carries what a gateway has to tell the pool's scheduler.
type SubmitArgs struct {
	Session Session
	// Sequence numbers the messages of a session from 0. They take effect in
	// this order, also when several are under way.
	Sequence uint64
	// Register is set on the first message of a session.
	Register *scheduler.Registration
	Tickets  []scheduler.Ticket
	Cancels  []ident.RequestID
	Reports  []scheduler.Report
	// Stamp is the sender's time line clock.
	Stamp timeline.Stamp
}

// LeaveArgs ends a session: the gateway has turned to another scheduler.
type LeaveArgs struct{ Session Session }

// PollArgs asks for decisions.
type PollArgs struct {
	Session Session
}

// Reply answers Submit and Poll.
type Reply struct {
	// Refused means that the receiver holds no such lease or session; nothing
	// of the message took effect.
	Refused   bool
	Decisions []scheduler.Decision
	// Stamp is the receiver's time line clock.
	Stamp timeline.Stamp
}

// Caller reaches the service on another node.
type Caller interface {
	// Call calls a method at host:port. After an error, reply must not be used.
	Call(ctx context.Context, address, method string, args, reply any) error
}
