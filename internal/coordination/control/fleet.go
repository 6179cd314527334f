package control

import (
	"maps"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

const (
	// MaxSyncHold limits how long a sync call waits for a change. A node's proof
	// of contact with the leader is as old as the call, so this is a fraction of
	// the 5 s within which a revoked key must stop working.
	MaxSyncHold = time.Second
	// minSyncHold and syncHoldPerMember set how long a sync call waits by the
	// number of members. In a small fleet the short wait detects a lost node
	// sooner. From 60 nodes on the leader answers 200 idle syncs per second,
	// until MaxSyncHold is reached at 200 nodes.
	minSyncHold       = 300 * time.Millisecond
	syncHoldPerMember = 5 * time.Millisecond
	// memberTimeout is how long a node without an open sync call counts as live.
	// It allows for a reconnect between two calls.
	memberTimeout = 700 * time.Millisecond
	// takeoverTimeout replaces memberTimeout after a term began, when nodes must
	// first find the new leader.
	takeoverTimeout = 2 * time.Second
	// updatesPerSecond and updateBurst limit the rate of replies that carry an
	// update, over all nodes. Such a reply takes 1 ms on the smallest VM intended
	// for replicas (a quarter of a core), so that half of its time is left for
	// consensus. A change then reaches 400 nodes within 0.8 s. Nodes that have no
	// configuration yet have a separate limit of the same rate: after a restart
	// of all nodes, each node that arrives is a change for those that are already
	// up.
	updatesPerSecond = 500
	updateBurst      = 10
	// minTurnWait is how long a sync at least waits for its node's turn to get an update, also
	// after the time for which it may wait for a change. It limits the calls of nodes that wait.
	minTurnWait = 200 * time.Millisecond
	// maxLeaderWait is how long a sync waits for a leader or for the renewal of
	// the leader's lease. It is about the longest time without a leader after
	// which a replica campaigns.
	maxLeaderWait = 400 * time.Millisecond
	// updateCacheTTL is how long a packed update is reused although more has
	// changed since. While 300 nodes start, each arrival is a change, and packing
	// a new update for each took most of the leader's time. The next update
	// contains the later changes.
	updateCacheTTL = 100 * time.Millisecond
	// maxRemoved limits the names of removed members and upstreams that are kept
	// for nodes that are behind. It is more than a day of removals at the
	// intended fleet size.
	maxRemoved = 2000
)

// fleet holds what the leader knows of nodes and upstreams in its term.
type fleet struct {
	mu      sync.Mutex
	version FleetVersion
	// floor is the sequence number after which all changes are known. base is the
	// version that this replica had as a follower when its term began, whose
	// entries are those at floor; it is zero once removed names were dropped.
	// Nodes at any other version up to floor get a full update.
	floor uint64
	base  FleetVersion
	// leading is true while this replica leads in the version's term. lapsed is
	// true if it was the last leader and only its lease has expired.
	leading, lapsed bool
	// contacts holds the latest contact with each member.
	contacts  map[ident.NodeID]*memberContact
	members   versionedMap[ident.NodeID, Member]
	listed    bool
	upstreams versionedMap[ident.UpstreamName, Discovered]
	// hotReportedAt is when each team was last reported near its quota.
	hotReportedAt map[ident.TeamName]time.Time
	// teamUse holds the latest reports of schedulers that serve some of the gateways.
	teamUse map[ident.NodeID]teamUse
	// changed is closed and replaced at each change, and when the term ends.
	changed   chan struct{}
	committed committedState
	// poison holds the records of refused parts that nodes reported in this term.
	poison poison.Set
	// ends holds the ends of upstreams under requests that nodes reported, and
	// endReportedAt when they did.
	ends          versionedMap[string, poison.End]
	endReportedAt map[string]time.Time
	// updates caches packed updates by the sequence number that they start from;
	// 0 stands for a full update.
	updates map[uint64]packedUpdate
}

// memberContact is the latest contact with a member.
type memberContact struct {
	lastHeard time.Time
	// syncs is the number of open sync calls.
	syncs int
	// superseded is closed once the node has sent another sync after the latest one.
	superseded chan struct{}
	// updateDue is when the node's turn to get an update comes; zero if it waits for none.
	// A call that the node interrupts leaves its turn to the next one.
	updateDue time.Time
}

// EnableFleet makes the service keep members and upstreams as soft state in place of
// node and scheduler leases in the log. It must be called before the service
// serves. followedState returns the state that this node last received as a
// follower; a new leader starts from it.
func (s *Service) EnableFleet(followedState func() FleetState) {
	s.fleet = &fleet{changed: make(chan struct{})}
	s.followedState = followedState
	s.updateLimiter = rate.NewLimiter(updatesPerSecond, updateBurst)
	s.firstSyncLimiter = rate.NewLimiter(updatesPerSecond, updateBurst)
}

// beginTerm starts a term with the state that this replica had as a follower.
func (f *fleet) beginTerm(term uint64, inherited FleetState, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leading, f.lapsed = true, false
	f.version = FleetVersion{Term: term, Sequence: 1}
	f.floor, f.base = f.version.Sequence, inherited.Version
	f.contacts = make(map[ident.NodeID]*memberContact, len(inherited.Members))
	f.updates = make(map[uint64]packedUpdate)
	f.members = newVersionedMap[ident.NodeID](isSame[Member])
	f.upstreams = newVersionedMap[ident.UpstreamName](isSame[Discovered])
	for _, m := range inherited.Members {
		f.contacts[m.ID] = &memberContact{}
		f.members.put(m.ID, m, f.version.Sequence)
	}
	for _, d := range inherited.Upstreams {
		f.upstreams.put(d.Name, d, f.version.Sequence)
	}
	f.committed = committedState{rollouts: inherited.Rollouts, hotTeams: inherited.HotTeams, poison: inherited.Poison, evacuations: inherited.Evacuations}
	f.poison = poison.Set{}
	f.poison.Merge(inherited.Poison, now)
	f.ends = newVersionedMap[string](poison.End.Equal)
	f.endReportedAt = make(map[string]time.Time, len(inherited.Ends))
	for _, e := range inherited.Ends {
		f.ends.put(e.Key(), e, f.version.Sequence)
		f.endReportedAt[e.Key()] = now
	}
	f.listed = inherited.Listed
	f.hotReportedAt = make(map[ident.TeamName]time.Time)
	f.teamUse = make(map[ident.NodeID]teamUse)
	f.extendContacts(now)
	f.recordChange()
}

// resumeTerm continues a term after the leader's lease had expired for a moment.
// No other replica has led since, so the state is still valid. It returns false
// if the state is that of another term.
func (f *fleet) resumeTerm(term uint64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version.Term != term {
		return false
	}
	f.leading, f.lapsed = true, false
	f.extendContacts(now)
	return true
}

// extendContacts gives all members takeoverTimeout to sync again. The caller
// holds the lock.
func (f *fleet) extendContacts(now time.Time) {
	for _, contact := range f.contacts {
		contact.lastHeard = now.Add(takeoverTimeout - memberTimeout)
	}
}

// endTerm records that this replica does not lead now. lapsed is true while it
// may lead again in the same term; waiting syncs then keep waiting until that is
// ruled out.
func (f *fleet) endTerm(lapsed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hasWaiters := f.leading || f.lapsed
	f.leading, f.lapsed = false, hasWaiters && lapsed
	if hasWaiters && !lapsed {
		f.wake()
	}
}

// wake makes all waiting syncs check again for changes. The caller holds the
// lock.
func (f *fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// recordChange advances the version and wakes the waiting syncs. The caller holds
// the lock.
func (f *fleet) recordChange() {
	f.version.Sequence++
	maps.DeleteFunc(f.updates, func(_ uint64, u packedUpdate) bool { return time.Since(u.made) >= updateCacheTTL })
	if len(f.members.removed)+len(f.upstreams.removed)+len(f.ends.removed) > maxRemoved {
		f.members.forgetRemoved()
		f.upstreams.forgetRemoved()
		f.ends.forgetRemoved()
		f.floor, f.base = f.version.Sequence, FleetVersion{}
	}
	f.wake()
}

// nextSequence returns the sequence number that the next recordChange assigns.
// The caller holds the lock.
func (f *fleet) nextSequence() uint64 { return f.version.Sequence + 1 }

// startSync records that a node is live and has a sync call open. It returns
// false if this replica does not lead. A call of a former incarnation has no
// effect.
func (f *fleet) startSync(m Member, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading {
		return false
	}
	current := f.members.entries[m.ID].value.Incarnation
	if current > m.Incarnation {
		return true
	}
	if current < m.Incarnation || f.contacts[m.ID] == nil {
		f.contacts[m.ID] = &memberContact{}
	}
	if f.members.put(m.ID, m, f.nextSequence()) {
		f.recordChange()
	}
	contact := f.contacts[m.ID]
	contact.lastHeard = now
	contact.syncs++
	return true
}

// supersede ends the wait of a node's former sync calls, which the node has given up, and
// returns a channel that is closed once its next one comes.
func (f *fleet) supersede(m Member) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	contact := f.contacts[m.ID]
	if contact == nil || f.members.entries[m.ID].value.Incarnation != m.Incarnation {
		return nil
	}
	if contact.superseded != nil {
		close(contact.superseded)
	}
	contact.superseded = make(chan struct{})
	return contact.superseded
}

// turn is the outcome of waiting for the turn to get an update.
type turn int

const (
	turnCame turn = iota
	// turnSuperseded means that the node has sent another sync meanwhile.
	turnSuperseded
	// turnLater means that the turn comes after the end of the call.
	turnLater
)

// awaitTurn waits until a node may get an update, at the limiter's rate for all nodes, for at
// most patience. A node whose turn has not come keeps it for its next sync.
func (f *fleet) awaitTurn(m Member, limiter *rate.Limiter, superseded <-chan struct{}, patience time.Duration) turn {
	f.mu.Lock()
	var due time.Time
	contact := f.contacts[m.ID]
	if contact != nil {
		due = contact.updateDue
	}
	if due.IsZero() {
		due = time.Now().Add(limiter.Reserve().Delay())
	}
	if contact != nil {
		contact.updateDue = due
	}
	f.mu.Unlock()
	wait := time.Until(due)
	timer := time.NewTimer(min(wait, patience))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-superseded:
		return turnSuperseded
	}
	select {
	case <-superseded:
		return turnSuperseded
	default:
	}
	if contact != nil && wait > patience {
		return turnLater
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if contact != nil {
		contact.updateDue = time.Time{}
	}
	return turnCame
}

// endSync records that a node's sync call has ended.
func (f *fleet) endSync(m Member, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	contact := f.contacts[m.ID]
	if contact == nil || f.members.entries[m.ID].value.Incarnation != m.Incarnation || contact.syncs == 0 {
		return
	}
	contact.syncs--
	contact.lastHeard = now
}

// expire removes the nodes without an open sync call that have been silent for
// longer than memberTimeout.
func (f *fleet) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading {
		return
	}
	removed := false
	for id, contact := range f.contacts {
		if contact.syncs == 0 && now.Sub(contact.lastHeard) > memberTimeout {
			delete(f.contacts, id)
			removed = f.members.remove(id, f.nextSequence()) || removed
		}
	}
	if removed {
		f.recordChange()
	}
}

// Upstreams returns the upstreams that the leader distributes, and nil if this
// replica does not lead.
func (s *Service) Upstreams() []Discovered {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if !s.fleet.leading {
		return nil
	}
	found, _ := s.fleet.upstreams.since(0)
	return found
}

// SetUpstreams replaces the upstreams that the leader distributes. complete is
// true if they come from a complete read of the platform's list. It does nothing
// if this replica does not lead.
func (s *Service) SetUpstreams(found []Discovered, complete bool) {
	f := s.fleet
	byName := make(map[ident.UpstreamName]Discovered, len(found))
	for _, d := range found {
		byName[d.Name] = d
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading {
		return
	}
	changed := f.upstreams.replace(byName, f.nextSequence())
	if changed || complete && !f.listed {
		f.listed = f.listed || complete
		f.recordChange()
	}
}
