package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// replacementOptions are those of a deployment whose replicas replace each
// other without an operator.
var replacementOptions = Options{
	ReplaceDead: true,
	Timing:      Timing{Heartbeat: 50 * time.Millisecond, ElectionMin: 250 * time.Millisecond, ElectionMax: 400 * time.Millisecond},
}

// catchUpTime is the time from the start of a replacement until another replica
// may be lost.
const catchUpTime = 4 * time.Second

// join starts a node with an empty disk under a new ID.
func (c *cluster) join(t *testing.T, id ident.NodeID) {
	t.Helper()
	c.ids = append(c.ids, id)
	c.members[id] = &member{id: id, fs: disk.NewFake(int64(len(c.ids))), clockRate: 1}
	must.NoError(t, c.start(id))
}

// forget excludes a node that is down from all later starts.
func (c *cluster) forget(id ident.NodeID) {
	c.ids = slices.DeleteFunc(slices.Clone(c.ids), func(other ident.NodeID) bool { return other == id })
}

// describe returns the membership and the last failed campaign of each node.
func (c *cluster) describe() string {
	var text string
	for _, id := range c.ids {
		status := c.members[id].node.Status()
		text += fmt.Sprintf("\n%s: %v; %s", id, c.members[id].node.Members(), status.FailedCampaign)
	}
	return text
}

// losePowerAndDisk crashes all nodes, empties the disk of one and starts all
// again. They must elect a leader and keep every acknowledged command.
func losePowerAndDisk(t *testing.T, c *cluster, lost ident.NodeID, acked int) {
	t.Helper()
	for _, id := range c.ids {
		c.crash(id)
	}
	c.members[lost].fs.Wipe()
	must.NoError(t, c.startAll())
	leading, err := c.waitLeading(10 * time.Second)
	must.NoError(t, err, must.Sprintf("after the loss of the disk of %s: %s", lost, c.describe()))
	must.NoError(t, leading.node.ReadBarrier(t.Context()))
	must.Len(t, acked, leading.machine.history())
	mustPut(t, c, acked+1, acked+1)
}

// TestNode_PlannedReplacementThenDiskLost replaces a replica by one that joins
// before the old one stops. As soon as the old one has stopped, all others lose
// power and one of them its disk.
func TestNode_PlannedReplacementThenDiskLost(t *testing.T) {
	for _, lost := range []ident.NodeID{"b", "c", "d"} {
		for _, old := range []string{"leader", "follower"} {
			t.Run(fmt.Sprintf("%s, disk of %s", old, lost), func(t *testing.T) {
				runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
					mustPut(t, c, 1, 5)
					for old == "leader" != (mustLead(t, c).id == "a") {
						leading := mustLead(t, c).id
						c.stop(leading)
						must.NoError(t, c.start(leading))
					}
					c.join(t, "d")
					time.Sleep(catchUpTime)
					c.stop("a")
					c.forget("a")
					losePowerAndDisk(t, c, lost, 5)
				})
			})
		}
	}
}

// TestNode_ReplacementBeforeOldIsMissed starts the replacement of a crashed
// replica before the leader, old or new, can tell that the old one is gone.
func TestNode_ReplacementBeforeOldIsMissed(t *testing.T) {
	for gap := time.Duration(0); gap <= time.Second; gap += 100 * time.Millisecond {
		for _, old := range []string{"leader", "follower"} {
			t.Run(fmt.Sprintf("%s, %v", old, gap), func(t *testing.T) {
				runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
					mustPut(t, c, 1, 5)
					leading := mustLead(t, c).id
					i := slices.IndexFunc(c.ids, func(id ident.NodeID) bool { return (id == leading) == (old == "leader") })
					gone := c.ids[i]
					c.crash(gone)
					c.forget(gone)
					time.Sleep(gap)
					c.join(t, "d")
					time.Sleep(catchUpTime)
					losePowerAndDisk(t, c, c.ids[0], 5)
				})
			})
		}
	}
}

// TestNode_DeadVoterOfFour crashes one of four voters for good. Without a
// replacement, the others must tolerate the loss of another one.
func TestNode_DeadVoterOfFour(t *testing.T) {
	for _, dead := range []ident.NodeID{"a", "b"} {
		runCluster(t, 4, replacementOptions, func(t *testing.T, c *cluster) {
			mustPut(t, c, 1, 5)
			c.crash(dead)
			c.forget(dead)
			time.Sleep(catchUpTime)
			losePowerAndDisk(t, c, "d", 5)
		})
	}
}

// TestNode_VoterOfFourReturns stops one of four voters gracefully, crashes it or
// cuts it off for longer than DeadVoterTimeout. It must keep its disk and vote
// again once it is back.
func TestNode_VoterOfFourReturns(t *testing.T) {
	for name, interrupt := range map[string]func(t *testing.T, c *cluster){
		"stopped": func(t *testing.T, c *cluster) {
			c.stop("b")
			must.NoError(t, c.start("b"))
		},
		"crashed": func(t *testing.T, c *cluster) {
			c.crash("b")
			time.Sleep(2 * DeadVoterTimeout)
			must.NoError(t, c.start("b"))
		},
		"cut off": func(t *testing.T, c *cluster) {
			for _, id := range c.ids {
				c.net.setCut("b", id, true)
				c.net.setCut(id, "b", true)
			}
			time.Sleep(2 * DeadVoterTimeout)
			must.Len(t, 3, mustLead(t, c).node.Members().Voters())
			c.net.heal()
		},
	} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 4, replacementOptions, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 5)
				before := c.members["b"].node.Self()
				interrupt(t, c)
				time.Sleep(catchUpTime)
				must.Eq(t, before, c.members["b"].node.Self())
				must.Eq(t, RoleVoter, mustLead(t, c).node.Members().Role(before))
				mustPut(t, c, 6, 6)
			})
		})
	}
}

// TestNode_ReplacementsInSeries replaces replicas one after the other until
// there were more of them than a membership can hold.
func TestNode_ReplacementsInSeries(t *testing.T) {
	runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		for i := range 2 * MaxMembers {
			old := c.ids[0]
			c.join(t, ident.NodeID(fmt.Sprintf("new%02d", i)))
			time.Sleep(catchUpTime)
			c.stop(old)
			c.forget(old)
		}
		losePowerAndDisk(t, c, c.ids[1], 5)
		time.Sleep(2 * staleLearnerTimeout)
		must.Len(t, 3, mustLead(t, c).node.Members().Members)
	})
}

// TestNode_DiskLostAfterSeriesOfReplacements crashes and replaces replicas one
// after the other. Those that are gone give no answer. Then all lose power and
// one of them its disk; it must be a member again within catchUpTime.
func TestNode_DiskLostAfterSeriesOfReplacements(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for count := range 7 {
			t.Run(fmt.Sprintf("%d replacements, silent %v", count, silent), func(t *testing.T) {
				runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
					mustPut(t, c, 1, 5)
					for i := range count {
						old := c.ids[0]
						c.crash(old)
						c.net.gone[old] = silent
						c.forget(old)
						c.join(t, ident.NodeID(fmt.Sprintf("new%d", i)))
						time.Sleep(catchUpTime)
					}
					lost := c.ids[1]
					losePowerAndDisk(t, c, lost, 5)
					time.Sleep(catchUpTime)
					must.NotEq(t, RoleNone, mustLead(t, c).node.Members().Role(c.members[lost].node.Self()), must.Sprint(c.describe()))
				})
			})
		}
	}
}
