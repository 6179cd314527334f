package consensus

import (
	"fmt"
	"time"
)

// preCampaign starts a pre-vote: it asks the other voters whether they would
// grant a vote, without changing the term.
func (c *core) preCampaign(now time.Time) {
	if c.role == preCandidate || c.role == candidate {
		c.failedCampaign = c.campaignSummary()
	}
	c.role = preCandidate
	c.leader = Replica{}
	c.votes, c.refusals = map[Replica]bool{}, map[Replica]VoteRefusal{}
	c.resetElection(now)
	c.requestVotes(VoteRequest{Term: c.term + 1, Pre: true})
	c.countVote(now, c.self)
}

// campaign starts an election in a new term. The replica's own vote counts once
// it is durable.
func (c *core) campaign(now time.Time, transfer bool) {
	c.term++
	c.vote = c.self
	c.role = candidate
	c.leader = Replica{}
	c.votes, c.refusals = map[Replica]bool{}, map[Replica]VoteRefusal{}
	c.resetElection(now)
	c.requestVotes(VoteRequest{Term: c.term, Transfer: transfer})
}

// campaignSummary describes the votes of the current campaign or pre-vote.
func (c *core) campaignSummary() string {
	var granted, refused, silent []string
	for _, voter := range c.members().Voters() {
		switch {
		case c.votes[voter]:
			granted = append(granted, voter.String())
		case c.refusals[voter] != "":
			refused = append(refused, fmt.Sprintf("%v: %s", voter, c.refusals[voter]))
		default:
			silent = append(silent, voter.String())
		}
	}
	kind, term := "election", c.term
	if c.role == preCandidate {
		kind, term = "pre-vote", c.term+1
	}
	return fmt.Sprintf("%s for term %d without a majority: %d of %d votes, %d needed; granted %q, refused %q, no answer %q",
		kind, term, len(granted), len(c.members().Voters()), c.members().quorum(), granted, refused, silent)
}

// campaignStagger separates the first campaigns of voters that restarted
// together, so that they do not split the vote. It is longer than a round trip
// plus the time to persist a vote.
const campaignStagger = 30 * time.Millisecond

// liftRestartVoteBlock lets a restarted voter grant votes again, unless it has
// heard from a leader since, and brings its election timeout forward. The
// voters campaign one after the other in the order of their IDs.
func (c *core) liftRestartVoteBlock(now time.Time) {
	if !c.voteBlockedByRestart || c.role != follower || c.leader != (Replica{}) {
		return
	}
	c.voteBlockedByRestart = false
	c.voteBlockedUntil = time.Time{}
	position := 1
	for _, voter := range c.members().Voters() {
		if voter.ID < c.self.ID {
			position++
		}
	}
	if at := now.Add(time.Duration(position) * campaignStagger); at.Before(c.electionAt) {
		c.electionAt = at
	}
}

// requestVotes sends a vote request to every other voter.
func (c *core) requestVotes(req VoteRequest) {
	req.LastIndex = c.log.last()
	req.LastTerm = c.log.lastTerm()
	for _, voter := range c.members().Voters() {
		if voter == c.self {
			continue
		}
		sent := req
		c.out.sends = append(c.out.sends, outbound{to: voter, vote: &sent, afterSync: true})
	}
}

// countVote records a granted vote. With a majority, a pre-candidate starts its
// campaign and a candidate becomes leader. No vote counts once the campaign has
// timed out: a voter that recovers its vote relies on that.
func (c *core) countVote(now time.Time, from Replica) {
	if !now.Before(c.electionAt) && !c.faults.countLateVotes {
		return
	}
	c.votes[from] = true
	granted := 0
	for _, voter := range c.members().Voters() {
		if c.votes[voter] {
			granted++
		}
	}
	if granted < c.members().quorum() {
		return
	}
	if c.role == preCandidate {
		c.campaign(now, false)
		return
	}
	c.becomeLeader(now)
}

// handleVote answers a vote request. Any listed member may vote, not only
// voters: the candidate asks the voters of its own membership, which may be
// newer than the membership known here.
func (c *core) handleVote(now time.Time, from Replica, req *VoteRequest) VoteReply {
	if c.members().Role(c.self) == RoleNone && !c.isRecovering() {
		return c.refuseVote(RefusedNotMember)
	}
	if c.voteBlocked(now, req) {
		return c.refuseVote(RefusedBlocked)
	}
	if req.Term < c.term || req.Pre && req.Term == c.term {
		return c.refuseVote(RefusedOldTerm)
	}
	if !req.Pre && req.Term > c.term {
		c.becomeFollower(now, req.Term, Replica{})
	}
	if !req.Pre && c.vote != (Replica{}) && c.vote != from {
		return c.refuseVote(RefusedVoted)
	}
	if !c.upToDate(req) {
		return c.refuseVote(RefusedLogBehind)
	}
	if !req.Pre {
		c.vote = from
		c.resetElection(now)
	}
	return VoteReply{Term: c.term, Granted: true}
}

func (c *core) refuseVote(reason VoteRefusal) VoteReply {
	return VoteReply{Term: c.term, Refusal: reason}
}

// voteBlocked reports whether this replica must refuse its vote because a
// leader may hold a valid lease. A leadership transfer overrides this, since
// the leader has given up its lease.
func (c *core) voteBlocked(now time.Time, req *VoteRequest) bool {
	if req.Transfer {
		return false
	}
	if c.role == leader && c.leaseValid(now) {
		return true
	}
	return now.Before(c.voteBlockedUntil)
}

// upToDate reports whether the candidate's log is at least as recent as the one
// that this replica's votes rely on.
func (c *core) upToDate(req *VoteRequest) bool {
	return !logTip{Term: req.LastTerm, Index: req.LastIndex}.before(c.tip())
}

// handleVoteReply processes the reply to a vote request. Replies to earlier
// campaigns are ignored.
func (c *core) handleVoteReply(now time.Time, from Replica, req *VoteRequest, reply *VoteReply) {
	if reply.Term > c.term {
		c.becomeFollower(now, reply.Term, Replica{})
		return
	}
	ofPreVote := req.Pre && c.role == preCandidate && req.Term == c.term+1
	ofCampaign := !req.Pre && c.role == candidate && req.Term == c.term
	switch {
	case !ofPreVote && !ofCampaign:
	case reply.Granted:
		c.countVote(now, from)
	default:
		c.refusals[from] = reply.Refusal
	}
}

// handleElect starts a campaign without waiting for the election timeout, at
// the request of the current leader.
func (c *core) handleElect(now time.Time, from Replica, req *ElectRequest) ElectReply {
	fromLeader := req.Term == c.term && c.leader == from && c.role == follower
	if !fromLeader || c.members().Role(c.self) != RoleVoter || c.isRecovering() {
		return ElectReply{}
	}
	c.campaign(now, true)
	return ElectReply{Accepted: true}
}
