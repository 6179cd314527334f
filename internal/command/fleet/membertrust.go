package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// defaultContact is how long a dead gateway may be named, less directoryMargin, if the
	// settings don't say.
	defaultContact  = 4 * time.Second
	directoryMargin = 3 * time.Second
	// leaderDelay is how long a leader at most counts a dead gateway as a member: until the
	// sync that it had open ends, then for 700 ms. It is 1.1 s to 2.3 s in control's tests.
	leaderDelay = 2500 * time.Millisecond
	// inheritedDelay is how long a new leader keeps the members that it knew as a follower,
	// and the time until a node learns of the change.
	inheritedDelay = 2500 * time.Millisecond
	// maxServedGap is the longest time between two served syncs in which the leader can't have
	// been lost for long: a sync waits for 1 s at most.
	maxServedGap = 2 * time.Second
	// maxHeard bounds the gateways that a node remembers by itself.
	maxHeard = 4096
)

// maxMembersAge is how old a node's knowledge of the members may be for the directory: with
// leaderDelay, no gateway is named that ended longer ago than the platform's rules allow.
func (s *Settings) maxMembersAge() time.Duration { return max(0, s.maxNamed()-leaderDelay) }

// maxNamed is how long after its end a gateway may be named.
func (s *Settings) maxNamed() time.Duration {
	return cmp.Or(s.Contact, defaultContact) + directoryMargin
}

// memberTrust is as of when the members that a node knows were those of the leader, found by
// syncs of its own. It is safe for concurrent use. Times are since boot.
//
// A leader of a new term goes on with the members that it last knew as a follower, which may
// have ended long before; the same after a time without contact. Until it has dropped those that
// don't sync, the members count as known from the former contact. A node that was never in
// contact has no former knowledge that it would be worse than.
type memberTrust struct {
	mu    sync.Mutex
	known bool
	term  uint64
	// asOf is when the latest sync was sent that showed the members, and servedAt when the
	// latest one was served. While settling, the leader may not have dropped members that it
	// inherited, until settledAt.
	asOf, servedAt, settledAt time.Duration
	settling                  bool
}

// served records that a sync was served and its reply applied.
func (t *memberTrust) served(term uint64, sent, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known && (term != t.term || now-t.servedAt > maxServedGap) {
		t.settling, t.settledAt = true, now+inheritedDelay
	}
	t.settling = t.settling && now < t.settledAt
	if !t.settling {
		t.asOf = sent
	}
	t.known, t.term, t.servedAt = true, term, now
}

// age returns how long ago the members were known; known is false if they never were.
func (t *memberTrust) age(now time.Duration) (age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.asOf, t.known
}

// heardMembers holds the nodes that a node has had a sign of life from itself. It is safe for
// concurrent use. Times are since boot.
type heardMembers struct {
	mu    sync.Mutex
	nodes map[ident.NodeID]heardMember
}

type heardMember struct {
	// member is the node's description of itself; only its ID is set if it sent none.
	member control.Member
	at     time.Duration
}

// record records a sign of life of a node at the given time. A description is kept beside later
// signs without one.
func (h *heardMembers) record(m control.Member, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, found := h.nodes[m.ID]
	if !found && len(h.nodes) >= maxHeard {
		return
	}
	if m.InternalAddress == "" && found {
		m = known.member
	}
	if found {
		at = max(at, known.at)
	}
	if h.nodes == nil {
		h.nodes = make(map[ident.NodeID]heardMember)
	}
	h.nodes[m.ID] = heardMember{member: m, at: at}
}

// members returns self, and the nodes that were heard of so lately that the directory may name
// them. Those that didn't describe themselves are described by the members known before.
func (h *heardMembers) members(before []control.Member, s Settings, self control.Member, now time.Duration) []control.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.nodes, func(_ ident.NodeID, heard heardMember) bool { return now-heard.at > s.maxNamed() })
	found := []control.Member{self}
	for _, id := range slices.Sorted(maps.Keys(h.nodes)) {
		heard := h.nodes[id]
		if id == self.ID || now-heard.at > s.maxMembersAge() {
			continue
		}
		if heard.member.InternalAddress != "" {
			found = append(found, heard.member)
			continue
		}
		if at := slices.IndexFunc(before, func(m control.Member) bool { return m.ID == id }); at >= 0 {
			found = append(found, before[at])
		}
	}
	return found
}
