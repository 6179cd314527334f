package consensus

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// sentAppend identifies a sent AppendRequest when its answer arrives.
type sentAppend struct {
	term      uint64
	seq       uint64
	epoch     uint64
	at        time.Time
	heartbeat bool
}

// heartbeat sends every peer an empty request. It carries a position at which
// the logs are known to agree, so that it is never refused in its term.
func (c *core) heartbeat(now time.Time) {
	c.seq++
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
	}
}

// replicate sends new entries to every peer that can take more.
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

// replicateTo sends what the peer lacks. Until an answer shows where the logs
// agree, it sends one request at a time, also without entries.
func (c *core) replicateTo(now time.Time, to Replica, p *progress) {
	switch {
	case p.next <= c.log.base:
		p.snapshotting = true
		c.out.streams = append(c.out.streams, to)
	case !p.streaming && p.inFlight == 0:
		c.sendAppend(now, to, p, p.next-1, c.log.batch(p.next, c.appendBytes), false)
	case p.streaming:
		c.streamTo(now, to, p)
	}
}

// streamTo sends new entries without waiting for answers.
func (c *core) streamTo(now time.Time, to Replica, p *progress) {
	for p.next <= c.log.last() && p.inFlight < maxInFlight {
		entries := c.log.batch(p.next, c.appendBytes)
		c.sendAppend(now, to, p, p.next-1, entries, false)
		p.next += uint64(len(entries))
	}
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

// handleAppend takes entries or a heartbeat from the leader.
func (c *core) handleAppend(now time.Time, from Replica, req *AppendRequest) AppendReply {
	if !c.hearLeader(now, from, req.Term) {
		return AppendReply{Term: c.term}
	}
	prev, prevTerm, entries := req.PrevIndex, req.PrevTerm, req.Entries
	match := prev + uint64(len(entries))
	if prev < c.log.base {
		// Everything up to base is committed and agrees with every leader.
		skip := min(c.log.base-prev, uint64(len(entries)))
		entries = entries[skip:]
		prev, prevTerm = c.log.base, c.log.baseTerm
	}
	if hint, ok := c.agreesAt(prev, prevTerm); !ok {
		return AppendReply{Term: c.term, Hint: hint}
	}
	if !c.storeEntries(entries) {
		return AppendReply{Term: c.term}
	}
	if known := min(req.Commit, match); known > c.commit {
		c.commit = known
		c.settleConfigs()
	}
	return AppendReply{Term: c.term, Success: true, Match: match}
}

// hearLeader accepts a message of a leader unless its term is over.
func (c *core) hearLeader(now time.Time, from Replica, term uint64) bool {
	if term < c.term {
		return false
	}
	if term == c.term && c.role == leader {
		c.breakInvariant("%v and %v both lead term %d", c.self, from, term)
		return false
	}
	c.becomeFollower(now, term, from)
	c.promisedUntil = now.Add(c.timing.ElectionMin)
	c.startPromise = false
	c.resetElection(now)
	return true
}

// agreesAt reports whether the log has an entry of the term at index, or an
// index below which to try next.
func (c *core) agreesAt(index, term uint64) (hint uint64, ok bool) {
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

// storeEntries appends what is new and replaces a conflicting suffix.
func (c *core) storeEntries(entries []wal.Entry) bool {
	for i, entry := range entries {
		own, present := c.log.term(entry.Index)
		if present && own == entry.Term {
			continue
		}
		if present && !c.truncate(entry.Index-1) {
			return false
		}
		fresh := entries[i:]
		c.log.entries = append(c.log.entries, fresh...)
		c.out.batch.Entries = append(c.out.batch.Entries, fresh...)
		if err := c.adoptConfigs(fresh); err != nil {
			c.breakInvariant("%v", err)
			return false
		}
		return true
	}
	return true
}

// truncate drops a conflicting suffix, which can't be committed.
func (c *core) truncate(index uint64) bool {
	if index < c.commit {
		c.breakInvariant("%v would drop entry %d, committed up to %d", c.self, index+1, c.commit)
		return false
	}
	c.log.truncate(index)
	c.stable = min(c.stable, index)
	c.truncated = c.job + 1
	c.dropConfigsAbove(index)
	return true
}

// handleAppendReply takes the answer to an AppendRequest.
func (c *core) handleAppendReply(now time.Time, from Replica, sent sentAppend, req *AppendRequest, reply *AppendReply) {
	if reply.Term > c.term {
		c.becomeFollower(now, reply.Term, Replica{})
		return
	}
	p := c.peerOf(from, sent.term)
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
		p.setBack(min(req.PrevIndex, reply.Hint+1))
	}
	if c.role == leader {
		c.releaseReads(now)
	}
}

// advance records that a peer holds the log up to match.
func (c *core) advance(p *progress, match uint64, current bool) {
	p.match = max(p.match, match)
	if current && !p.streaming {
		p.streaming = true
		p.next = match + 1
	}
	p.next = max(p.next, p.match+1)
}

// setBack returns to one request at a time from next on.
func (p *progress) setBack(next uint64) {
	p.streaming = false
	p.inFlight = 0
	p.epoch++
	p.next = max(1, next)
}

// appendFailed takes the failure of a call.
func (c *core) appendFailed(now time.Time, from Replica, sent sentAppend) {
	p := c.peerOf(from, sent.term)
	if p == nil || sent.heartbeat || sent.epoch != p.epoch {
		return
	}
	p.setBack(p.match + 1)
	p.retryAt = now.Add(c.timing.Heartbeat)
}

// peerOf returns the progress of a peer if this replica still leads term.
func (c *core) peerOf(peer Replica, term uint64) *progress {
	if c.role != leader || c.term != term {
		return nil
	}
	return c.progress[peer]
}
