package consensus

import (
	"errors"
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
func (c *core) appendMembership(next Membership) uint64 {
	index := c.appendLocal(wal.Entry{Kind: entryMembers, Data: next.encode()})
	c.configs = append(c.configs, configAt{index: index, members: next})
	c.syncProgress()
	return index
}

// addLearner adds a learner and returns the index of the membership entry. An
// auto learner is promoted without an operator.
func (c *core) addLearner(r Replica, auto bool) (uint64, error) {
	if err := c.checkChangeAllowed(); err != nil {
		return 0, err
	}
	switch {
	case c.members().retired(r):
		return 0, ErrRemoved
	case c.members().Role(r) != RoleNone:
		return c.configIndex(), nil
	case len(c.members().Members) >= MaxMembers:
		return 0, ErrTooManyMembers
	}
	return c.appendMembership(c.members().withLearner(r, auto)), nil
}

// promote turns a learner that has caught up into a voter.
func (c *core) promote(r Replica) (uint64, error) {
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
	return c.appendMembership(c.members().withVoter(r)), nil
}

// remove removes a replica permanently: the incarnation can't join again.
func (c *core) remove(r Replica) (uint64, error) {
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
	return c.appendMembership(next), nil
}

// join adds a learner that later replaces older incarnations of its ID.
func (c *core) join(r Replica) (uint64, error) {
	if r.ID == c.self.ID && r != c.self {
		return 0, ErrIDInUse
	}
	return c.addLearner(r, true)
}

// advanceAutoPromotion takes the next step for a learner that joined and has
// caught up. An older incarnation of its ID, or a dead voter if replaceDead is
// set, is removed first; then the learner becomes a voter.
func (c *core) advanceAutoPromotion(now time.Time) {
	if c.checkChangeAllowed() != nil {
		return
	}
	for _, member := range c.members().Members {
		if !member.AutoPromote || member.Role != RoleLearner || !c.caughtUp(now, member.Replica) {
			continue
		}
		if old, found := c.otherIncarnation(member.Replica); found {
			c.appendMembership(c.members().without(old))
			return
		}
		if c.replaceDead {
			dead, silent := c.longestSilentVoter(now)
			switch {
			case silent >= DeadVoterTimeout:
				c.appendMembership(c.members().without(dead))
				return
			case silent >= c.timing.ElectionMax:
				// The voter may be gone for good. Another voter beside it would
				// raise the quorum while one of the voters is missing.
				return
			}
		}
		c.appendMembership(c.members().withVoter(member.Replica))
		return
	}
}

// DeadVoterTimeout is how long a voter must be silent before a new replica may
// take its place. It is longer than a kill and restart; a replacement must
// complete within the 4 s that deployments give a new VM to catch up.
const DeadVoterTimeout = 3 * time.Second

// longestSilentVoter returns the other voter that has been silent for longest,
// and for how long.
func (c *core) longestSilentVoter(now time.Time) (Replica, time.Duration) {
	var found Replica
	var longest time.Duration
	for _, voter := range c.members().Voters() {
		if voter == c.self {
			continue
		}
		if silent := now.Sub(latest(c.progress[voter].ackedAt, c.leaderSince)); silent > longest {
			found, longest = voter, silent
		}
	}
	return found, longest
}

// silentVoters returns how many other voters a leader has not heard from for
// SilentVoterTimeout.
func (c *core) silentVoters(now time.Time) int {
	count := 0
	for _, voter := range c.members().Voters() {
		p := c.progress[voter]
		if p != nil && now.Sub(latest(p.ackedAt, c.leaderSince)) >= SilentVoterTimeout {
			count++
		}
	}
	return count
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

// continueTransfer asks a voter to campaign as soon as one holds the whole log.
func (c *core) continueTransfer() {
	if !c.transferring || c.transferTo != (Replica{}) {
		return
	}
	for _, voter := range c.members().Voters() {
		p := c.progress[voter]
		if p == nil || p.match != c.log.last() {
			continue
		}
		c.transferTo = voter
		c.out.sends = append(c.out.sends, outbound{to: voter, elect: &ElectRequest{Term: c.term}})
		return
	}
}
