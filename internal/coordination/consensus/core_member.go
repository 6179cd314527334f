package consensus

import (
	"errors"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// Errors of membership changes. All mean that the membership is unchanged.
var (
	// ErrChangePending means that an earlier change has not committed yet.
	ErrChangePending = errors.New("consensus: another membership change is in progress")
	// ErrNotCaughtUp means that the learner lacks committed entries.
	ErrNotCaughtUp = errors.New("consensus: the learner has not caught up")
	// ErrNoSuchMember means that the replica is not a member.
	ErrNoSuchMember = errors.New("consensus: no such member")
	// ErrRemoved means that this incarnation was removed and can't join again.
	ErrRemoved = errors.New("consensus: this incarnation was removed from the cluster")
	// ErrTooManyMembers means that MaxMembers is reached.
	ErrTooManyMembers = errors.New("consensus: too many members")
	// ErrIDInUse means that the ID belongs to another incarnation, which is the
	// leader.
	ErrIDInUse = errors.New("consensus: the ID is in use by the leader")
	// ErrLastVoter means that the change would remove the only voter.
	ErrLastVoter = errors.New("consensus: the only voter can't be removed")
)

// adoptConfigs puts the memberships contained in new entries into effect.
func (c *core) adoptConfigs(entries []wal.Entry) error {
	for _, entry := range entries {
		if entry.Kind != entryMembers {
			continue
		}
		members, err := decodeMembership(entry.Data)
		if err != nil {
			return err
		}
		c.configs = append(c.configs, configAt{index: entry.Index, members: members})
	}
	return nil
}

// dropConfigsAbove reverts the memberships whose entries were truncated.
func (c *core) dropConfigsAbove(index uint64) {
	for len(c.configs) > 1 && c.configIndex() > index {
		c.configs = c.configs[:len(c.configs)-1]
	}
}

// pruneConfigs drops memberships that a later committed one replaced.
func (c *core) pruneConfigs() {
	for len(c.configs) > 1 && c.configs[1].index <= c.commit {
		c.configs = c.configs[1:]
	}
}

// configIndex returns the log index of the membership in effect.
func (c *core) configIndex() uint64 {
	return c.configs[len(c.configs)-1].index
}

// checkChangeAllowed returns the reason why no membership change may begin now,
// or nil.
func (c *core) checkChangeAllowed() error {
	if c.role != leader || c.transferring {
		return &NotLeaderError{Leader: c.leader.ID}
	}
	if c.commit < c.termStart || c.configIndex() > c.commit {
		return ErrChangePending
	}
	return nil
}

// appendMembership appends a new membership to the log and returns its index.
// The membership takes effect at once, before it is committed.
func (c *core) appendMembership(now time.Time, next Membership) uint64 {
	index := c.appendLocal(wal.Entry{Kind: entryMembers, Data: next.encode()})
	c.configs = append(c.configs, configAt{index: index, members: next})
	c.syncProgress(now)
	return index
}

// errAnnounced means that a change of votes was announced. The caller repeats it
// once the announcement is committed.
var errAnnounced = errors.New("consensus: the change of votes was announced")

// changeMembership appends a new membership. One that takes or gives a vote must
// be announced by a committed membership, so that every quorum holds it: a replica
// that recovers its vote learns from one member of each quorum which voters may be
// in effect. If the change is not announced yet, changeMembership announces it,
// together with the changes of following, and returns errAnnounced.
func (c *core) changeMembership(now time.Time, next Membership, following ...Replica) (uint64, error) {
	current := c.members()
	changed := current.changedVoters(next)
	for _, r := range changed {
		if !current.member(r).Changing && !c.faults.unannounced {
			c.announcedAt = now
			return c.appendMembership(now, current.announcing(append(changed, following...)...)), errAnnounced
		}
	}
	left := slices.DeleteFunc(current.changing(), func(r Replica) bool { return slices.Contains(changed, r) })
	next = next.announcing(left...)
	next.VotesChanged = len(changed) > 0
	return c.appendMembership(now, next), nil
}

// settleMembership confirms a change of votes, and withdraws an announcement that no
// change has followed for SilentVoterTimeout.
func (c *core) settleMembership(now time.Time) {
	current := c.members()
	withdrawn := len(current.changing()) > 0 && now.Sub(latest(c.announcedAt, c.leaderSince)) >= SilentVoterTimeout
	switch {
	case withdrawn:
		c.appendMembership(now, current.announcing())
	case current.VotesChanged:
		c.appendMembership(now, current.announcing(current.changing()...))
	}
}

// addLearner adds a learner and returns the index of the membership entry. An
// auto learner is promoted without an operator; a learner that left becomes one
// again.
func (c *core) addLearner(now time.Time, r Replica, auto bool) (uint64, error) {
	if err := c.checkChangeAllowed(); err != nil {
		return 0, err
	}
	switch {
	case c.members().retired(r):
		return 0, ErrRemoved
	case c.replaceDead && c.members().Role(r) == RoleLearner && auto && !c.members().member(r).AutoPromote:
		return c.appendMembership(now, c.members().withMember(Member{Replica: r, Role: RoleLearner, AutoPromote: true})), nil
	case c.members().Role(r) != RoleNone:
		return c.configIndex(), nil
	}
	next := c.members().withLearner(r, auto)
	if len(next.Members) > MaxMembers {
		return 0, ErrTooManyMembers
	}
	return c.appendMembership(now, next), nil
}

// promote turns a learner that has caught up into a voter.
func (c *core) promote(now time.Time, r Replica) (uint64, error) {
	if err := c.checkChangeAllowed(); err != nil {
		return 0, err
	}
	switch c.members().Role(r) {
	case RoleNone:
		return 0, ErrNoSuchMember
	case RoleVoter:
		return c.configIndex(), nil
	}
	if c.progress[r].match < c.commit {
		return 0, ErrNotCaughtUp
	}
	return c.changeMembership(now, c.members().withMember(Member{Replica: r, Role: RoleVoter}))
}

// remove removes a replica permanently: the incarnation can't join again.
func (c *core) remove(now time.Time, r Replica) (uint64, error) {
	if err := c.checkChangeAllowed(); err != nil {
		return 0, err
	}
	if c.members().Role(r) == RoleNone {
		return 0, ErrNoSuchMember
	}
	next := c.members().without(r)
	if len(next.Voters()) == 0 {
		return 0, ErrLastVoter
	}
	return c.changeMembership(now, next)
}

// join adds a learner that later replaces older incarnations of its ID. If there
// are too many members, a learner that is silent is removed first; the replica
// has to ask again.
func (c *core) join(now time.Time, r Replica) (uint64, error) {
	if r.ID == c.self.ID && r != c.self {
		return 0, ErrIDInUse
	}
	index, err := c.addLearner(now, r, true)
	if errors.Is(err, ErrTooManyMembers) && c.replaceDead {
		if stale, silent := c.longestSilentLearner(now); silent >= SilentVoterTimeout {
			c.appendMembership(now, c.members().without(stale))
		}
	}
	return index, err
}

// advanceMembership takes the next step towards a membership in which every
// voter is alive. A learner that joined and has caught up becomes a voter, after
// an older incarnation of its ID was removed. With replaceDead, a silent voter
// becomes a learner while there are more voters than minVoters. The others
// tolerate at least as many losses without it, since a majority never grows.
func (c *core) advanceMembership(now time.Time) {
	if c.checkChangeAllowed() != nil {
		return
	}
	if next, following, found := c.nextMembership(now); found {
		_, _ = c.changeMembership(now, next, following...)
		return
	}
	c.settleMembership(now)
}

// nextMembership returns the membership to which advanceMembership goes, if any,
// and the replicas whose votes change right after it.
func (c *core) nextMembership(now time.Time) (next Membership, following []Replica, found bool) {
	learner, waiting := c.promotable(now)
	if waiting {
		if old, found := c.otherIncarnation(learner); found {
			return c.members().without(old), []Replica{learner}, true
		}
	}
	if c.replaceDead {
		voter, silent := c.longestSilentVoter(now)
		if silent >= SilentVoterTimeout && c.hasSpareVoter() {
			return c.members().withMember(Member{Replica: voter, Role: RoleLearner, AutoPromote: true}), nil, true
		}
		if stale, silent := c.longestSilentLearner(now); silent >= staleLearnerTimeout {
			return c.members().without(stale), nil, true
		}
		// Another voter beside one that doesn't answer would raise the quorum while
		// a vote is missing. The place of a dead voter is taken by promoting first:
		// taking its vote first would leave fewer voters than minVoters for a moment.
		if silent >= DeadVoterTimeout {
			following = []Replica{voter}
		}
		waiting = waiting && (silent >= DeadVoterTimeout || c.allVotersAnswer(now))
	}
	if waiting {
		return c.members().withMember(Member{Replica: learner, Role: RoleVoter}), following, true
	}
	return Membership{}, nil, false
}

const (
	// SilentVoterTimeout is how long a voter must be silent before it loses its
	// vote if there are more voters than needed.
	SilentVoterTimeout = time.Second
	// DeadVoterTimeout is how long a voter must be silent before a learner takes
	// its place. It is longer than a kill and restart; a replacement must complete
	// within the 4 s that deployments give a new VM to catch up.
	DeadVoterTimeout = 3 * time.Second
	// staleLearnerTimeout is how long a learner must be silent before it is
	// removed. It is longer than any restart, since the replica must empty its
	// data folder to join again.
	staleLearnerTimeout = time.Minute
)

// promotable returns a learner that joined without an operator and has caught
// up.
func (c *core) promotable(now time.Time) (Replica, bool) {
	for _, member := range c.members().Members {
		if member.AutoPromote && member.Role == RoleLearner && c.caughtUp(now, member.Replica) {
			return member.Replica, true
		}
	}
	return Replica{}, false
}

// longestSilentVoter returns the other voter that has been silent for longest,
// and for how long.
func (c *core) longestSilentVoter(now time.Time) (Replica, time.Duration) {
	return c.longestSilent(now, RoleVoter)
}

// longestSilentLearner returns the learner that has been silent for longest, and
// for how long.
func (c *core) longestSilentLearner(now time.Time) (Replica, time.Duration) {
	return c.longestSilent(now, RoleLearner)
}

func (c *core) longestSilent(now time.Time, role Role) (Replica, time.Duration) {
	var found Replica
	var longest time.Duration
	for _, member := range c.members().Members {
		if member.Role != role || member.Replica == c.self {
			continue
		}
		if silent := c.silence(now, member.Replica); silent > longest {
			found, longest = member.Replica, silent
		}
	}
	return found, longest
}

// allVotersAnswer reports whether every other voter answered in this term,
// within the last ElectionMax.
func (c *core) allVotersAnswer(now time.Time) bool {
	for _, voter := range c.members().Voters() {
		if voter != c.self && now.Sub(c.progress[voter].ackedAt) >= c.timing.ElectionMax {
			return false
		}
	}
	return true
}

// hasSpareVoter reports whether there are more voters than minVoters.
func (c *core) hasSpareVoter() bool {
	return len(c.members().Voters()) > c.minVoters
}

// leave takes the vote of a replica that is about to stop, if there are more
// voters than minVoters. The replica becomes a learner until it joins again.
func (c *core) leave(now time.Time, r Replica) (uint64, error) {
	if err := c.checkChangeAllowed(); err != nil {
		return 0, err
	}
	if c.members().Role(r) != RoleVoter || !c.hasSpareVoter() {
		return c.configIndex(), nil
	}
	return c.changeMembership(now, c.members().withMember(Member{Replica: r, Role: RoleLearner}))
}

// caughtUp reports whether a learner answered recently and holds all committed
// entries.
func (c *core) caughtUp(now time.Time, r Replica) bool {
	p := c.progress[r]
	return p.match >= c.commit && now.Sub(p.ackedAt) < c.timing.ElectionMin
}

// otherIncarnation returns another member with the same ID.
func (c *core) otherIncarnation(r Replica) (Replica, bool) {
	for _, member := range c.members().Members {
		if member.Replica.ID == r.ID && member.Replica != r {
			return member.Replica, true
		}
	}
	return Replica{}, false
}

// adoptGenesis sets the first membership when the replica becomes part of a
// cluster.
func (c *core) adoptGenesis(now time.Time, members Membership) {
	c.configs[0].members = members
	c.resetElection(now)
	if c.soleVoter() {
		c.electionAt = now
	}
}

// transfer starts a leadership transfer to a voter that holds the whole log.
// The leader gives up its lease for the rest of the term.
func (c *core) transfer() {
	if c.role != leader {
		return
	}
	c.transferring = true
	c.continueTransfer()
}

// continueTransfer asks the voter that answered most recently to campaign, as soon
// as one holds the whole log.
func (c *core) continueTransfer() {
	if !c.transferring || c.transferTo != (Replica{}) {
		return
	}
	var best Replica
	for _, voter := range c.members().Voters() {
		p := c.progress[voter]
		if p == nil || p.match != c.log.last() {
			continue
		}
		if best == (Replica{}) || p.ackedAt.After(c.progress[best].ackedAt) {
			best = voter
		}
	}
	if best != (Replica{}) {
		c.transferTo = best
		c.out.sends = append(c.out.sends, outbound{to: best, elect: &ElectRequest{Term: c.term}})
	}
}
