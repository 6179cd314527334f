package consensus

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// largeKey makes a command as large as a configuration of some hundred routes.
var largeKey = strings.Repeat("k", 64<<10)

// putLarge commits the large commands with IDs from..to, at most one each gap.
func putLarge(t *testing.T, c *cluster, from, to int, gap time.Duration) {
	t.Helper()
	for id := from; id <= to; id++ {
		next := time.Now().Add(gap)
		must.NoError(t, c.put(t.Context(), mustLead(t, c), command{ID: id, Key: largeKey, Value: id}))
		time.Sleep(time.Until(next))
	}
}

// runLargeCluster runs three replicas with slow disks, whose snapshots have the
// size of one command.
func runLargeCluster(t *testing.T, fn func(t *testing.T, c *cluster)) {
	t.Helper()
	runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
		c.latestOnly = true
		for _, id := range c.ids {
			c.kill(id)
			c.members[id].fs.Inject(disk.Faults{SyncDelay: 5 * time.Millisecond})
			must.NoError(t, c.start(id))
		}
		fn(t, c)
	})
}

// logBytes returns the size of a replica's log in memory, in bytes.
func (m *member) logBytes(t *testing.T) int {
	t.Helper()
	size := make(chan int, 1)
	must.NoError(t, m.node.replica.post(t.Context(), func(time.Time) {
		log := &m.node.replica.core.log
		size <- log.bytesAfter(log.base)
	}))
	return <-size
}

// folderBytes returns the size of a replica's files, in bytes.
func (m *member) folderBytes(t *testing.T) int {
	t.Helper()
	size := 0
	for _, dir := range []string{walDir, snapDir} {
		names, err := m.fs.List(dir)
		must.NoError(t, err)
		for _, name := range names {
			content, err := m.fs.ReadFile(dir + "/" + name)
			must.NoError(t, err)
			size += len(content)
		}
	}
	return size
}

// TestNode_LogOfLargeEntriesIsBounded commits 38 MB of large commands. The log
// kept 1,024 entries whatever their size, in memory and on disk, so that all
// replicas ran out of memory at the same time.
func TestNode_LogOfLargeEntriesIsBounded(t *testing.T) {
	runLargeCluster(t, func(t *testing.T, c *cluster) {
		putLarge(t, c, 1, 600, 0)
		time.Sleep(time.Second)
		for _, id := range c.ids {
			must.Between(t, 0, c.members[id].logBytes(t), 3*DefaultSnapshotBytes)
			must.Between(t, 0, c.members[id].folderBytes(t), 2*DefaultSnapshotBytes+3*wal.DefaultSegmentBytes)
		}
	})
}

// TestNode_EmptyReplicaAfterLargeEntries adds a replica after 600 large commands,
// while a change comes each 80 ms, and expects its vote within half of
// catchUpTime. It was sent the whole log, of 38 MB.
func TestNode_EmptyReplicaAfterLargeEntries(t *testing.T) {
	runLargeCluster(t, func(t *testing.T, c *cluster) {
		putLarge(t, c, 1, 600, 0)
		c.join(t, "d")
		c.members["d"].fs.Inject(disk.Faults{SyncDelay: 5 * time.Millisecond})
		putLarge(t, c, 601, 600+int(catchUpTime/2/(80*time.Millisecond)), 80*time.Millisecond)
		self := c.members["d"].node.Self()
		must.Eq(t, RoleVoter, mustLead(t, c).node.Members().Role(self), must.Sprint(c.describe()))
		must.Between(t, 0, c.members["d"].logBytes(t), 3*DefaultSnapshotBytes)
	})
}

// TestNode_UncommittedBytesAreBounded cuts a leader's followers off while large
// commands arrive. The leader must stop accepting them at maxUncommittedBytes.
func TestNode_UncommittedBytesAreBounded(t *testing.T) {
	runLargeCluster(t, func(t *testing.T, c *cluster) {
		putLarge(t, c, 1, 5, 0)
		leading := mustLead(t, c)
		for _, id := range c.ids {
			c.net.setCut(leading.id, id, true)
		}
		for id := range 400 {
			go func() { _ = c.put(t.Context(), leading, command{ID: 1000 + id, Key: largeKey, Value: id}) }()
		}
		time.Sleep(replacementOptions.Timing.ElectionMin / 2)
		must.Between(t, 0, leading.logBytes(t), DefaultSnapshotBytes+maxUncommittedBytes+len(largeKey)*2)
		c.net.heal()
		time.Sleep(replacementOptions.Timing.ElectionMax)
		putLarge(t, c, 6, 10, 0)
	})
}
