package consensus

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
)

// TestNode_HangingDiskIsReported covers a change that took 8.3 s beside a stable leader, where nothing
// told how long a sync took: one hanging disk, the leader's or a follower's, delays no commit and
// no read, and shows in the status.
func TestNode_HangingDiskIsReported(t *testing.T) {
	for _, which := range []string{"leader", "follower"} {
		t.Run(which, func(t *testing.T) {
			runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
				mustPut(t, c, 1, 5)
				leader := mustLead(t, c)
				slow := leader
				for _, m := range c.members {
					if which == "follower" && m != leader {
						slow = m
					}
				}
				must.Zero(t, slow.node.Status().SlowWrites)
				slow.fs.Inject(disk.Faults{SyncDelay: 4 * time.Second})
				began := time.Now()
				mustPut(t, c, 6, 6)
				must.NoError(t, mustLead(t, c).node.ReadBarrier(t.Context()))
				must.Less(t, time.Second, time.Since(began))
				must.Eq(t, leader, mustLead(t, c))
				// A follower's write may begin after the commit.
				for range 100 {
					if synctest.Wait(); slow.node.Status().Writing > 0 {
						break
					}
					time.Sleep(time.Millisecond)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				must.GreaterEq(t, time.Second, slow.node.Status().Writing)
				must.Zero(t, slow.node.Status().SlowWrites)
				slow.fs.Inject(disk.Faults{})
				time.Sleep(4 * time.Second)
				must.Zero(t, slow.node.Status().Writing)
				must.Positive(t, slow.node.Status().SlowWrites)
			})
		})
	}
}
