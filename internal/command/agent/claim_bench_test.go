package agent

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// BenchmarkPathClaim measures ledger claims over real sockets and disks. For
// comparison it times plain file syncs on the same disk before each run.
func BenchmarkPathClaim(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers-%d", callers), func(b *testing.B) {
			c := startCluster(b, withRealDisks)
			node := c.nodes[c.leader(b)]
			syncs := baselineSyncs(b, c.settings[0].DataDir)
			taken := newLatencies()
			var next atomic.Int64
			var group sync.WaitGroup
			b.ResetTimer()
			for range callers {
				group.Go(func() {
					for next.Add(1) <= int64(b.N) {
						began := time.Now()
						if !claimOnce(b, node) {
							return
						}
						taken.add(time.Since(began))
					}
				})
			}
			group.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(taken.millis(50), "p50-ms")
			b.ReportMetric(taken.millis(99), "p99-ms")
			b.ReportMetric(syncs.millis(50), "sync-p50-ms")
			b.ReportMetric(syncs.millis(99), "sync-p99-ms")
			b.ReportMetric(2*syncs.millis(50)+1, "bound-p50-ms")
		})
	}
}

func claimOnce(b *testing.B, node *Agent) bool {
	id, incarnation := node.Identity()
	result, err := (&ledgerClient{client: node.control}).Claim(b.Context(), ledger.Claim{
		Key:         ledger.Key{Team: "alpha", Route: "submit", Idempotency: newKey()},
		Gateway:     id,
		Incarnation: incarnation,
		Request:     ident.RequestID(newKey()),
		Attempt:     1,
	})
	if err != nil || result.Verdict != ledger.VerdictGranted {
		b.Errorf("claim: %v %v", result.Verdict, err)
		return false
	}
	return true
}

// baselineSyncs measures 200 appends of 300 bytes, each followed by a sync, to
// a file in the folder of the replicated log.
func baselineSyncs(b *testing.B, folder string) *latencies {
	file, err := os.Create(filepath.Join(folder, "bare"))
	must.NoError(b, err)
	defer file.Close()
	taken := newLatencies()
	for range 200 {
		began := time.Now()
		_, err := file.Write(make([]byte, 300))
		must.NoError(b, err)
		must.NoError(b, file.Sync())
		taken.add(time.Since(began))
	}
	return taken
}

// BenchmarkPathSchedulerFailover kills the node that schedules the service's
// pool and measures the time until another node answers a request.
func BenchmarkPathSchedulerFailover(b *testing.B) {
	taken := newLatencies()
	for range b.N {
		c := startCluster(b)
		held, _, ok := c.nodes[0].view.Holder("ledger")
		must.True(b, ok)
		victim := 0
		for i := range c.nodes {
			if nodeID(i) == held.Holder {
				victim = i
			}
		}
		c.nodes[victim].Kill()
		began := time.Now()
		for !c.lookupSucceeds(c.settings[(victim+1)%3].CallerAdvertise) {
			time.Sleep(5 * time.Millisecond)
		}
		taken.add(time.Since(began))
		for _, n := range c.nodes {
			n.Kill()
		}
	}
	b.ReportMetric(taken.millis(50), "p50-ms")
	b.ReportMetric(taken.millis(100), "max-ms")
}
