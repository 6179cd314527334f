package consensus

import "time"

// silence returns how long a peer has been silent, as far as this leader can
// tell: since its last answer or followedSince. A voter that has not answered in
// this term, although it had time to, counts from when it was heard before.
func (c *core) silence(now time.Time, peer Replica) time.Duration {
	p := c.progress[peer]
	heard := latest(p.ackedAt, p.followedSince)
	if p.role == RoleVoter && p.ackedAt.IsZero() && !p.silentBefore.IsZero() && now.Sub(c.leaderSince) >= c.timing.ElectionMax {
		heard = p.silentBefore
	}
	return now.Sub(heard)
}

// silentVoters returns the other voters that this leader has not heard from for
// at least the given time.
func (c *core) silentVoters(now time.Time, atLeast time.Duration) []SilentVoter {
	var silent []SilentVoter
	for _, voter := range c.members().Voters() {
		if c.progress[voter] == nil {
			continue
		}
		if duration := c.silence(now, voter); duration >= atLeast {
			silent = append(silent, SilentVoter{Replica: voter, For: duration})
		}
	}
	return silent
}

// recordSilent records the silent voters that a leader, possibly this replica,
// reports.
func (c *core) recordSilent(now time.Time, silent []SilentVoter) {
	c.silentReportedAt = now
	c.silentSince = map[Replica]time.Time{}
	for _, voter := range silent {
		c.silentSince[voter.Replica] = now.Add(-voter.For)
	}
}

// recallSilent makes a new leader continue to count the silence of voters from
// what its predecessor knew: without it, each election would give a dead voter
// another DeadVoterTimeout. The predecessor itself was heard when it sent its last
// message. A report is not used if it was outdated by then, as one is if the
// predecessor's build sends none.
func (c *core) recallSilent() {
	reported := c.lastLeaderAt.Sub(c.silentReportedAt) < c.timing.ElectionMin
	for peer, p := range c.progress {
		switch {
		case peer == c.lastLeader:
			p.silentBefore = c.lastLeaderAt
		case reported:
			p.silentBefore = c.silentSince[peer]
		}
	}
}
