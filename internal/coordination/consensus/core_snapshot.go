package consensus

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/snap"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// compact drops entries up to index from memory. A durable snapshot covers them.
func (c *core) compact(index uint64) {
	c.log.compact(min(index, c.handed))
}

// wantsSnapshot reports whether a snapshot tells more than the own log.
func (c *core) wantsSnapshot(meta snap.Meta) bool {
	return meta.Index > c.commit
}

// installSnapshot replaces the log by a snapshot from the leader.
func (c *core) installSnapshot(snapshot snap.Snapshot) {
	members, err := decodeMembership(snapshot.Meta.Members)
	if err != nil {
		c.breakInvariant("%v", err)
		return
	}
	meta := snapshot.Meta
	c.log.reset(meta.Index, meta.Term)
	c.configs = []configAt{{index: meta.Index, members: members}}
	c.commit, c.handed = meta.Index, meta.Index
	c.stable = 0
	c.truncated = c.job + 1
	c.out.batch.Mark = &wal.Mark{Index: meta.Index, Term: meta.Term}
	c.out.batch.Entries = nil
	c.out.committed = nil
	c.out.snapshot, c.out.restore = &snapshot, &snapshot
}

// snapshotDone takes the end of a stream to a peer. The peer holds the log up
// to index if ok.
func (c *core) snapshotDone(now time.Time, to Replica, term, index uint64, ok bool) {
	p := c.peerOf(to, term)
	if p == nil {
		return
	}
	p.snapshotting = false
	p.setBack(p.match + 1)
	if !ok {
		p.retryAt = now.Add(c.timing.Heartbeat)
	} else {
		c.advance(p, index, false)
		c.advanceCommit(now)
	}
}
