package consensus

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// sentAppend describes a sent AppendRequest. It is kept with the call and
// passed to the handler of the reply.
type sentAppend struct {
	term      uint64
	seq       uint64
	epoch     uint64
	at        time.Time
	heartbeat bool
}

// heartbeat sends every peer an empty AppendRequest. Its PrevIndex is an index
// at which the logs are known to agree, so that a follower in the same term
// never rejects it.
func (c *core) heartbeat(now time.Time) {
	c.seq++
	silent := c.silentVoters(now, c.timing.ElectionMax)
	for _, member := range c.members().Members {
		p := c.progress[member.Replica]
		if p == nil {
			continue
		}
		prev := p.match
		if prev < c.log.base {
			prev = 0
		}
		c.sendAppend(now, member.Replica, p, prev, nil, true)
		beat := c.out.sends[len(c.out.sends)-1].append
		beat.Heartbeat, beat.Silent = true, silent
	}
}

// replicate sends new entries to every peer that is ready to receive more.
func (c *core) replicate(now time.Time) {
	if c.role != leader {
		return
	}
	c.seq++
	for _, member := range c.members().Members {
		p := c.progress[member.Replica]
		if p != nil && !p.snapshotting && !now.Before(p.retryAt) {
			c.replicateTo(now, member.Replica, p)
		}
	}
}

// replicateTo sends a peer the entries that it lacks, or starts a snapshot if
// they are compacted. While probing it sends one request at a time, which may
// have no entries.
func (c *core) replicateTo(now time.Time, to Replica, p *progress) {
	switch {
	case p.next <= c.log.base:
		p.snapshotting = true
		c.out.snapshotPeers = append(c.out.snapshotPeers, to)
	case !p.pipelining && p.inFlight == 0:
		c.sendAppend(now, to, p, p.next-1, c.log.batch(p.next, c.sendLimit(to), c.appendBytes), false)
	case p.pipelining:
		c.pipelineTo(now, to, p)
	}
}

// pipelineTo sends new entries without waiting for replies, up to maxInFlight
// requests.
func (c *core) pipelineTo(now time.Time, to Replica, p *progress) {
	limit := c.sendLimit(to)
	for p.next <= limit && p.inFlight < maxInFlight {
		entries := c.log.batch(p.next, limit, c.appendBytes)
		c.sendAppend(now, to, p, p.next-1, entries, false)
		p.next += uint64(len(entries))
	}
}

// sendLimit returns the last entry that a peer may get now. A replica must not
// hold the entry that takes its vote before that is committed: if the leader were
// lost, it would refuse its vote to all voters, which lack the entry, and could
// not campaign itself.
func (c *core) sendLimit(to Replica) uint64 {
	committed := c.configs[0].members
	if committed.Role(to) == RoleVoter && c.members().Role(to) != RoleVoter {
		return c.commit
	}
	return c.log.last()
}

func (c *core) sendAppend(now time.Time, to Replica, p *progress, prev uint64, entries []wal.Entry, heartbeat bool) {
	prevTerm, _ := c.log.term(prev)
	if !heartbeat {
		p.inFlight++
	}
	c.out.sends = append(c.out.sends, outbound{
		to: to,
		append: &AppendRequest{
			Term: c.term, PrevIndex: prev, PrevTerm: prevTerm, Entries: entries, Commit: c.commit,
		},
		sent: sentAppend{term: c.term, seq: c.seq, epoch: p.epoch, at: now, heartbeat: heartbeat},
	})
}

// handleAppend processes entries or a heartbeat from a leader.
func (c *core) handleAppend(now time.Time, from Replica, req *AppendRequest) AppendReply {
	if !c.acceptLeader(now, from, req.Term) {
		return AppendReply{Term: c.term}
	}
	if req.Heartbeat {
		c.recordSilent(now, req.Silent)
	}
	prev, prevTerm, entries := req.PrevIndex, req.PrevTerm, req.Entries
	match := prev + uint64(len(entries))
	if prev < c.log.base {
		// Entries up to base are committed, so they agree with the log of every
		// leader.
		skip := min(c.log.base-prev, uint64(len(entries)))
		entries = entries[skip:]
		prev, prevTerm = c.log.base, c.log.baseTerm
	}
	if hint, ok := c.matchesAt(prev, prevTerm); !ok {
		return AppendReply{Term: c.term, Hint: hint}
	}
	if !c.storeEntries(entries) {
		return AppendReply{Term: c.term}
	}
	if known := min(req.Commit, match); known > c.commit {
		c.commit = known
		c.pruneConfigs()
	}
	return AppendReply{Term: c.term, Success: true, Match: match}
}

