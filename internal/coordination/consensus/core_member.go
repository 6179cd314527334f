package consensus

import (
	"errors"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// Errors of changes to the membership. All mean that nothing was changed.
var (
	// ErrChangePending means that an earlier change has not committed yet.
	ErrChangePending = errors.New("consensus: another change of membership is in progress")
	// ErrNotCaughtUp means that the learner lacks committed entries.
	ErrNotCaughtUp = errors.New("consensus: the learner has not caught up")
	// ErrNoSuchMember means that the replica is not a member in the needed role.
	ErrNoSuchMember = errors.New("consensus: no such member")
	// ErrRemoved means that this incarnation was removed and never returns.
	ErrRemoved = errors.New("consensus: this incarnation was removed from the cluster")
	// ErrTooManyMembers means that MaxMembers is reached.
	ErrTooManyMembers = errors.New("consensus: too many members")
	// ErrIDInUse means that the leader itself runs under the ID.
	ErrIDInUse = errors.New("consensus: the ID is in use by the leader")
	// ErrLastVoter means that the only voter can't be removed.
	ErrLastVoter = errors.New("consensus: the only voter can't be removed")
)

// adoptConfigs puts the memberships among new entries in force.
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

// dropConfigsAbove reverts memberships whose entries were dropped.
func (c *core) dropConfigsAbove(index uint64) {
	for len(c.configs) > 1 && c.configIndex() > index {
		c.configs = c.configs[:len(c.configs)-1]
	}
}

// settleConfigs forgets memberships that a committed one replaced.
func (c *core) settleConfigs() {
	for len(c.configs) > 1 && c.configs[1].index <= c.commit {
		c.configs = c.configs[1:]
	}
}

// configIndex returns the index of the membership in force.
func (c *core) configIndex() uint64 {
	return c.configs[len(c.configs)-1].index
}

// changeAllowed reports why no change may begin now.
func (c *core) changeAllowed() error {
	if c.role != leader || c.transferring {
		return &NotLeaderError{Leader: c.leader.ID}
	}
	if c.commit < c.termStart || c.configIndex() > c.commit {
		return ErrChangePending
	}
	return nil
}

// change appends a new membership, which is in force at once.
func (c *core) change(next Membership) uint64 {
	index := c.appendLocal(wal.Entry{Kind: entryMembers, Data: next.encode()})
	c.configs = append(c.configs, configAt{index: index, members: next})
	c.syncProgress()
	return index
}

// addLearner lets a replica receive the log.
func (c *core) addLearner(r Replica, auto bool) (uint64, error) {
	if err := c.changeAllowed(); err != nil {
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
	return c.change(c.members().withLearner(r, auto)), nil
}

// promote lets a learner vote.
func (c *core) promote(r Replica) (uint64, error) {
	if err := c.changeAllowed(); err != nil {
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
	return c.change(c.members().withVoter(r)), nil
}

// remove ends the membership of a replica for good.
func (c *core) remove(r Replica) (uint64, error) {
	if err := c.changeAllowed(); err != nil {
		return 0, err
	}
	if c.members().Role(r) == RoleNone {
		return 0, ErrNoSuchMember
	}
	next := c.members().without(r)
	if len(next.Voters()) == 0 {
		return 0, ErrLastVoter
	}
	return c.change(next), nil
}

// join adds a learner that replaces older incarnations of its ID later.
func (c *core) join(r Replica) (uint64, error) {
	if r.ID == c.self.ID && r != c.self {
		return 0, ErrIDInUse
	}
	return c.addLearner(r, true)
}

// maintainMembers takes the next step of a replacement: when the new
// incarnation has caught up, the old one is removed, then the new one votes.
func (c *core) maintainMembers(now time.Time) {
	if c.changeAllowed() != nil {
		return
	}
	for _, member := range c.members().Members {
		if !member.AutoPromote || member.Role != RoleLearner || !c.caughtUp(now, member.Replica) {
			continue
		}
		if old, found := c.otherIncarnation(member.Replica); found {
			c.change(c.members().without(old))
			return
		}
		if c.replaceDead {
			dead, silent := c.silentVoter(now)
			switch {
			case silent >= DeadAfter:
				c.change(c.members().without(dead))
				return
			case silent >= c.timing.ElectionMax:
				// The voter may be gone for good: a new voter beside it would
				// raise the quorum while one of its members is missing.
				return
			}
		}
		c.change(c.members().withVoter(member.Replica))
		return
	}
}

// DeadAfter is the silence after which a voter's place may go to a new replica.
// A kill and restart takes less; a replacement must be complete within the time
// that deployments give a new VM to catch up, 4 s.
const DeadAfter = 3 * time.Second

// silentVoter returns the voter that has been silent for longest, and how long.
func (c *core) silentVoter(now time.Time) (Replica, time.Duration) {
	var found Replica
	var longest time.Duration
	for _, voter := range c.members().Voters() {
		if voter == c.self {
			continue
		}
		if silent := now.Sub(latest(c.progress[voter].ackedAt, c.since)); silent > longest {
			found, longest = voter, silent
		}
	}
	return found, longest
}

// caughtUp reports whether a learner answers and holds all that is committed.
func (c *core) caughtUp(now time.Time, r Replica) bool {
	p := c.progress[r]
	return p.match >= c.commit && now.Sub(p.ackedAt) < c.timing.ElectionMin
}

// otherIncarnation finds another member of the same ID.
func (c *core) otherIncarnation(r Replica) (Replica, bool) {
	for _, member := range c.members().Members {
		if member.Replica.ID == r.ID && member.Replica != r {
			return member.Replica, true
		}
	}
	return Replica{}, false
}

// adoptGenesis begins the life of a replica in a cluster.
func (c *core) adoptGenesis(now time.Time, members Membership) {
	c.configs[0].members = members
	c.resetElection(now)
	if c.soleVoter() {
		c.electionAt = now
	}
}

// transfer gives up the lease for good in this term and hands the leadership
// to the peer that holds the whole log.
func (c *core) transfer() {
	if c.role != leader {
		return
	}
	c.transferring = true
	c.continueTransfer()
}

// continueTransfer names a successor as soon as one holds the whole log.
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
