package control

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

const (
	// MaxSyncHold bounds how long a sync waits for a change. The node's proof
	// of fresh contact is as old as the call, so this is a fraction of the time
	// in which a revoked key must stop working (5 s).
	MaxSyncHold = time.Second
	// minSyncHold and syncPace set the hold by the number of members: a lost node
	// is noticed sooner in a small fleet; from 60 nodes on the leader answers 200
	// idle syncs a second, until the longest hold is reached at 200 nodes.
	minSyncHold       = 300 * time.Millisecond
	syncHoldPerMember = 5 * time.Millisecond
	// memberTimeout is how long a node without a sync under way counts as
	// live: a connection may have to be made anew in between.
	memberTimeout = 700 * time.Millisecond
	// takeoverTimeout is the same right after a term began, when nodes must
	// first find the new leader.
	takeoverTimeout = 2 * time.Second
	// updatesPerSecond and updateBurst pace the replies that carry something, over
	// all nodes: at the 1 ms that one takes on the smallest VM meant for replicas (a
	// quarter of a core), half of its time is left for the consensus. A change then
	// reaches 400 nodes within 0.8 s. Nodes that have nothing yet are paced apart, at
	// the same rate: after a restart of all nodes each that comes changes something
	// for those that are up already.
	updatesPerSecond = 500
	updateBurst      = 10
	// maxLeaderWait is how long a sync waits for a leader, or for a lease to be renewed:
	// about the longest time without a leader after which a replica campaigns.
	maxLeaderWait = 400 * time.Millisecond
	// updateCacheTTL is how long an update is handed out although more has changed since:
	// while 300 nodes start, each arrival is a change, and to pack all anew for each
	// took most of the leader's time. What an update lacks comes with the next one.
	updateCacheTTL = 100 * time.Millisecond
	// maxRemoved bounds the names of members and upstreams that left and are kept for
	// nodes that are behind: more than a day's at the size that is aimed at.
	maxRemoved = 2000
)

// fleet is the leader's knowledge of nodes and upstreams in its term.
type fleet struct {
	mu      sync.Mutex
	version FleetVersion
	// floor is the sequence number since when all changes are known, and base the
	// version before it that had the same entries: what the leader knew as a
	// follower. Nodes at other versions from before are told everything.
	floor uint64
	base  FleetVersion
	// leading is true while this replica leads in the version's term, and lapsed
	// while it did so last and only its lease has run out.
	leading, lapsed bool
	// contacts holds when members were last contacts.
	contacts  map[ident.NodeID]*memberContact
	members   versionedMap[ident.NodeID, Member]
	listed    bool
	upstreams versionedMap[ident.UpstreamName, Discovered]
	// hotReportedAt is when each team was last reported near its quota.
	hotReportedAt map[ident.TeamName]time.Time
	// changed is closed and replaced at each change, and when the term ends.
	changed           chan struct{}
	committedRollouts []rollout.Record
	committedHotTeams []ident.TeamName
	// updates holds what nodes lack, packed, by the sequence number since when; 0
	// stands for all of it.
	updates map[uint64]packedUpdate
}

// packedUpdate is an update to a version, and when it was made.
type packedUpdate struct {
	to     FleetVersion
	packed []byte
	made   time.Time
}

// memberContact is when a member was last heard.
type memberContact struct {
	lastHeard time.Time
	// syncs counts the calls under way.
	syncs int
}

// RunFleet makes the service keep soft members and upstreams in place of node
// and scheduler leases in the log. It is called before the service serves. Known
// returns what this node last learned as a follower; a new leader begins with it.
func (s *Service) RunFleet(followedState func() FleetState) {
	s.fleet = &fleet{changed: make(chan struct{})}
	s.followedState = followedState
	s.updateLimiter = rate.NewLimiter(updatesPerSecond, updateBurst)
	s.firstSyncLimiter = rate.NewLimiter(updatesPerSecond, updateBurst)
}

// beginTerm starts a term with the members and upstreams known before.
func (f *fleet) beginTerm(term uint64, inherited FleetState, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leading, f.lapsed = true, false
	f.version = FleetVersion{Term: term, Sequence: 1}
	f.floor, f.base = f.version.Sequence, inherited.Version
	f.contacts = make(map[ident.NodeID]*memberContact, len(inherited.Members))
	f.updates = make(map[uint64]packedUpdate)
	f.members = newVersionedMap[ident.NodeID, Member]()
	f.upstreams = newVersionedMap[ident.UpstreamName, Discovered]()
	for _, m := range inherited.Members {
		f.contacts[m.ID] = &memberContact{}
		f.members.put(m.ID, m, f.version.Sequence)
	}
	for _, d := range inherited.Upstreams {
		f.upstreams.put(d.Name, d, f.version.Sequence)
	}
	f.committedRollouts, f.committedHotTeams = inherited.Rollouts, inherited.HotTeams
	f.listed = inherited.Listed
	f.hotReportedAt = make(map[ident.TeamName]time.Time)
	f.extendContacts(now)
	f.recordChange()
}