// acceptLeader handles the term of a message from a leader: the replica follows
// the sender and blocks its vote for ElectionMin. It returns false if the term
// is older than the current one, or if this replica leads that term, which
// violates an invariant.
func (c *core) acceptLeader(now time.Time, from Replica, term uint64) bool {
	if term < c.term {
		return false
	}
	if term == c.term && c.role == leader {
		c.failInvariant("%v and %v both lead term %d", c.self, from, term)
		return false
	}
	c.becomeFollower(now, term, from)
	c.lastLeader, c.lastLeaderAt = from, now
	c.voteBlockedUntil = now.Add(c.timing.ElectionMin)
	c.voteBlockedByRestart = false
	c.resetElection(now)
	return true
}

// matchesAt reports whether the log has an entry of the given term at index. If
// not, hint is an index at or below which the logs may agree.
func (c *core) matchesAt(index, term uint64) (hint uint64, ok bool) {
	own, present := c.log.term(index)
	if !present {
		return c.log.last(), false
	}
	if own == term {
		return 0, true
	}
	hint = index - 1
	for hint > c.commit {
		if earlier, _ := c.log.term(hint); earlier != own {
			break
		}
		hint--
	}
	return hint, false
}

// storeEntries appends the entries that are new and replaces a conflicting
// suffix of the log. It returns false if that would violate an invariant.
func (c *core) storeEntries(entries []wal.Entry) bool {
	for i, entry := range entries {
		own, present := c.log.term(entry.Index)
		if present && own == entry.Term {
			continue
		}
		if present && !c.truncate(entry.Index-1) {
			return false
		}
		added := entries[i:]
		c.log.entries = append(c.log.entries, added...)
		c.out.batch.Entries = append(c.out.batch.Entries, added...)
		if err := c.adoptConfigs(added); err != nil {
			c.failInvariant("%v", err)
			return false
		}
		return true
	}
	return true
}

// truncate drops the entries after index. It returns false if one of them is
// committed, which violates an invariant.
func (c *core) truncate(index uint64) bool {
	if index < c.commit {
		c.failInvariant("%v would truncate entry %d, but entries up to %d are committed", c.self, index+1, c.commit)
		return false
	}
	c.log.truncate(index)
	c.stable = min(c.stable, index)
	c.firstJobAfterTruncate = c.job + 1
	c.dropConfigsAbove(index)
	return true
}

// handleAppendReply processes the reply to an AppendRequest.
func (c *core) handleAppendReply(now time.Time, from Replica, sent sentAppend, req *AppendRequest, reply *AppendReply) {
	if reply.Term > c.term {
		c.becomeFollower(now, reply.Term, Replica{})
		return
	}
	p := c.progressOf(from, sent.term)
	if p == nil {
		return
	}
	p.ackedAt = latest(p.ackedAt, sent.at)
	p.ackedSeq = max(p.ackedSeq, sent.seq)
	current := sent.epoch == p.epoch && !sent.heartbeat
	if current {
		p.inFlight--
	}
	if reply.Success {
		c.advance(p, reply.Match, current)
		c.advanceCommit(now)
	} else if current {
		p.resetToProbe(min(req.PrevIndex, reply.Hint+1))
	}
	if c.role == leader {
		c.releaseConfirmedReads(now)
	}
}

// advance records that a peer's log agrees up to match. A reply of the current
// epoch ends probing.
func (c *core) advance(p *progress, match uint64, current bool) {
	p.match = max(p.match, match)
	if current && !p.pipelining {
		p.pipelining = true
		p.next = match + 1
	}
	p.next = max(p.next, p.match+1)
}

// resetToProbe makes the leader probe a peer again, starting at index next.
func (p *progress) resetToProbe(next uint64) {
	p.pipelining = false
	p.inFlight = 0
	p.epoch++
	p.next = max(1, next)
}

// appendFailed handles a failed AppendRequest. Entries are sent again after one
// heartbeat period.
func (c *core) appendFailed(now time.Time, from Replica, sent sentAppend) {
	p := c.progressOf(from, sent.term)
	if p == nil || sent.heartbeat || sent.epoch != p.epoch {
		return
	}
	p.resetToProbe(p.match + 1)
	p.retryAt = now.Add(c.timing.Heartbeat)
}

// progressOf returns the progress of a peer, or nil if this replica no longer
// leads the term or the peer is not a member.
func (c *core) progressOf(peer Replica, term uint64) *progress {
	if c.role != leader || c.term != term {
		return nil
	}
	return c.progress[peer]
}
