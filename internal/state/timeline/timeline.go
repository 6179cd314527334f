// Package timeline records the recent events of a process. Events carry timestamps
// of a hybrid logical clock, so that the events of all processes can be merged into
// one causal order.
package timeline

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Stamp is a timestamp of a hybrid logical clock: wall time in nanoseconds since the
// Unix epoch, and a counter that orders events of the same wall time.
type Stamp struct {
	Wall    int64  `json:"wall_ns"`
	Logical uint32 `json:"logical"`
}

// Compare returns a negative number if s is before o, 0 if they are equal, and a
// positive number if s is after o.
func (s Stamp) Compare(o Stamp) int {
	if c := cmp.Compare(s.Wall, o.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, o.Logical)
}

// Clock is a hybrid logical clock. Its stamps increase strictly and are greater than
// every stamp passed to Observe before. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns the next stamp at the given wall time. A nil clock returns the
// zero stamp.
func (c *Clock) Now(wall time.Time) Stamp {
	if c == nil {
		return Stamp{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ns := wall.UnixNano(); ns > c.last.Wall {
		c.last = Stamp{Wall: ns}
	} else {
		c.last.Logical++
	}
	return c.last
}

// Observe advances the clock to a stamp from another process, unless the clock is
// already ahead. A nil clock ignores it.
func (c *Clock) Observe(s Stamp) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	KindAccepted      Kind = "request_accepted"
	KindGranted       Kind = "request_granted"
	KindClaimed       Kind = "request_claimed"
	KindDispatched    Kind = "request_dispatched"
	KindEnded         Kind = "request_ended"
	KindRefused       Kind = "request_refused"
	KindResumed       Kind = "stream_resumed"
	KindContinuation  Kind = "continuation_refused"
	KindConfig        Kind = "config_in_force"
	KindConfigChange  Kind = "config_change"
	KindEvacuation    Kind = "evacuation"
	KindLeadership    Kind = "leadership"
	KindPoolLease     Kind = "pool_lease"
	KindNodeLease     Kind = "node_lease"
	KindMove          Kind = "move"
	KindDrain         Kind = "drain"
	KindUpstream      Kind = "upstream"
	KindPoison        Kind = "poison_part"
	KindPath          Kind = "path"
	KindRelayed       Kind = "request_relayed"
	KindTunnelEnded   Kind = "tunnel_ended"
	KindOrder         Kind = "order"
	KindConnection    Kind = "connection"
	KindProcess       Kind = "process"
	KindScheduler     Kind = "scheduler"
	KindRetryBudget   Kind = "retry_budget"
	KindContact       Kind = "contact"
	KindAttemptEnded  Kind = "attempt_ended"
	KindReplicaChange Kind = "replica_change"
	KindCampaign      Kind = "campaign_failed"
)

// Event is one entry of the timeline.
type Event struct {
	Stamp    Stamp           `json:"stamp"`
	Node     ident.NodeID    `json:"node"`
	Kind     Kind            `json:"kind"`
	Request  ident.RequestID `json:"request,omitempty"`
	Move     ident.MoveName  `json:"move,omitempty"`
	Pool     ident.PoolName  `json:"pool,omitempty"`
	Revision ident.Revision  `json:"revision,omitempty"`
	Detail   string          `json:"detail,omitempty"`
}

// DefaultCapacity is the number of events that a process keeps.
const DefaultCapacity = 8192

// Recorder keeps the latest events of one process in a ring buffer. It is safe for
// concurrent use.
type Recorder struct {
	node  ident.NodeID
	clock *Clock

	// lines, if set, also gets every event.
	lines *LineWriter

	mu     sync.Mutex
	events []Event
	next   int
}

// SetLineWriter sets l to also get every event. It must be called before the first event is
// recorded.
func (r *Recorder) SetLineWriter(l *LineWriter) { r.lines = l }

// NewRecorder returns a recorder that keeps the latest capacity events.
func NewRecorder(node ident.NodeID, clock *Clock, capacity int) *Recorder {
	return &Recorder{node: node, clock: clock, events: make([]Event, 0, capacity)}
}

// Record sets the node and the timestamp of an event and stores it. A nil recorder
// drops the event.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	e.Node = r.node
	e.Stamp = r.clock.Now(time.Now())
	if r.lines != nil {
		r.lines.Add(e)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Events returns the stored events that match the filter, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.Matches(e) {
			out = append(out, e)
		}
	}
	return out
}

// Filter selects events. An empty field matches every event.
type Filter struct {
	Request ident.RequestID
	Move    ident.MoveName
	Node    ident.NodeID
	Pool    ident.PoolName
}

// Matches reports whether e matches all fields of the filter.
func (f Filter) Matches(e Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Move == "" || f.Move == e.Move) &&
		(f.Node == "" || f.Node == e.Node) &&
		(f.Pool == "" || f.Pool == e.Pool)
}

// Merge returns the events of several processes, sorted by timestamp and then by
// node.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}
		return cmp.Compare(a.Node, b.Node)
	})
	return merged
}
