package consensus

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestNode_AllRestart takes the power from all replicas at once: they have a
// leader again long before the time in which a restarted voter refuses votes is
// over, also when one of them lost its disk.
func TestNode_AllRestart(t *testing.T) {
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

// TestNode_RestartBesideALeader restarts one follower while the leader is cut
// off from the other: the leader still relies on answers from before, so that the
// restarted voter must keep its promise.
func TestNode_RestartBesideALeader(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 10)
		led := mustLead(t, c)
		var restarted *member
		for _, id := range c.ids {
			if id != led.id {
				restarted = c.members[id]
			}
		}
		c.crash(restarted.id)
		must.NoError(t, c.start(restarted.id))
		for end := time.Now().Add(DefaultElectionMin / 2); time.Now().Before(end); time.Sleep(time.Millisecond) {
			must.Eq(t, led, c.leading())
		}
	})
}