// resumeTerm goes on with a term whose lease had run out for a moment: no other
// replica has led since, so all that is known still holds. It returns false if the
// term is another one.
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

// extendContacts gives members time to be heard again. The caller holds the lock.
func (f *fleet) extendContacts(now time.Time) {
	for _, contact := range f.contacts {
		contact.lastHeard = now.Add(takeoverTimeout - memberTimeout)
	}
}

// endTerm notes that this replica does not lead now. Lapsed is true while it may lead
// again in the same term: waiting syncs go on until that is out of the question.
func (f *fleet) endTerm(lapsed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hasWaiters := f.leading || f.lapsed
	f.leading, f.lapsed = false, hasWaiters && lapsed
	if hasWaiters && !lapsed {
		f.wake()
	}
}

// wake has all waiting syncs look again. The caller holds the lock.
func (f *fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// recordChange counts a change and wakes the syncs. The caller holds the lock.
func (f *fleet) recordChange() {
	f.version.Sequence++
	maps.DeleteFunc(f.updates, func(_ uint64, u packedUpdate) bool { return time.Since(u.made) >= updateCacheTTL })
	if len(f.members.removed)+len(f.upstreams.removed) > maxRemoved {
		f.members.forgetRemoved()
		f.upstreams.forgetRemoved()
		f.floor, f.base = f.version.Sequence, FleetVersion{}
	}
	f.wake()
}

// nextSequence is the sequence number of a change that note will count.
func (f *fleet) nextSequence() uint64 { return f.version.Sequence + 1 }

// startSync notes that a node lives, and that its sync is under way.
func (f *fleet) startSync(m Member, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading {
		return false
	}
	present := f.members.entries[m.ID].value.Incarnation
	if present > m.Incarnation {
		return true
	}
	if present < m.Incarnation || f.contacts[m.ID] == nil {
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

// endSync notes that a node's sync has ended.
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

// expire forgets the nodes that have been silent for too long.
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

// Upstreams returns the upstreams that the leader spreads; none at a replica that
// doesn't lead.
func (s *Service) Upstreams() []Discovered {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if !s.fleet.leading {
		return nil
	}
	found, _ := s.fleet.upstreams.since(0)
	return found
}

// SetUpstreams replaces the upstreams that the leader spreads; complete is true if
// they come from a whole reading of the list. It does nothing at a replica that
// doesn't lead.
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

// setCommitted takes in the committed rollouts and hot teams.
func (f *fleet) setCommitted(rollouts []rollout.Record, hot []ident.TeamName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading || slices.EqualFunc(f.committedRollouts, rollouts, sameRollout) && slices.Equal(f.committedHotTeams, hot) {
		return
	}
	f.committedRollouts, f.committedHotTeams = rollouts, hot
	f.recordChange()
}

// sameRollout compares records that may come from the log and from another node:
// their clocks read the same but need not be equal.
func sameRollout(a, b rollout.Record) bool {
	return a.Pool == b.Pool && a.Number == b.Number && a.State == b.State
}

// deliveryFor returns what a node at a version lacks, or lacked a moment ago.
func (f *fleet) deliveryFor(have FleetVersion) (d FleetDelivery, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.leading || !f.version.Newer(have) {
		return d, nil
	}
	since := f.since(have)
	update, cached := f.updates[since]
	if !cached || !update.to.Newer(have) || update.to != f.version && time.Since(update.made) >= updateCacheTTL {
		packed, err := pack(f.updateSince(since))
		if err != nil {
			return d, fmt.Errorf("control: update of members and upstreams: %w", err)
		}
		update = packedUpdate{to: f.version, packed: packed, made: time.Now()}
		f.updates[since] = update
	}
	d.Packed = update.packed
	if since != 0 {
		d.From = have
	}
	return d, nil
}

// newer reports whether a node at a version lacks something. Changed is closed at
// the next change.
func (f *fleet) newer(have FleetVersion) (changed <-chan struct{}, newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed, f.leading && f.version.Newer(have)
}

// since returns the sequence number of a version if all that changed after it is
// known, else 0. The caller holds the lock.
func (f *fleet) since(have FleetVersion) uint64 {
	switch {
	case have == FleetVersion{}:
		return 0
	case have == f.base:
		return f.floor
	case have.Term == f.version.Term && have.Sequence > f.floor:
		return have.Sequence
	default:
		return 0
	}
}

// updateSince returns all that changed after a sequence number. The caller holds
// the lock.
func (f *fleet) updateSince(sequence uint64) *FleetUpdate {
	u := &FleetUpdate{To: f.version, Listed: f.listed, Rollouts: f.committedRollouts, HotTeams: f.committedHotTeams}
	u.Members, u.MembersGone = f.members.since(sequence)
	u.Upstreams, u.UpstreamsGone = f.upstreams.since(sequence)
	return u
}
