package consensus

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/snap"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// compact drops entries up to index from memory, except the last ones that
// together have at most keptBytes and number at most kept, and those not yet
// emitted for applying. The caller has saved a snapshot that covers them.
func (c *core) compact(index uint64, kept, keptBytes int) {
	index = min(index, c.emitted)
	c.log.compact(c.log.tailStart(index, kept, keptBytes))
}

// holdsSnapshot reports whether all entries that a snapshot from the leader covers are in the
// log, and commits them. Those that follow stay: this replica may have acknowledged them.
func (c *core) holdsSnapshot(meta snap.Meta) bool {
	if meta.Index <= c.commit {
		return true
	}
	if term, ok := c.log.term(meta.Index); !ok || term != meta.Term {
		return false
	}
	c.commit = meta.Index
	c.pruneConfigs()
	return true
}

// installSnapshot replaces the log with a snapshot from the leader.
func (c *core) installSnapshot(snapshot snap.Snapshot) {
	members, err := decodeMembership(snapshot.Meta.Members)
	if err != nil {
		c.failInvariant("%v", err)
		return
	}
	meta := snapshot.Meta
	c.log.reset(meta.Index, meta.Term)
	c.configs = []configAt{{index: meta.Index, members: members}}
	c.commit, c.emitted = meta.Index, meta.Index
	c.stable = 0
	c.firstJobAfterTruncate = c.job + 1
	c.out.batch.Mark = &wal.Mark{Index: meta.Index, Term: meta.Term}
	c.out.batch.Entries = nil
	c.out.committed = nil
	c.out.snapshot, c.out.restore = &snapshot, &snapshot
}

// snapshotDone handles the end of a snapshot stream to a peer. If ok is set,
// the peer holds the log up to index.
func (c *core) snapshotDone(now time.Time, to Replica, term, index uint64, ok bool) {
	p := c.progressOf(to, term)
	if p == nil {
		return
	}
	p.snapshotting = false
	p.resetToProbe(p.match + 1)
	if !ok {
		p.retryAt = now.Add(c.timing.Heartbeat)
	} else {
		c.advance(p, index, false)
		c.advanceCommit(now)
	}
}
