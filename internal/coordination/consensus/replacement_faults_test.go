package consensus

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// startKnowing starts a node that is down with the given initial replicas, as
// after a restart with settings that were written earlier.
func (c *cluster) startKnowing(id ident.NodeID, initial ...ident.NodeID) error {
	all := c.ids
	c.ids = append(slices.Clone(initial), id)
	defer func() { c.ids = all }()
	return c.start(id)
}

// TestNode_LeftReplicaWhoseSeedsAreGone stops one of four voters gracefully and
// starts it with initial replicas that no longer exist. It knows the members and
// the leader from its log, so it must vote again.
func TestNode_LeftReplicaWhoseSeedsAreGone(t *testing.T) {
	runCluster(t, 4, replacementOptions, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		self := c.members["b"].node.Self()
		c.stop("b")
		must.NoError(t, c.startKnowing("b", "gone1", "gone2", "gone3"))
		time.Sleep(5 * catchUpTime)
		must.Eq(t, RoleVoter, mustLead(t, c).node.Members().Role(self), must.Sprint(c.describe()))
	})
}

// TestNode_FormerLeaderRestartsAfterLeft lets the replica that led first, and
// answered its successor for minutes since, leave for a restart while the
// successor loses and regains the leadership. Its absence of two seconds must not
// count from the time when it led.
func TestNode_FormerLeaderRestartsAfterLeft(t *testing.T) {
	runCluster(t, 4, replacementOptions, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		former := mustLead(t, c).id
		c.stop(former)
		must.NoError(t, c.start(former))
		time.Sleep(catchUpTime)
		successor := mustLead(t, c)
		must.NotEq(t, former, successor.id)
		time.Sleep(2 * staleLearnerTimeout)
		self := c.members[former].node.Self()
		must.Eq(t, RoleVoter, successor.node.Members().Role(self))
		// The successor must be the one that is elected again.
		for _, id := range c.ids {
			if id != successor.id {
				delayCampaigns(t, c.members[id])
			}
		}
		time.Sleep(time.Second)
		c.stop(former)
		loseLeadership(t, successor)
		time.Sleep(2 * time.Second)
		must.Eq(t, successor, mustLead(t, c))
		must.NotEq(t, RoleNone, successor.node.Members().Role(self), must.Sprint(successor.node.Members()))
	})
}

// delayCampaigns lets a follower wait for up to a minute without a leader before
// it campaigns.
func delayCampaigns(t *testing.T, m *member) {
	t.Helper()
	must.NoError(t, m.node.replica.post(t.Context(), func(time.Time) {
		m.node.replica.core.timing.ElectionMax = time.Minute
	}))
}

// loseLeadership makes a leader step down, as one does that was frozen for longer
// than ElectionMax.
func loseLeadership(t *testing.T, m *member) {
	t.Helper()
	must.NoError(t, m.node.replica.post(t.Context(), func(now time.Time) {
		m.node.replica.core.becomeFollower(now, m.node.replica.core.term, Replica{})
		m.node.replica.core.electionAt = now
	}))
}

// TestNode_LearnerOfOperatorWaits adds a learner through the operator's call
// before its process starts. It must not vote until the operator promotes it.
func TestNode_LearnerOfOperatorWaits(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		c.join(t, "d")
		c.kill("d")
		self := c.members["d"].selfOnDisk(t)
		leading := mustLead(t, c)
		must.NoError(t, leading.node.AddLearner(t.Context(), self))
		must.NoError(t, c.start("d"))
		time.Sleep(catchUpTime)
		must.Eq(t, RoleLearner, mustLead(t, c).node.Members().Role(self))
	})
}

// selfOnDisk returns the identity that a node's folder stores.
func (m *member) selfOnDisk(t *testing.T) Replica {
	t.Helper()
	own, err := loadIdentity(m.fs, m.id, 0)
	must.NoError(t, err)
	return own.Replica
}

// TestNode_TwoDeadVotersOfFive crashes two of five voters for good, one after the
// other. Without a replacement, the three others must tolerate the loss of
// another one, as three voters do.
func TestNode_TwoDeadVotersOfFive(t *testing.T) {
	runCluster(t, 5, replacementOptions, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		for _, dead := range []ident.NodeID{"a", "b"} {
			c.crash(dead)
			c.forget(dead)
			time.Sleep(2 * catchUpTime)
		}
		losePowerAndDisk(t, c, "e", 5)
	})
}

// TestNode_VoterOfFourKilledThenDiskLost replaces a replica by one that joins
// long before, and kills the old one. A second later and at any time after that,
// all others lose power and one of them its disk.
func TestNode_VoterOfFourKilledThenDiskLost(t *testing.T) {
	for _, gap := range []time.Duration{SilentVoterTimeout + DefaultHeartbeat, 2 * time.Second, 3 * time.Second, 3500 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) { killVoterOfFour(t, gap) })
	}
}

// TestNode_VoterOfFourKilledMomentsBeforeDiskLost does the same before the leader
// can miss the old one. Two of four votes were left for good: the replica without a disk
// must recover its vote.
func TestNode_VoterOfFourKilledMomentsBeforeDiskLost(t *testing.T) {
	for _, gap := range []time.Duration{0, 10 * time.Millisecond, 500 * time.Millisecond, SilentVoterTimeout} {
		t.Run(gap.String(), func(t *testing.T) { killVoterOfFour(t, gap) })
	}
}

