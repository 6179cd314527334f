package consensus

import (
	"slices"
	"time"
)

// A voter that lost its disk can recover its vote without a leader if the
// voters that are left are too few for a quorum only because of it: of four
// voters, two. It asks them to promise that they follow no leader of an earlier
// term, and then votes again as if it held the most recent of their logs.
//
// Why it is safe, for a lost voter L and the voters R that promise term T:
//
//   - Memberships: R has a member in each quorum with L in it, in every
//     membership that may be in effect (recovery.isSufficient). Those are the
//     last two of a log, since a leader appends one only when the one before it
//     is committed. A membership that R does not know differs by one vote from
//     one that R knows, and that vote is marked there, since a change is
//     announced to a quorum before it is made (changeMembership).
//   - Entries that L acknowledged: one that was committed with L's answer is
//     held by a member of R, which acknowledged it before its promise: it
//     refuses earlier terms afterwards, and no leader of T or later counts
//     answers from before the loss. L grants no vote to a candidate whose log is
//     older than the most recent log of R (core.tip), and does not campaign
//     before it holds that.
//   - Votes that L granted: a leader that was elected with one has a vote from a
//     member of R too. If that was given before the promise, its term is lower
//     than T, in which L votes no more. If it was given afterwards, it came too
//     late: a campaign counts votes for ElectionMax at most, and L waits for
//     longer than that, from its start, before it asks.
//   - Leases: L refuses votes for ElectionMin from its start, as after any
//     restart.

// logTip is the position of the last entry of a log.
type logTip struct {
	Term  uint64
	Index uint64
}

// before reports whether a log that ends at t is older than one that ends at
// other.
func (t logTip) before(other logTip) bool {
	if t.Term != other.Term {
		return t.Term < other.Term
	}
	return t.Index < other.Index
}

// ownTip returns the end of this replica's log.
func (c *core) ownTip() logTip {
	return logTip{Term: c.log.lastTerm(), Index: c.log.last()}
}

// isRecovering reports whether this replica has recovered its vote and does not
// hold the log that its votes rely on. Its log and membership are outdated.
func (c *core) isRecovering() bool {
	return c.ownTip().before(c.recoveredTip)
}

// tip returns the end of the log that this replica's votes rely on: that of its
// own log or, while it is behind, of the log with which it recovered its vote.
func (c *core) tip() logTip {
	if c.isRecovering() {
		return c.recoveredTip
	}
	return c.ownTip()
}

// handleRecover answers a replica that wants to recover the vote of a lost
// incarnation. With a term, it promises to follow no leader of an earlier one.
func (c *core) handleRecover(now time.Time, req *RecoverRequest) RecoverReply {
	reply := RecoverReply{Replica: c.self, Term: c.term}
	if c.role == leader || c.leader != (Replica{}) || now.Before(c.voteBlockedUntil) {
		reply.Led = true
		return reply
	}
	if c.members().Role(c.self) != RoleVoter || c.isRecovering() {
		return reply
	}
	if req.Term > c.term {
		c.becomeFollower(now, req.Term, Replica{})
		c.resetElection(now)
		reply.Term, reply.Promised = req.Term, true
	}
	reply.Tip = c.tip()
	for _, config := range c.configs[max(0, len(c.configs)-2):] {
		reply.Memberships = append(reply.Memberships, MembershipAt{Index: config.index, Members: config.members})
	}
	return reply
}

// recovered gives this replica the vote of a lost incarnation. Its term must be
// at least the promised one, durably.
func (c *core) recovered(now time.Time, lost Replica, tip logTip) {
	c.self = lost
	if !c.faults.recoverWithoutTip {
		c.recoveredTip = tip
	}
	c.leader = Replica{}
	c.resetElection(now)
}

// recovery is what the answers to one round of RecoverRequests show.
type recovery struct {
	replies []*RecoverReply
	// led is true if a leader may exist. term is the highest term and tip the most
	// recent end of a log.
	led  bool
	term uint64
	tip  logTip
	// newest is the latest membership known to the answering replicas.
	newest MembershipAt
}

func newRecovery(replies []*RecoverReply) recovery {
	r := recovery{replies: replies}
	for _, reply := range replies {
		r.led = r.led || reply.Led
		r.term = max(r.term, reply.Term)
		if r.tip.before(reply.Tip) {
			r.tip = reply.Tip
		}
		for _, m := range reply.Memberships {
			if m.Index >= r.newest.Index {
				r.newest = m
			}
		}
	}
	return r
}

// lostVoter returns the voter whose vote the given replica may recover: another
// incarnation of its ID.
func (r recovery) lostVoter(self Replica) (Replica, bool) {
	for _, voter := range r.newest.Members.Voters() {
		if voter.ID == self.ID && voter != self {
			return voter, true
		}
	}
	return Replica{}, false
}

// answered returns how many of the given voters answered with their memberships.
func (r recovery) answered(voters []Replica) int {
	count := 0
	for _, reply := range r.replies {
		if len(reply.Memberships) > 0 && slices.Contains(voters, reply.Replica) {
			count++
		}
	}
	return count
}

// isNeeded reports whether the voters that answered can't elect a leader
// without the lost one.
func (r recovery) isNeeded() bool {
	return r.answered(r.newest.Members.Voters()) < r.newest.Members.quorum()
}

// isSufficient reports whether the voters that answered have a member in each
// quorum with the lost voter in it, in every membership that may be in effect.
func (r recovery) isSufficient(lost Replica) bool {
	for _, reply := range r.replies {
		for _, m := range reply.Memberships {
			for _, voters := range m.Members.electorates() {
				quorum := len(voters)/2 + 1
				if slices.Contains(voters, lost) && r.answered(voters) <= len(voters)-quorum {
					return false
				}
			}
		}
	}
	return true
}
