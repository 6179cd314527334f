// Package control implements the leader's side of the replicated state: node
// leases, scheduler leases, the request ledger, the configuration and orders.
// Every replica runs a Service, but only the leader's serves calls.
package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// NodeTTL is how long a node may rely on its lease after sending a heartbeat.
	NodeTTL = 1500 * time.Millisecond
	// HeartbeatInterval is the time between two heartbeats of a node. After
	// applying an update or a view, a node sends the next heartbeat at once.
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
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 20 * time.Millisecond
)

// Service serves control calls on one replica. Its methods have the shape that
// net/rpc requires and are safe for concurrent use.
type Service struct {
	self     ident.NodeID
	proposer consensus.Proposer[machine.Result]
	machine  *machine.Machine
	// margin is expiryMargin, except in tests that show what happens without it.
	margin time.Duration

	// clock is the timeline's clock; nil if there is no timeline.
	clock *timeline.Clock

	// fleet is nil unless EnableFleet was called, which also sets followedState and
	// the limiters.
	fleet            *fleet
	followedState    func() FleetState
	syncObserver     func(Member)
	updateLimiter    *rate.Limiter
	firstSyncLimiter *rate.Limiter
	deliveries       configDeliveries
	changeTurns      turns
	confirmations    *confirmations
	rolloutTimes     rolloutTimes
	evacuationTimes  evacuationTimes
	// withheld follows the withheld versions in a term. Only Tick uses it.
	withheld withheldCheck
	// readDocument reads the text of a numbered configuration; nil if nothing does.
	readDocument config.Reader
	// keptNumber is the number of a configuration that needs no refresh, or whose text this
	// build can't read.
	// Only Tick uses it.
	keptNumber uint64

	// leadership is what the latest Tick saw, and notedTerm the term that it had begun;
	// zero if none. leadershipChanged is closed and replaced when either changes.
	leadership        consensus.Leadership
	notedTerm         uint64
	leadershipChanged chan struct{}

	// ticking is held during a Tick, so that Ticks do not overlap.
	ticking sync.Mutex

	mu sync.Mutex
	// term is the term that the fields below belong to; zero while not leading.
	term uint64
	// resignedTerm is the term in which this replica last handed over.
	resignedTerm uint64
	// lastOtherHeartbeat is when the latest heartbeat of another node arrived, or
	// when the term began.
	lastOtherHeartbeat time.Time
	nodes              map[ident.NodeID]*nodeState
	// lastRebalance is when the balance of the pools was last checked, or when
	// the term began.
	lastRebalance time.Time
	counters      Counters
}

// nodeState is the leader's state of a node that is held in memory and not
// replicated.
type nodeState struct {
	incarnation ident.Incarnation
	// lastHeartbeat is when the latest heartbeat that renewed the lease arrived.
	lastHeartbeat time.Time
	// revoking is true until the outcome of a proposed revocation is known. The
	// node gets no renewal meanwhile.
	revoking bool
	// granting is true while a grant is being committed.
	granting bool
	// superseded is true once a later incarnation of the node requested a lease.
	superseded bool
	// reported is true once the node has reported its revision and view to this
	// leader.
	reported bool
	revision ident.Revision
	view     uint64
	load     uint8
	// features is the feature level that the node has stated.
	features uint32
}

// Counters counts the service's operations since the start of the process.
type Counters struct {
	Heartbeats  uint64
	Grants      uint64
	Revocations uint64
	PoolChanges uint64
	Applies     uint64
	Claims      uint64
	Terms       uint64
}

// NewService returns the service of the replica self. The caller either calls
// Run, or Tick every TickInterval.
func NewService(self ident.NodeID, p consensus.Proposer[machine.Result], m *machine.Machine) *Service {
	return &Service{self: self, proposer: p, machine: m, margin: expiryMargin, leadershipChanged: make(chan struct{}), confirmations: newConfirmations()}
}

// SetClock makes heartbeats carry timestamps of the timeline's clock. It must be
// called before the service serves.
func (s *Service) SetClock(c *timeline.Clock) { s.clock = c }

