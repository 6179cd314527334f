// Package control is the leader's side of the replicated state: node leases,
// scheduler leases, the request ledger, the configuration and orders. Every
// replica runs a Service; only the leader's serves.
package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// NodeTTL is how long a node relies on its lease after sending a heartbeat.
	NodeTTL = 1500 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of a node. A node
	// sends the next one at once after it took in an update or a view.
	HeartbeatInterval = 500 * time.Millisecond
	// expiryMargin covers the drift between two clocks during a lease.
	expiryMargin = 300 * time.Millisecond
	// TickInterval is the time between two calls of Tick.
	TickInterval = 100 * time.Millisecond
	// ProposeTimeout bounds the wait for one commit.
	ProposeTimeout = 2 * time.Second
	// MaxLookupWait bounds the wait of a lookup.
	MaxLookupWait = 2 * time.Second
	// MaxApplyWait bounds the wait of an apply.
	MaxApplyWait = 10 * time.Second
	// pollInterval is the time between two looks at a condition waited for.
	pollInterval = 20 * time.Millisecond
)

// Service serves control calls on one replica. Its methods have the shape that
// net/rpc requires and are safe for concurrent use.
type Service struct {
	self     ident.NodeID
	proposer consensus.Proposer[machine.Result]
	machine  *machine.Machine
	// margin is expiryMargin but in tests that show what happens without it.
	margin time.Duration

	// clock is the time line's; it is nil where none is kept.
	clock *timeline.Clock

	// fleet is nil unless RunFleet was called; the others are set with it.
	fleet            *fleet
	followedState    func() FleetState
	updateLimiter    *rate.Limiter
	firstSyncLimiter *rate.Limiter
	deliveries       configDeliveries

	// leadership is what the latest Tick saw; led is closed and replaced when it
	// changes, and when a term begins.
	leadership        consensus.Leadership
	leadershipChanged chan struct{}

	// ticking keeps one Tick from running beside another.
	ticking sync.Mutex

	mu sync.Mutex
	// term is the term whose memory is held; zero while not leading.
	term uint64
	// resignedTerm is the term in which this replica last handed over.
	resignedTerm uint64
	// lastOtherHeartbeat is when the latest heartbeat of another node came, or when
	// the term began.
	lastOtherHeartbeat time.Time
	nodes              map[ident.NodeID]*nodeState
	// lastRebalance is when a lease was last moved to spread the pools.
	lastRebalance time.Time
	counters      Counters
}

// nodeState is what a leader remembers of a node between commits.
type nodeState struct {
	incarnation ident.Incarnation
	// lastHeartbeat is when the latest heartbeat that renewed the lease was taken in.
	lastHeartbeat time.Time
	// revoking nodes get no renewal until their revocation is settled.
	revoking bool
	// granting is true while a grant is being committed.
	granting bool
	// superseded is true once a later life of the node asked for a lease.
	superseded bool
	// reported is true once the node named its revision and view to this leader.
	reported bool
	revision ident.Revision
	view     uint64
	load     uint8
}

// Counters count the service's doings since the start of the process.
type Counters struct {
	Heartbeats  uint64
	Grants      uint64
	Revocations uint64
	PoolChanges uint64
	Applies     uint64
	Claims      uint64
	Terms       uint64
}

// NewService returns the service of the replica self. The caller drives it by
// Run, or by calling Tick every TickInterval.
func NewService(self ident.NodeID, p consensus.Proposer[machine.Result], m *machine.Machine) *Service {
	return &Service{self: self, proposer: p, machine: m, margin: expiryMargin, leadershipChanged: make(chan struct{})}
}

// SetClock has heartbeats carry the time line's clock. It is called before the
// service serves.
func (s *Service) SetClock(c *timeline.Clock) { s.clock = c }

// Run drives the service until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Tick()
		}
	}
}

// Tick begins a term that this replica won, expires node leases and assigns
// pools.
func (s *Service) Tick() {
	if !s.ticking.TryLock() {
		return // the tick under way does the same
	}
	defer s.ticking.Unlock()
	leadership := s.proposer.Leadership()
	defer s.noteLeadership(leadership)
	if !leadership.Leading {
		s.dropTerm(leadership)
		return
	}
	if !s.leads(leadership) && !s.beginTerm(leadership) {
		return
	}
	if s.fleet != nil {
		s.fleet.expire(time.Now())
		s.commitHotTeams(leadership.Term)
		s.publishCommitted()
		return
	}
	if s.resignIfUnreachable(leadership.Term) {
		return
	}
	s.expireNodes(leadership.Term)
	s.assignPools(leadership.Term)
}

