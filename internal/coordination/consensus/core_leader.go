package consensus

import (
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// leadership is the state of a leader in its term.
type leadership struct {
	progress map[Replica]*progress
	// termStart is the index of the first entry of the term.
	termStart   uint64
	since       time.Time
	heartbeatAt time.Time
	// seq numbers the rounds of messages to peers.
	seq   uint64
	reads []pendingRead
	// transferring is set once the lease was given up for good in this term.
	transferring bool
	transferTo   Replica
}

// progress is what a leader knows of a peer.
type progress struct {
	match uint64
	next  uint64
	// streaming sends without waiting for answers; otherwise one request at a
	// time finds where the logs agree.
	streaming bool
	// snapshotting means that a snapshot is being streamed.
	snapshotting bool
	inFlight     int
	// epoch separates answers to requests sent before the last setback.
	epoch uint64
	// retryAt is when entries may be sent again after a failed call.
	retryAt time.Time
	// ackedAt and ackedSeq are those of the last sent request that the peer
	// answered in this term.
	ackedAt  time.Time
	ackedSeq uint64
}

// pendingRead is a read that waits for confirmation of the leadership.
type pendingRead struct {
	token uint64
	// needSeq is the first round that confirms it.
	needSeq uint64
}

// readReady is a confirmed or failed read.
type readReady struct {
	token uint64
	// index must be applied before the read is served.
	index uint64
	// failed means that the leadership ended.
	failed bool
}

// becomeLeader begins to lead and appends an empty entry of the new term.
func (c *core) becomeLeader(now time.Time) {
	c.role = leader
	c.leader = c.self
	c.leadership = leadership{progress: map[Replica]*progress{}, since: now, heartbeatAt: now, seq: c.seq}
	c.syncProgress()
	c.appendLocal(wal.Entry{Kind: entryNoop})
	c.termStart = c.log.last()
}

// endLeadership drops the state of a leader and fails its reads.
func (c *core) endLeadership() {
	for _, read := range c.reads {
		c.out.reads = append(c.out.reads, readReady{token: read.token, failed: true})
	}
	c.leadership = leadership{seq: c.seq}
	c.out.steppedDown = true
}

// syncProgress adds and removes peers after a change of membership.
func (c *core) syncProgress() {
	for _, member := range c.members().Members {
		if member.Replica != c.self && c.progress[member.Replica] == nil {
			c.progress[member.Replica] = &progress{next: c.log.last() + 1}
		}
	}
	for peer := range c.progress {
		if c.members().Role(peer) == RoleNone {
			delete(c.progress, peer)
		}
	}
}

// appendLocal adds an entry of the current term to the leader's log.
func (c *core) appendLocal(entry wal.Entry) uint64 {
	entry.Index = c.log.last() + 1
	entry.Term = c.term
	c.log.entries = append(c.log.entries, entry)
	c.out.batch.Entries = append(c.out.batch.Entries, entry)
	return entry.Index
}

// propose appends a command. accepted is false unless this replica leads.
func (c *core) propose(command []byte) (index uint64, accepted bool) {
	if c.role != leader || c.transferring {
		return 0, false
	}
	return c.appendLocal(wal.Entry{Kind: entryCommand, Data: command}), true
}

// tickLeader sends heartbeats and steps down without a quorum.
func (c *core) tickLeader(now time.Time) {
	heard := latest(c.quorumAckedAt(now), c.since)
	if now.Sub(heard) >= c.timing.ElectionMax {
		c.becomeFollower(now, c.term, Replica{})
		return
	}
	if !now.Before(c.heartbeatAt) {
		c.heartbeatAt = now.Add(c.timing.Heartbeat)
		c.heartbeat(now)
	}
	c.maintainMembers(now)
	c.continueTransfer()
}

// nextLeaderWake returns the next heartbeat or the end of the lease.
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

// quorumAckedAt returns the latest time such that a majority answered messages
// sent at that time or later.
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

// quorumAckedSeq is quorumAckedAt in rounds.
func (c *core) quorumAckedSeq() uint64 {
	return c.quorumValue(c.seq, func(p *progress) uint64 { return p.ackedSeq })
}

// quorumValue returns the highest value that a majority of voters has reached.
func (c *core) quorumValue(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, voter := range c.members().Voters() {
		if voter == c.self {
			values = append(values, own)
			continue
		}
		values = append(values, of(c.progress[voter]))
	}
	slices.Sort(values)
	slices.Reverse(values)
	return values[c.members().quorum()-1]
}

// leaseUntil returns when the lease of this leader ends.
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

// leaseValid reports whether no other replica can have begun to lead.
func (c *core) leaseValid(now time.Time) bool {
	return now.Before(c.leaseUntil(now))
}

// read registers a read. accepted is false unless this replica leads.
func (c *core) read(now time.Time, token uint64) (accepted bool) {
	if c.role != leader || c.transferring {
		return false
	}
	c.reads = append(c.reads, pendingRead{token: token, needSeq: c.seq + 1})
	if !c.leaseValid(now) {
		c.heartbeat(now)
	}
	c.releaseReads(now)
	return true
}

// releaseReads hands out the reads that are confirmed by the lease or by a
// round that began after them.
func (c *core) releaseReads(now time.Time) {
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

// advanceCommit commits what a majority has made durable. Only an entry of the
// current term commits by counting; it commits all before it.
func (c *core) advanceCommit(now time.Time) {
	index := c.quorumValue(c.stable, func(p *progress) uint64 { return p.match })
	term, _ := c.log.term(index)
	if index <= c.commit || (term != c.term && !c.faults.commitOldTerms) {
		return
	}
	c.commit = index
	c.settleConfigs()
	c.releaseReads(now)
	if c.members().Role(c.self) != RoleVoter && c.configIndex() <= c.commit {
		c.becomeFollower(now, c.term, Replica{})
	}
}
