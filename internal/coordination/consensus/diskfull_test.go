package consensus

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// ackWithin and caughtUpWithin are what the users ask for: the time to the acknowledgement of
// a change, and the time until a replica counts again.
const (
	ackWithin      = 6 * time.Second
	caughtUpWithin = 6 * time.Second
)

// putUntilAcked proposes a command until it is acknowledged, as an operator does, and fails
// after ackWithin.
func putUntilAcked(t *testing.T, c *cluster, id int) {
	t.Helper()
	began := time.Now()
	for {
		m := mustLead(t, c)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		err := c.put(ctx, m, command{ID: id, Key: "k", Value: id})
		cancel()
		if err == nil {
			return
		}
		must.Less(t, ackWithin, time.Since(began), must.Sprintf("command %d: %v", id, err))
		time.Sleep(50 * time.Millisecond)
	}
}

// mustRun fails if a replica has stopped by itself.
func mustRun(t *testing.T, c *cluster) {
	t.Helper()
	for id, m := range c.members {
		select {
		case err := <-m.running().Fatal():
			t.Fatalf("replica %s ended: %v", id, err)
		default:
		}
	}
}

// TestNode_DisksFullInTurn guards against changes that stay unanswered long after full disks
// had room again: each disk is full for a while, never two at once, and snapshots fall due
// meanwhile.
func TestNode_DisksFullInTurn(t *testing.T) {
	for _, count := range []int{3, 5} {
		for name, full := range map[string]disk.Faults{
			"writes": {Full: true}, "names": {Full: true, FullNames: true}, "snapshots": {Full: true, FullAbove: 500},
		} {
			t.Run(fmt.Sprintf("%d replicas, %s", count, name), func(t *testing.T) {
				// So few bytes are kept in memory that a replica which falls behind gets a snapshot.
				runCluster(t, count, Options{SnapshotEntries: 8, SnapshotBytes: 64}, func(t *testing.T, c *cluster) {
					next := 0
					put := func(d time.Duration) {
						for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
							next++
							putUntilAcked(t, c, next)
						}
					}
					put(2 * time.Second)
					order := append([]ident.NodeID{mustLead(t, c).id}, c.current()...)
					for _, id := range order {
						m := c.members[id]
						m.fs.Inject(full)
						put(6 * time.Second)
						m.fs.Inject(disk.Faults{})
						put(3 * time.Second)
						mustRun(t, c)
					}
					time.Sleep(caughtUpWithin)
					for id, m := range c.members {
						must.Eq(t, next, m.state().get("k"), must.Sprint(id))
						must.Zero(t, m.running().Status().Writing, must.Sprint(id))
					}
				})
			})
		}
	}
}

// TestNode_DiskFullAtRestart kills a replica while its disk is full and starts it again: it
// can't be opened before there is room, and then counts again.
func TestNode_DiskFullAtRestart(t *testing.T) {
	for name, full := range map[string]disk.Faults{"writes": {Full: true}, "names": {Full: true, FullNames: true}} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 3, Options{SnapshotEntries: 8}, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 20)
				id := mustLead(t, c).id
				m := c.members[id]
				m.fs.Inject(full)
				for n := 21; n <= 40; n++ {
					putUntilAcked(t, c, n)
				}
				c.kill(id)
				err := c.start(id)
				must.True(t, errors.Is(err, disk.ErrFull), must.Sprint(err))
				time.AfterFunc(2*time.Second, func() { m.fs.Inject(disk.Faults{}) })
				must.NoError(t, c.startAwaitingSpace(id))
				time.Sleep(caughtUpWithin)
				mustRun(t, c)
				must.Eq(t, 40, m.state().get("k"))
				must.True(t, c.fullyRepaired())
			})
		})
	}
}

// TestNode_FullDiskEndsLeadership checks that a leader whose disk stays full hands over: what
// it can't write stays in its memory.
func TestNode_FullDiskEndsLeadership(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		full := mustLead(t, c)
		full.fs.Inject(disk.Faults{Full: true})
		for n := 6; n <= 60; n++ {
			putUntilAcked(t, c, n)
			time.Sleep(50 * time.Millisecond)
		}
		must.NotEq(t, full, mustLead(t, c))
		full.fs.Inject(disk.Faults{})
		time.Sleep(caughtUpWithin)
		must.Eq(t, 60, full.state().get("k"))
		mustRun(t, c)
	})
}

// TestNode_DiskFullWhileTheClusterForms fills the disk of a replica before it has stored that
// it belongs to the cluster.
func TestNode_DiskFullWhileTheClusterForms(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		m := c.members["b"]
		m.fs.Inject(disk.Faults{Full: true})
		time.Sleep(3 * time.Second)
		mustRun(t, c)
		m.fs.Inject(disk.Faults{})
		for n := 1; n <= 5; n++ {
			putUntilAcked(t, c, n)
		}
		time.Sleep(caughtUpWithin)
		mustRun(t, c)
		must.Eq(t, 5, m.state().get("k"))
		must.True(t, c.fullyRepaired())
	})
}

// TestNode_DiskFullForALeadersSnapshot fills the disk of a replica that is so far behind that
// the leader sends it a snapshot.
func TestNode_DiskFullForALeadersSnapshot(t *testing.T) {
	runCluster(t, 3, Options{SnapshotEntries: 8, SnapshotBytes: 64}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		id := ident.NodeID("a")
		if mustLead(t, c).id == id {
			id = "b"
		}
		m := c.members[id]
		c.kill(id)
		mustPut(t, c, 6, 60)
		stored := func() []string {
			names, err := m.fs.List(snapDir)
			must.NoError(t, err)
			return names
		}
		before := stored()
		must.NoError(t, c.start(id))
		m.fs.Inject(disk.Faults{Full: true})
		for n := 61; n <= 80; n++ {
			putUntilAcked(t, c, n)
			time.Sleep(100 * time.Millisecond)
		}
		mustRun(t, c)
		must.Eq(t, before, stored(), must.Sprint("nothing fits on the disk"))
		m.fs.Inject(disk.Faults{})
		time.Sleep(caughtUpWithin)
		mustRun(t, c)
		must.Eq(t, 80, m.state().get("k"))
		must.NotEq(t, before, stored())
	})
}
