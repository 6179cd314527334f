package consensus

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/snap"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// TestSnapshot_KeepsEntriesThatFollow guards against entries that a replica has acknowledged and
// drops for a snapshot which ends before them: of five replicas, three may hold them, one of
// which fails next. A log that differs from the snapshot must be replaced.
func TestSnapshot_KeepsEntriesThatFollow(t *testing.T) {
	for name, c := range map[string]struct {
		index, term  uint64
		last, commit uint64
	}{
		"log goes on after it":   {8, 1, 12, 8},
		"log ends with it":       {12, 1, 12, 12},
		"committed already":      {4, 1, 12, 5},
		"log ends before it":     {20, 2, 20, 20},
		"log differs":            {8, 2, 8, 8},
		"log differs at its end": {12, 2, 12, 12},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			s := newCoreSim(1, 5, faults{})
			var entries []wal.Entry
			for i := range uint64(12) {
				entries = append(entries, wal.Entry{Index: i + 1, Term: 1, Kind: entryCommand})
			}
			follower, err := newCore(now, coreConfig{
				self: s.replicas[0], timing: Timing{}.withDefaults(), rng: s.nodes[0].core.rng,
				hard: wal.HardState{Term: 1, Commit: 5}, members: s.members, entries: entries,
			})
			must.NoError(t, err)
			r := &replica{core: follower}
			members := s.members.encode()
			reply := r.handleChunk(now, &SnapshotRequest{
				Header: Header{From: s.replicas[1], To: s.replicas[0]}, Term: 3,
				Index: c.index, SnapshotTerm: c.term, Members: members, Total: 1, Data: []byte("x"),
			})
			must.True(t, reply.Done)
			must.Eq(t, c.last, follower.log.last())
			must.Eq(t, c.commit, follower.commit)
			out := follower.take()
			must.Eq(t, c.index > 5 && c.last == c.index && c.term == 2, out.snapshot != nil)
			if out.snapshot != nil {
				must.Eq(t, snap.Meta{Index: c.index, Term: c.term, Members: members}, out.snapshot.Meta)
				return
			}
			must.Len(t, int(c.commit), out.committed)
		})
	}
}
