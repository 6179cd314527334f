package consensus

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestNode_AllReplicasLosePower crashes all replicas at once. They must elect a
// leader well before restarted voters would stop refusing votes on their own,
// even if one of them lost its disk.
func TestNode_AllReplicasLosePower(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
			mustPut(t, c, 1, 20)
			for _, id := range c.ids {
				c.crash(id)
			}
			if wiped {
				c.members["b"].fs.Wipe()
			}
			must.NoError(t, c.startAll())
			_, err := c.waitLeading(DefaultElectionMin / 2)
			must.NoError(t, err)
			mustPut(t, c, 21, 30)
		})
	}
}

// TestNode_RestartedFollowerKeepsLeader restarts one follower while a leader
// holds a lease that may rely on the follower's earlier answers. The follower
// must not stop refusing votes or campaign early, so the leader keeps leading.
func TestNode_RestartedFollowerKeepsLeader(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 10)
		leading := mustLead(t, c)
		var restarted *member
		for _, id := range c.ids {
			if id != leading.id {
				restarted = c.members[id]
			}
		}
		c.crash(restarted.id)
		must.NoError(t, c.start(restarted.id))
		for end := time.Now().Add(DefaultElectionMin / 2); time.Now().Before(end); time.Sleep(time.Millisecond) {
			must.Eq(t, leading, c.leading())
		}
	})
}

// TestNode_NoMajority crashes two of three replicas. The third must say which
// votes it lacks, and stop saying so once there is a leader.
func TestNode_NoMajority(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 3)
		c.crash("a")
		c.crash("b")
		time.Sleep(5 * DefaultElectionMax)
		status := c.members["c"].node.Status()
		must.StrContains(t, status.FailedCampaign, "1 of 3 votes, 2 needed")
		for _, id := range c.ids[:2] {
			must.StrContains(t, status.FailedCampaign, string(id)+"/")
		}
		must.NoError(t, c.start("a"))
		leading := mustLead(t, c)
		must.Eq(t, "", leading.node.Status().FailedCampaign)
		time.Sleep(SilentVoterTimeout + DefaultHeartbeat)
		must.Eq(t, 1, leading.node.Status().SilentVoters)
	})
}
