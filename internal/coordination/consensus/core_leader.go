package consensus

import (
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// leadership is the state that exists only while this replica leads a term.
type leadership struct {
	progress map[Replica]*progress
	// termStart is the index of the first entry of the term.
	termStart uint64
	// uncommittedBytes is the size of the entries after the commit index.
	uncommittedBytes int
	leaderSince      time.Time
	heartbeatAt      time.Time
	// announcedAt is when this leader last announced a change of votes.
	announcedAt time.Time
	// seq numbers the rounds of AppendRequests. It grows over all terms.
	seq   uint64
	reads []pendingRead
	// transferring is set once a leadership transfer has begun. It stays set
	// for the rest of the term, in which the leader has no lease.
	transferring bool
	transferTo   Replica
}

// progress is what the leader knows about the log of a peer.
type progress struct {
	// role is the peer's role in the membership in effect. followedSince is when
	// this leader began to expect answers from the peer in that role: at the
	// beginning of the term, or when the peer became a member or a learner.
	role          Role
	followedSince time.Time
	// silentBefore is when the peer was last heard before this term; zero if that
	// is not known.
	silentBefore time.Time

	match uint64
	next  uint64
	// pipelining is set while entries are sent without waiting for replies.
	// Otherwise the leader probes with one request at a time until it finds
	// where the logs agree.
	pipelining bool
	// snapshotting is set while a snapshot is streamed to the peer.
	snapshotting bool
	inFlight     int
	// epoch counts the returns to probing. Replies to requests of an earlier
	// epoch do not change next and inFlight.
	epoch uint64
	// retryAt is the earliest time to send entries again after a failed call.
	retryAt time.Time
	// ackedAt and ackedSeq are the send time and the round of the latest
	// request in this term that the peer answered.
	ackedAt  time.Time
	ackedSeq uint64
}

// pendingRead is a read that waits until the leadership is confirmed.
type pendingRead struct {
	token uint64
	// needSeq is the first round whose replies confirm the leadership for this
	// read.
	needSeq uint64
}

// readReady is a read that was confirmed or has failed.
type readReady struct {
	token uint64
	// index is the entry that must be applied before the read is served.
	index uint64
	// failed means that the leadership ended before the read was confirmed.
	failed bool
}

// becomeLeader starts leading the current term and appends an empty entry to
// commit the entries of earlier terms.
func (c *core) becomeLeader(now time.Time) {
	c.role = leader
	c.leader = c.self
	c.failedCampaign = ""
	c.leadership = leadership{progress: map[Replica]*progress{}, leaderSince: now, heartbeatAt: now, seq: c.seq}
	c.syncProgress(now)
	c.recallSilent()
	c.uncommittedBytes = c.log.bytesAfter(c.commit)
	c.appendLocal(wal.Entry{Kind: entryNoop})
	c.termStart = c.log.last()
}

// endLeadership resets the leader state and fails the pending reads.
func (c *core) endLeadership(now time.Time) {
	for _, read := range c.reads {
		c.out.reads = append(c.out.reads, readReady{token: read.token, failed: true})
	}
	c.recordSilent(now, c.silentVoters(now, c.timing.ElectionMax))
	c.leadership = leadership{seq: c.seq}
	c.lastLeader, c.lastLeaderAt = Replica{}, time.Time{}
	c.out.steppedDown = true
}

// syncProgress adds and removes peers according to the membership in effect.
func (c *core) syncProgress(now time.Time) {
	for _, member := range c.members().Members {
		if member.Replica == c.self {
			continue
		}
		p := c.progress[member.Replica]
		if p == nil {
			p = &progress{next: c.log.last() + 1, role: member.Role, followedSince: now}
			c.progress[member.Replica] = p
		}
		if p.role != member.Role && member.Role == RoleLearner {
			p.followedSince = now
		}
		p.role = member.Role
	}
	for peer := range c.progress {
		if c.members().Role(peer) == RoleNone {
			delete(c.progress, peer)
		}
	}
}

// appendLocal appends an entry of the current term to the leader's log and
// returns its index.
func (c *core) appendLocal(entry wal.Entry) uint64 {
	entry.Index = c.log.last() + 1
	entry.Term = c.term
	c.log.entries = append(c.log.entries, entry)
	c.uncommittedBytes += len(entry.Data) + entryOverhead
	c.out.batch.Entries = append(c.out.batch.Entries, entry)
	return entry.Index
}

// propose appends a command. accepted is false unless this replica leads and is
// not transferring its leadership.
func (c *core) propose(command []byte) (index uint64, accepted bool) {
	if c.role != leader || c.transferring {
		return 0, false
	}
	return c.appendLocal(wal.Entry{Kind: entryCommand, Data: command}), true
}

// tickLeader sends heartbeats when they are due and steps down if no quorum has
// answered for ElectionMax.
func (c *core) tickLeader(now time.Time) {
	lastQuorum := latest(c.quorumAckedAt(now), c.leaderSince)
	if now.Sub(lastQuorum) >= c.timing.ElectionMax {
		c.becomeFollower(now, c.term, Replica{})
		return
	}
	if !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(c.timing.Heartbeat)
		c.heartbeat(now)
	}
	c.advanceMembership(now)
	c.continueTransfer()
}

