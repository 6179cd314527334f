package consensus

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// runCluster starts a cluster in virtual time and stops it after the test.
func runCluster(t *testing.T, count int, options Options, fn func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(1, count, options)
		must.NoError(t, c.startAll())
		defer c.stopAll()
		fn(t, c)
		must.NoError(t, c.oracle.violation())
	})
}

// mustLead waits for a leader and returns it.
func mustLead(t *testing.T, c *cluster) *member {
	t.Helper()
	m, err := c.waitLeading(10 * time.Second)
	must.NoError(t, err)
	return m
}

// mustPut commits the commands with IDs from..to through the current leader.
func mustPut(t *testing.T, c *cluster, from, to int) {
	t.Helper()
	for id := from; id <= to; id++ {
		m := mustLead(t, c)
		must.NoError(t, c.put(t.Context(), m, command{ID: id, Key: "k", Value: id}))
	}
}

func TestNode_CommitsAtEverySize(t *testing.T) {
	for _, count := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			runCluster(t, count, Options{}, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 50)
				m := mustLead(t, c)
				must.NoError(t, m.node.ReadBarrier(t.Context()))
				must.Eq(t, 50, m.machine.get("k"))
				must.Len(t, count, m.node.Members().Voters())
			})
		})
	}
}

func TestNode_LeaderCrash(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 10)
		old := mustLead(t, c)
		c.crash(old.id)
		mustPut(t, c, 11, 20)
		must.NoError(t, c.start(old.id))
		time.Sleep(2 * time.Second)
		must.Len(t, 20, old.machine.history())
	})
}

// TestNode_LostDisk replaces the disk of each replica in turn, each time as
// soon as the previous repair is complete.
func TestNode_LostDisk(t *testing.T) {
	runCluster(t, 3, Options{SnapshotEntries: 40}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 100)
		for round, id := range c.ids {
			before := c.members[id].node.Self()
			c.crash(id)
			c.members[id].fs.Wipe()
			must.NoError(t, c.start(id))
			for !c.fullyRepaired() {
				time.Sleep(time.Millisecond)
			}
			must.NotEq(t, before, c.members[id].node.Self())
			must.Eq(t, RoleNone, mustLead(t, c).node.Members().Role(before))
			mustPut(t, c, 101+round, 101+round)
		}
		m := mustLead(t, c)
		must.NoError(t, m.node.ReadBarrier(t.Context()))
		must.Len(t, 103, m.machine.history())
	})
}

// TestNode_EmptyDiskJoinsThroughIsolatedLeader lets a replica with an empty
// disk join through a leader that is cut off from all other voters. The learner
// then holds a membership entry that is never committed, and its leader loses
// the leadership. The learner must ask the next leader to join again.
func TestNode_EmptyDiskJoinsThroughIsolatedLeader(t *testing.T) {
	runCluster(t, 5, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 10)
		isolated := mustLead(t, c)
		var lost *member
		var others []*member
		for _, id := range c.ids {
			switch {
			case id == isolated.id:
			case lost == nil:
				lost = c.members[id]
			default:
				others = append(others, c.members[id])
			}
		}
		c.crash(lost.id)
		lost.fs.Wipe()
		cutVoters := func() {
			for _, m := range others {
				c.net.setCut(isolated.id, m.id, true)
				c.net.setCut(m.id, isolated.id, true)
			}
		}
		cutVoters()
		c.net.setCut(others[0].id, others[1].id, true)
		c.net.setCut(others[1].id, others[2].id, true)
		c.net.setCut(others[2].id, others[0].id, true)
		must.NoError(t, c.start(lost.id))
		isLearner := func() bool {
			v := lost.node.replica.view.Load()
			return v.members.Role(v.self) == RoleLearner
		}
		for end := time.Now().Add(DefaultElectionMin); !isLearner(); time.Sleep(time.Millisecond) {
			must.True(t, time.Now().Before(end), must.Sprint("the isolated leader did not add the replica"))
		}
		// The learner's join call times out meanwhile.
		time.Sleep(10 * time.Second)
		c.net.heal()
		cutVoters()
		_, err := c.waitLeading(10 * time.Second)
		must.NoError(t, err)
		c.net.heal()
		for end := time.Now().Add(time.Minute); !c.fullyRepaired(); time.Sleep(10 * time.Millisecond) {
			must.True(t, time.Now().Before(end), must.Sprint("the replica did not become a voter again"))
		}
		mustPut(t, c, 11, 12)
	})
}

func TestNode_FailedSyncStopsReplica(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 3)
		m := mustLead(t, c)
		m.fs.Inject(failSyncs)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.ErrorIs(t, c.put(ctx, m, command{ID: 4, Key: "k", Value: 4}), ErrUncertain)
		must.Error(t, <-m.node.Fatal())
		must.False(t, m.node.Leadership().Leading)
		mustPut(t, c, 5, 9)
	})
}

func TestNode_GracefulStopTransfersLeadership(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 3)
		old := mustLead(t, c)
		began := time.Now()
		c.stop(old.id)
		mustLead(t, c)
		must.Less(t, DefaultElectionMin, time.Since(began))
	})
}

func TestNode_PartitionedLeaderLosesLease(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 3)
		old := mustLead(t, c)
		for _, id := range c.ids {
			c.net.setCut(old.id, id, true)
			c.net.setCut(id, old.id, true)
		}
		for old.node.Leadership().Leading {
			must.Eq(t, old, c.leading())
			time.Sleep(time.Millisecond)
		}
		next := mustLead(t, c)
		must.NotEq(t, old.id, next.id)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.Error(t, old.node.ReadBarrier(ctx))
		c.net.heal()
		mustPut(t, c, 4, 6)
	})
}