// Run calls Tick every TickInterval until the context ends.
func (s *Service) Run(ctx context.Context) {
	if s.fleet != nil {
		go s.followOrders(ctx)
	}
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

// Tick begins a term that this replica won, expires node leases, assigns pools and raises
// the feature level. After EnableFleet, it expires members and publishes committed state
// instead of the second and the third.
func (s *Service) Tick() {
	if !s.ticking.TryLock() {
		return // the running Tick does the same
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
		s.commitPoison(leadership.Term)
		s.raiseFeatures(leadership.Term)
		s.refreshDocument(leadership.Term)
		s.noteRollouts()
		s.noteEvacuations()
		s.forgetVersions(leadership.Term, time.Now())
		s.publishCommitted()
		return
	}
	if s.resignIfUnreachable(leadership.Term) {
		return
	}
	s.expireNodes(leadership.Term)
	s.assignPools(leadership.Term)
	s.raiseFeatures(leadership.Term)
}

// noteLeadership records the leadership and wakes its waiters if it has changed, or if the
// term has begun after an attempt that failed.
func (s *Service) noteLeadership(l consensus.Leadership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != s.leadership || s.term != s.notedTerm {
		s.leadership, s.notedTerm = l, s.term
		close(s.leadershipChanged)
		s.leadershipChanged = make(chan struct{})
	}
}

// leadershipChange returns a channel that is closed when a Tick next sees a
// change of the leadership.
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

// leads reports whether this replica leads and the state in memory is that of the
// same term.
func (s *Service) leads(l consensus.Leadership) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return l.Leading && s.term == l.Term
}

// dropTerm drops the in-memory state of a term that has ended, or whose leader
// lease has expired.
func (s *Service) dropTerm(l consensus.Leadership) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = 0
	s.nodes = nil
	if s.fleet != nil {
		s.fleet.endTerm(l.Leader == s.self)
	}
}

// beginTerm commits the start of the term and reports whether the term has begun.
// A former leader can have renewed leases only for heartbeats sent before that,
// so every lease gets a full TTL from now.
func (s *Service) beginTerm(l consensus.Leadership) bool {
	s.dropTerm(l)
	if s.fleet != nil && s.fleet.resumeTerm(l.Term, time.Now()) {
		s.publishCommitted()
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
		inherited := s.followedState()
		// What this replica has followed may be older than what it has applied. No node may
		// see an evacuation, or a version that is withheld, vanish because the leader changes.
		inherited.Evacuations = s.machine.Evacuations()
		inherited.Rollouts = s.machine.Rollouts()
		s.fleet.beginTerm(l.Term, inherited, now)
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

// serving returns the term if this replica leads in a term that has begun, and
// otherwise a status with NotLeader set.
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

// stillServing reports in its status whether this replica has led in the term
// until now. If so, what it read or renewed before the call was valid.
func (s *Service) stillServing(term uint64) Status {
	current, status := s.serving()
	if status.OK() && current != term {
		return Status{NotLeader: true, Redirect: s.self, Detail: "the term has changed"}
	}
	return status
}

// propose commits a command in the current term, which must have begun.
func (s *Service) propose(command *machine.Command) (machine.Result, Status) {
	term, status := s.serving()
	if !status.OK() {
		return machine.Result{}, status
	}
	return s.proposeIn(term, command)
}

// proposeIn commits a command that was decided in the given term. The command has
// no effect once another term has begun.
func (s *Service) proposeIn(term uint64, command *machine.Command) (machine.Result, Status) {
	command.Term = term
	return s.commit(command)
}

// commit proposes a command and converts the errors of consensus to a status.
func (s *Service) commit(command *machine.Command) (machine.Result, Status) {
	ctx, cancel := context.WithTimeout(context.Background(), ProposeTimeout)
	defer cancel()
	command.At = time.Now()
	result, err := s.proposer.Propose(ctx, command.Encode())
	var notLeader *consensus.NotLeaderError
	switch {
	case err == nil && result.Superseded:
		return result, Status{NotLeader: true, Detail: "the term has ended"}
	case err == nil && result.Invalid:
		return result, Status{Uncertain: true, Detail: "the replicas could not decode the command"}
	case err == nil:
		return result, Status{}
	case errors.As(err, &notLeader):
		return result, Status{NotLeader: true, Redirect: notLeader.Leader, Detail: err.Error()}
	default:
		return result, Status{Uncertain: true, Detail: err.Error()}
	}
}

// readBarrier returns the current term once the machine reflects every
// acknowledged command.
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