// nextLeaderWake returns the time of the next heartbeat or of the end of the
// lease, whichever is earlier.
func (c *core) nextLeaderWake(now time.Time) time.Time {
	end := c.leaseUntil(now)
	if end.After(now) && end.Before(c.heartbeatAt) {
		return end
	}
	return c.heartbeatAt
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// quorumAckedAt returns the latest time t such that a majority of the voters
// answered messages sent at t or later. The leader itself counts with now.
func (c *core) quorumAckedAt(now time.Time) time.Time {
	var times []time.Time
	for _, voter := range c.members().Voters() {
		if voter == c.self {
			times = append(times, now)
			continue
		}
		times = append(times, c.progress[voter].ackedAt)
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[c.members().quorum()-1]
}

// quorumAckedSeq returns the latest round that a majority of the voters
// answered.
func (c *core) quorumAckedSeq() uint64 {
	return c.quorumValue(c.seq, func(p *progress) uint64 { return p.ackedSeq })
}

// quorumValue returns the highest value that a majority of voters has reached.
func (c *core) quorumValue(own uint64, valueOf func(*progress) uint64) uint64 {
	var values []uint64
	for _, voter := range c.members().Voters() {
		if voter == c.self {
			values = append(values, own)
			continue
		}
		values = append(values, valueOf(c.progress[voter]))
	}
	slices.Sort(values)
	slices.Reverse(values)
	return values[c.members().quorum()-1]
}

// leaseUntil returns when the leader's lease ends, or the zero time if it has
// none.
func (c *core) leaseUntil(now time.Time) time.Time {
	acked := c.quorumAckedAt(now)
	if c.transferring || acked.IsZero() {
		return time.Time{}
	}
	if c.faults.leaseWithoutMargin {
		return acked.Add(c.timing.ElectionMin)
	}
	return acked.Add(c.timing.lease())
}

// leaseValid reports whether the lease is valid, so that no other replica can
// have become leader.
func (c *core) leaseValid(now time.Time) bool {
	return now.Before(c.leaseUntil(now))
}

// read registers a read and starts a heartbeat round to confirm it if the lease
// is not valid. accepted is false unless this replica leads and is not
// transferring its leadership.
func (c *core) read(now time.Time, token uint64) (accepted bool) {
	if c.role != leader || c.transferring {
		return false
	}
	c.reads = append(c.reads, pendingRead{token: token, needSeq: c.seq + 1})
	if !c.leaseValid(now) {
		c.heartbeat(now)
	}
	c.releaseConfirmedReads(now)
	return true
}

// releaseConfirmedReads outputs the reads that are confirmed by a valid lease
// or by a round that began after them. A new leader first commits an entry of
// its own term, since its commit index may be behind until then.
func (c *core) releaseConfirmedReads(now time.Time) {
	if c.role != leader || c.commit < c.termStart {
		return
	}
	acked := c.quorumAckedSeq()
	leased := c.leaseValid(now)
	var waiting []pendingRead
	for _, read := range c.reads {
		if !leased && acked < read.needSeq {
			waiting = append(waiting, read)
			continue
		}
		c.out.reads = append(c.out.reads, readReady{token: read.token, index: c.commit})
	}
	c.reads = waiting
}

// advanceCommit commits the entries that are durable on a majority of the
// voters. Only an entry of the current term is committed by counting replicas;
// this also commits all entries before it (section 5.4.2 of the Raft paper).
func (c *core) advanceCommit(now time.Time) {
	index := c.quorumValue(c.stable, func(p *progress) uint64 { return p.match })
	term, _ := c.log.term(index)
	if index <= c.commit || (term != c.term && !c.faults.commitOldTerms) {
		return
	}
	for _, entry := range c.log.slice(c.commit+1, index) {
		c.uncommittedBytes -= len(entry.Data) + entryOverhead
	}
	c.commit = index
	c.pruneConfigs()
	c.releaseConfirmedReads(now)
	if c.members().Role(c.self) != RoleVoter && c.configIndex() <= c.commit {
		c.becomeFollower(now, c.term, Replica{})
	}
}
