package agent

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// moveConfiguration starts two more engines and returns a configuration with a
// move of the pool to v2 on these engines.
func (c *cluster) moveConfiguration(t *testing.T, deadline time.Duration) string {
	t.Helper()
	c.startEngine(t, 2*time.Millisecond)
	c.startEngine(t, 6*time.Millisecond)
	text := strings.Replace(c.configuration(), "routes:\n", fmt.Sprintf(`  fast2: {pool: writer, version: v2, address: %q, max_concurrent: 8}
  slow2: {pool: writer, version: v2, address: %q, max_concurrent: 4}
routes:
`, c.engines[2].Addr(), c.engines[3].Addr()), 1)
	return text + fmt.Sprintf(`
moves:
  writer-v2: {pool: writer, from: v1, to: v2, deadline: %s, watch: 1s}
`, time.Now().Add(deadline).UTC().Format(time.RFC3339))
}

// moveRecord returns the committed record of the move.
func (c *cluster) moveRecord() move.Record {
	return c.nodes[0].view.Members().Moves[ident.MoveName("writer-v2")]
}

// startLoad sends completion requests through all nodes until stop is closed.
func (c *cluster) startLoad(callers int, stop chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			for isOpen(stop) {
				c.send(i%3, call{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody})
			}
		})
	}
	return &group
}

// TestMove_GoodVersionDone moves the pool to a working version: the engines
// load it on orders, and the move completes.
func TestMove_GoodVersionDone(t *testing.T) {
	c := startCluster(t)
	stop := make(chan struct{})
	group := c.startLoad(8, stop)
	c.apply(t, c.moveConfiguration(t, 2*testTimeout))
	began := time.Now()
	state := move.State("")
	c.eventually(t, "the move to be done", func() bool {
		if now := c.moveRecord(); now.State != state {
			state = now.State
			t.Logf("%6.1fs %s share %.3f %s", time.Since(began).Seconds(), now.State, now.Share, now.Reason)
		}
		return state == move.StateDone
	})
	close(stop)
	group.Wait()
	for _, e := range c.engines[2:] {
		must.SliceContains(t, e.Versions(), ident.VersionName("v2"))
	}
}

// TestMove_BadVersionTakenBack moves the pool to a version that fails every
// request: the move is taken back, and the version gets no more requests.
func TestMove_BadVersionTakenBack(t *testing.T) {
	faults := map[ident.VersionName]fakes.VersionFault{"v2": {FailRate: 1}}
	c := startCluster(t, withEngineFaults(faults))
	stop := make(chan struct{})
	group := c.startLoad(8, stop)
	c.apply(t, c.moveConfiguration(t, 2*testTimeout))
	began := time.Now()
	state := move.State("")
	c.eventually(t, "the move to be taken back", func() bool {
		if now := c.moveRecord(); now.State != state {
			state = now.State
			t.Logf("%6.1fs %s share %.3f %s", time.Since(began).Seconds(), now.State, now.Share, now.Reason)
		}
		return state == move.StateTakenBack
	})
	bad, all := c.versionRuns("v2")
	time.Sleep(300 * time.Millisecond)
	after, _ := c.versionRuns("v2")
	close(stop)
	group.Wait()
	must.Eq(t, bad, after, must.Sprint("the bad version got requests after the move was taken back"))
	t.Logf("the bad version got %d of %d requests", bad, all)
}

func (c *cluster) versionRuns(v ident.VersionName) (matching, all int) {
	for _, e := range c.engines {
		for _, r := range e.Runs() {
			all++
			if r.Version == v {
				matching++
			}
		}
	}
	return matching, all
}