// noteLeadership wakes those who wait for a leader if anything has changed.
func (s *Service) noteLeadership(l consensus.Leadership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != s.leadership {
		s.leadership = l
		close(s.leadershipChanged)
		s.leadershipChanged = make(chan struct{})
	}
}

// leadershipChange returns a channel that is closed at the next change of the
// leadership that a Tick sees.
func (s *Service) leadershipChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leadershipChanged
}

// Counters returns a copy of the counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// leads tells whether the memory held is that of the present term.
func (s *Service) leads(l consensus.Leadership) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.Leading && s.term == l.Term
}

// dropTerm drops the memory of a term that has ended, or whose lease has.
func (s *Service) dropTerm(l consensus.Leadership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = 0
	s.nodes = nil
	if s.fleet != nil {
		s.fleet.endTerm(l.Leader == s.self)
	}
}

// beginTerm commits the start of the term. Every lease that a former leader can
// have renewed began before; it gets a full TTL from now.
func (s *Service) beginTerm(l consensus.Leadership) bool {
	s.dropTerm(l)
	if s.fleet != nil && s.fleet.resumeTerm(l.Term, time.Now()) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.term = l.Term
		return true
	}
	command := &machine.Command{Begin: &machine.Begin{Leader: s.self, Term: l.Term}}
	result, status := s.commit(command)
	if !status.OK() || result.Superseded {
		return false
	}
	now := time.Now()
	if s.fleet != nil {
		s.fleet.beginTerm(l.Term, s.followedState(), now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = l.Term
	s.lastRebalance = now
	s.lastOtherHeartbeat = now
	s.counters.Terms++
	s.nodes = make(map[ident.NodeID]*nodeState)
	for _, node := range s.machine.Nodes() {
		s.nodes[node.ID] = &nodeState{incarnation: node.Incarnation, lastHeartbeat: now}
	}
	return true
}

// serving tells whether this replica leads in a term that has begun.
func (s *Service) serving() (uint64, Status) {
	leadership := s.proposer.Leadership()
	if !leadership.Leading {
		return 0, Status{NotLeader: true, Redirect: leadership.Leader, Detail: "not the leader"}
	}
	if !s.leads(leadership) {
		return 0, Status{NotLeader: true, Redirect: s.self, Detail: "the leader's term has not begun"}
	}
	return leadership.Term, Status{}
}

// stillServing tells whether this replica has led in the term until now: what
// it read or renewed before the call was true.
func (s *Service) stillServing(term uint64) Status {
	current, status := s.serving()
	if status.OK() && current != term {
		return Status{NotLeader: true, Redirect: s.self, Detail: "the term has changed"}
	}
	return status
}

// propose commits a command in the present term, which must have begun.
func (s *Service) propose(command *machine.Command) (machine.Result, Status) {
	term, status := s.serving()
	if !status.OK() {
		return machine.Result{}, status
	}
	return s.proposeIn(term, command)
}

// proposeIn commits a command that was decided in a term. It has no effect
// once another term has begun.
func (s *Service) proposeIn(term uint64, command *machine.Command) (machine.Result, Status) {
	command.Term = term
	return s.commit(command)
}

// commit proposes a command and turns the errors of consensus into a status.
func (s *Service) commit(command *machine.Command) (machine.Result, Status) {
	ctx, cancel := context.WithTimeout(context.Background(), ProposeTimeout)
	defer cancel()
	command.At = time.Now()
	result, err := s.proposer.Propose(ctx, command.Encode())
	var notLeader *consensus.NotLeaderError
	switch {
	case err == nil && result.Superseded:
		return result, Status{NotLeader: true, Detail: "the term has ended"}
	case err == nil:
		return result, Status{}
	case errors.As(err, &notLeader):
		return result, Status{NotLeader: true, Redirect: notLeader.Leader, Detail: err.Error()}
	default:
		return result, Status{Uncertain: true, Detail: err.Error()}
	}
}

// readBarrier returns once the machine reflects every acknowledged command.
func (s *Service) readBarrier() (uint64, Status) {
	term, status := s.serving()
	if !status.OK() {
		return 0, status
	}
	ctx, cancel := context.WithTimeout(context.Background(), ProposeTimeout)
	defer cancel()
	if err := s.proposer.ReadBarrier(ctx); err != nil {
		return 0, Status{NotLeader: true, Detail: err.Error()}
	}
	return term, Status{}
}
