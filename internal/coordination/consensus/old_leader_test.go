package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// replaceFollower crashes a follower for good and starts a node with an empty
// disk 1 s later. The leader's messages to it are held up at first.
func replaceFollower(t *testing.T, c *cluster, successor ident.NodeID, heldUp time.Duration) {
	t.Helper()
	leading := mustLead(t, c).id
	old := c.ids[slices.IndexFunc(c.ids, func(id ident.NodeID) bool { return id != leading })]
	c.crash(old)
	c.net.mu.Lock()
	c.net.gone[old] = true
	c.net.mu.Unlock()
	c.forget(old)
	time.Sleep(time.Second)
	c.net.setCut(leading, successor, true)
	c.join(t, successor)
	time.Sleep(heldUp)
	c.net.heal()
	time.Sleep(catchUpTime)
}

// TestNode_SuccessorsUnderOldLeader replaces all replicas, one after the other,
// under a leader that is older than staleLearnerTimeout. A successor that had no
// time to answer was taken for silent since the beginning of the term and removed.
func TestNode_SuccessorsUnderOldLeader(t *testing.T) {
	for _, heldUp := range []time.Duration{0, 200 * time.Millisecond, time.Second} {
		t.Run(heldUp.String(), func(t *testing.T) {
			runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 5)
				time.Sleep(2 * staleLearnerTimeout)
				for i := range 3 {
					successor := ident.NodeID(fmt.Sprintf("new%d", i))
					replaceFollower(t, c, successor, heldUp)
					select {
					case err := <-c.members[successor].node.Fatal():
						t.Fatalf("%s stopped: %v", successor, err)
					default:
					}
				}
				must.Len(t, 3, mustLead(t, c).node.Members().Voters(), must.Sprint(c.describe()))
				losePowerAndDisk(t, c, "new1", 5)
			})
		})
	}
}

// TestNode_DeadVoterBecomesLearnerUnderOldLeader cuts a voter off for longer than
// staleLearnerTimeout before a successor takes its place. It loses its vote, but
// stays a member for staleLearnerTimeout from then on: its disk is intact.
func TestNode_DeadVoterBecomesLearnerUnderOldLeader(t *testing.T) {
	runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 5)
		leading := mustLead(t, c).id
		cutOff := c.ids[slices.IndexFunc(c.ids, func(id ident.NodeID) bool { return id != leading })]
		self := c.members[cutOff].node.Self()
		c.setIsolated(cutOff, true)
		time.Sleep(2 * staleLearnerTimeout)
		c.join(t, "d")
		c.net.setCut("d", cutOff, true)
		c.net.setCut(cutOff, "d", true)
		time.Sleep(catchUpTime)
		must.Eq(t, RoleLearner, mustLead(t, c).node.Members().Role(self), must.Sprint(c.describe()))
		c.net.heal()
		time.Sleep(catchUpTime)
		must.Eq(t, RoleVoter, mustLead(t, c).node.Members().Role(self), must.Sprint(c.describe()))
	})
}

// TestNode_SuccessorWhileLeadersChange crashes a follower for good and lets the
// leadership change 1 and 2.7 s later. A successor that starts 1 s after the loss
// must vote within catchUpTime: each new leader counted the silence of the dead
// voter from the beginning of its own term.
func TestNode_SuccessorWhileLeadersChange(t *testing.T) {
	for _, returns := range []bool{false, true} {
		t.Run(fmt.Sprintf("same leader returns %t", returns), func(t *testing.T) {
			runCluster(t, 3, replacementOptions, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 5)
				time.Sleep(time.Second)
				leading := mustLead(t, c)
				dead := c.ids[slices.IndexFunc(c.ids, func(id ident.NodeID) bool { return id != leading.id })]
				c.crash(dead)
				c.forget(dead)
				time.Sleep(time.Second)
				c.join(t, "d")
				started := time.Now()
				for _, pause := range []time.Duration{0, 1700 * time.Millisecond} {
					time.Sleep(pause)
					leading = mustLead(t, c)
					if returns {
						loseLeadership(t, leading)
						time.Sleep(time.Millisecond)
						continue
					}
					leading.node.replica.transferLeadership(t.Context())
					must.NotEq(t, leading, mustLead(t, c))
				}
				time.Sleep(time.Until(started.Add(catchUpTime)))
				self := c.members["d"].node.Self()
				must.Eq(t, RoleVoter, mustLead(t, c).node.Members().Role(self), must.Sprint(c.describe()))
				must.Len(t, 3, mustLead(t, c).node.Members().Voters(), must.Sprint(c.describe()))
			})
		})
	}
}