// TestNode_VoterOfFourKilledMomentsBeforeAnotherStaysAway kills the old one of a planned
// replacement and, before the leader can miss it, another one that doesn't come
// back. Deployments bear that: the old one no longer counts.
func TestNode_VoterOfFourKilledMomentsBeforeAnotherStaysAway(t *testing.T) {
	runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		c.join(t, "d")
		time.Sleep(catchUpTime)
		c.kill("a")
		c.forget("a")
		time.Sleep(500 * time.Millisecond)
		c.kill("b")
		_, err := c.waitLeading(10 * time.Second)
		must.NoError(t, err)
	})
}

// TestNode_RecoveredVoteSurvivesRestarts lets a replica recover its vote while another
// voter is away, then kills all, twice, before and after the replica has caught up.
func TestNode_RecoveredVoteSurvivesRestarts(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			runCluster(t, 4, replacementOptions, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 5)
				self := c.members["b"].node.Self()
				for _, id := range c.ids {
					c.crash(id)
				}
				c.forget("a")
				c.members["b"].fs.Wipe()
				must.NoError(t, c.startAll())
				for end := time.Now().Add(recoveryTime); c.members["b"].node.Self() != self; time.Sleep(time.Millisecond) {
					must.True(t, time.Now().Before(end), must.Sprint(c.describe()))
				}
				time.Sleep(pause)
				for range 2 {
					for _, id := range c.ids {
						c.crash(id)
					}
					must.NoError(t, c.startAll())
					must.NoError(t, mustLead(t, c).node.ReadBarrier(t.Context()))
				}
				must.Eq(t, self, c.members["b"].node.Self())
				must.Len(t, 5, mustLead(t, c).machine.history())
				mustPut(t, c, 6, 10)
			})
		})
	}
}

func killVoterOfFour(t *testing.T, gap time.Duration) {
	t.Helper()
	runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		c.join(t, "d")
		time.Sleep(catchUpTime)
		c.crash("a")
		c.forget("a")
		time.Sleep(gap)
		losePowerAndDisk(t, c, "b", 5)
	})
}

// TestNode_AllCrashWhileDeadVoterIsSwapped crashes all replicas at any moment
// around the time when a joined replica takes the place of a silent voter of
// three. All return, the silent one with its disk, and a single disk is lost: an
// overlap of losses, after which they must elect a leader.
func TestNode_AllCrashWhileDeadVoterIsSwapped(t *testing.T) {
	t.Parallel()
	var failed []string
	const from, to, step = 2980 * time.Millisecond, 3120 * time.Millisecond, 2 * time.Millisecond
	for _, lost := range []ident.NodeID{"a", "b", "c", "d"} {
		for delay := from; delay < to; delay += step {
			runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 5)
				for _, id := range c.ids {
					c.members[id].fs.Inject(slowDisk)
				}
				leading := mustLead(t, c).id
				silent := c.ids[slices.IndexFunc(c.ids, func(id ident.NodeID) bool { return id != leading })]
				c.crash(silent)
				time.Sleep(500 * time.Millisecond)
				c.join(t, "d")
				c.members["d"].fs.Inject(slowDisk)
				time.Sleep(delay - 500*time.Millisecond)
				for _, id := range c.ids {
					c.crash(id)
				}
				c.members[lost].fs.Wipe()
				must.NoError(t, c.startAll())
				if _, err := c.waitLeading(10 * time.Second); err != nil {
					failed = append(failed, "disk of "+string(lost)+", silent "+string(silent)+", after "+delay.String()+c.describe())
				}
			})
		}
	}
	must.SliceEmpty(t, failed, must.Sprint(failed))
}

// TestNode_SeveralPlannedReplacements starts new replicas beside the old ones,
// lets them catch up and stops the old ones. The three that remain must tolerate
// the loss of a disk.
func TestNode_SeveralPlannedReplacements(t *testing.T) {
	t.Parallel()
	for _, replaced := range []int{1, 2, 3} {
		for _, graceful := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d, graceful %t", replaced, graceful), func(t *testing.T) {
				t.Parallel()
				runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
					mustPut(t, c, 1, 5)
					old := c.ids[:replaced]
					for i := range replaced {
						c.join(t, ident.NodeID(fmt.Sprintf("new%d", i)))
						time.Sleep(catchUpTime)
					}
					for _, id := range old {
						if graceful {
							c.stop(id)
						} else {
							c.crash(id)
						}
						c.forget(id)
						time.Sleep(2 * catchUpTime)
					}
					losePowerAndDisk(t, c, c.ids[2], 5)
				})
			})
		}
	}
}

// TestNode_LeaderStopsBesideDeadVoter crashes one of six voters and stops the
// leader gracefully right after. If the leadership can't be transferred, the
// leader must not keep it without a lease while it waits for its vote to be
// taken.
func TestNode_LeaderStopsBesideDeadVoter(t *testing.T) {
	for dead := range 6 {
		runCluster(t, 6, replacementOptions, func(t *testing.T, c *cluster) {
			mustPut(t, c, 1, 5)
			time.Sleep(time.Second)
			leading := mustLead(t, c)
			if c.ids[dead] == leading.id {
				return
			}
			c.crash(c.ids[dead])
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			done := make(chan struct{})
			go func() { _ = leading.node.Stop(ctx); close(done) }()
			time.Sleep(10 * time.Millisecond)
			next := mustLead(t, c)
			must.NotEq(t, leading.id, next.id)
			gap := time.Since(began)
			<-done
			c.kill(leading.id)
			must.Less(t, 800*time.Millisecond, gap, must.Sprintf("%s dead, leader %s", c.ids[dead], leading.id))
		})
	}
}
