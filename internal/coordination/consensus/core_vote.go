package consensus

import "time"

// preCampaign asks whether an election could be won, without changing terms.
func (c *core) preCampaign(now time.Time) {
	c.role = preCandidate
	c.leader = Replica{}
	c.votes = map[Replica]bool{}
	c.resetElection(now)
	c.requestVotes(VoteRequest{Term: c.term + 1, Pre: true})
	c.countVote(now, c.self)
}

// campaign enters a new term as a candidate. The own vote counts once it is
// durable.
func (c *core) campaign(now time.Time, transfer bool) {
	c.term++
	c.vote = c.self
	c.role = candidate
	c.leader = Replica{}
	c.votes = map[Replica]bool{}
	c.resetElection(now)
	c.requestVotes(VoteRequest{Term: c.term, Transfer: transfer})
}

// releaseStep spaces the first campaigns after a common start, so that the votes
// are not split: more than a round trip and the writing of a vote.
const releaseStep = 30 * time.Millisecond

// releaseStartPromise ends the promise that a restarted voter keeps, unless it
// has heard a leader since, and has it campaign soon: each voter at its turn.
func (c *core) releaseStartPromise(now time.Time) {
	if !c.startPromise || c.role != follower || c.leader != (Replica{}) {
		return
	}
	c.startPromise = false
	c.promisedUntil = time.Time{}
	turn := 1
	for _, voter := range c.members().Voters() {
		if voter.ID < c.self.ID {
			turn++
		}
	}
	if at := now.Add(time.Duration(turn) * releaseStep); at.Before(c.electionAt) {
		c.electionAt = at
	}
}

// requestVotes sends a request to every other voter.
func (c *core) requestVotes(req VoteRequest) {
	req.LastIndex = c.log.last()
	req.LastTerm = c.log.lastTerm()
	for _, voter := range c.members().Voters() {
		if voter == c.self {
			continue
		}
		sent := req
		c.out.sends = append(c.out.sends, outbound{to: voter, vote: &sent, gated: true})
	}
}

// countVote records a granted vote and acts on a majority.
func (c *core) countVote(now time.Time, from Replica) {
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

// handleVote answers a request for a vote. Any listed member may vote: the
// candidate asks only voters of its own membership, which may be newer than the
// one here.
func (c *core) handleVote(now time.Time, from Replica, req *VoteRequest) VoteReply {
	if c.members().Role(c.self) == RoleNone || c.bound(now, req) {
		return VoteReply{Term: c.term}
	}
	if req.Pre {
		return VoteReply{Term: c.term, Granted: req.Term > c.term && c.upToDate(req)}
	}
	if req.Term < c.term {
		return VoteReply{Term: c.term}
	}
	if req.Term > c.term {
		c.becomeFollower(now, req.Term, Replica{})
	}
	free := c.vote == (Replica{}) || c.vote == from
	if !free || !c.upToDate(req) {
		return VoteReply{Term: c.term}
	}
	c.vote = from
	c.resetElection(now)
	return VoteReply{Term: c.term, Granted: true}
}

// bound reports whether a promise to a leader forbids voting.
func (c *core) bound(now time.Time, req *VoteRequest) bool {
	if req.Transfer {
		return false
	}
	if c.role == leader && c.leaseValid(now) {
		return true
	}
	return now.Before(c.promisedUntil)
}

// upToDate reports whether the candidate's log is at least as recent.
func (c *core) upToDate(req *VoteRequest) bool {
	last := c.log.lastTerm()
	if req.LastTerm != last {
		return req.LastTerm > last
	}
	return req.LastIndex >= c.log.last()
}

// handleVoteReply counts the answer to a request of this candidacy.
func (c *core) handleVoteReply(now time.Time, from Replica, req *VoteRequest, reply *VoteReply) {
	if reply.Term > c.term {
		c.becomeFollower(now, reply.Term, Replica{})
		return
	}
	if !reply.Granted {
		return
	}
	switch {
	case req.Pre && c.role == preCandidate && req.Term == c.term+1:
		c.countVote(now, from)
	case !req.Pre && c.role == candidate && req.Term == c.term:
		c.countVote(now, from)
	}
}

// handleElect campaigns at once at the request of the leader.
func (c *core) handleElect(now time.Time, from Replica, req *ElectRequest) ElectReply {
	willing := req.Term == c.term && c.leader == from && c.role == follower
	if !willing || c.members().Role(c.self) != RoleVoter {
		return ElectReply{}
	}
	c.campaign(now, true)
	return ElectReply{Accepted: true}
}
