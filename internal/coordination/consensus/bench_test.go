package consensus

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// counter is a state machine that counts the applied commands.
type counter struct{ applied int }

func (c *counter) Apply(uint64, []byte) int  { c.applied++; return c.applied }
func (c *counter) Snapshot() ([]byte, error) { return json.Marshal(c.applied) }
func (c *counter) Restore(data []byte) error { return json.Unmarshal(data, &c.applied) }

// benchCluster runs replicas on real files, connected by a network without
// delay.
type benchCluster struct {
	net   *network
	ids   []ident.NodeID
	nodes map[ident.NodeID]*Node[int]
	fs    map[ident.NodeID]disk.FS
}

func newBenchCluster(b *testing.B, count int) *benchCluster {
	c := &benchCluster{net: newNetwork(1), nodes: map[ident.NodeID]*Node[int]{}, fs: map[ident.NodeID]disk.FS{}}
	c.net.maxDelay = 0
	for i := range count {
		id := ident.NodeID(rune('a' + i))
		c.ids = append(c.ids, id)
		c.fs[id] = disk.NewOS(b.TempDir())
	}
	for _, id := range c.ids {
		c.start(b, id)
	}
	b.Cleanup(func() {
		for id := range c.nodes {
			c.halt(id)
		}
	})
	return c
}

func (c *benchCluster) start(b *testing.B, id ident.NodeID) {
	node, err := New(Options{ID: id, InitialReplicas: c.ids, FS: c.fs[id], Peers: memPeers{c.net, id}}, &counter{})
	must.NoError(b, err)
	c.nodes[id] = node
	c.net.attach(id, node.Service())
	node.Start()
}

func (c *benchCluster) halt(id ident.NodeID) {
	c.net.attach(id, nil)
	_ = c.nodes[id].replica.halt()
	delete(c.nodes, id)
}

func (c *benchCluster) leading() *Node[int] {
	for {
		for _, node := range c.nodes {
			if node.Leadership().Leading {
				return node
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// commandBytes is the size of a benchmark command in bytes.
const commandBytes = 256

// proposeAll commits n commands, divided among concurrent callers, and returns
// the latencies in microseconds.
func proposeAll(b *testing.B, node *Node[int], n, callers int) *hdrhistogram.Histogram {
	total := newHistogram()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range callers {
		share := n / callers
		if i < n%callers {
			share++
		}
		wg.Go(func() {
			own := newHistogram()
			for range share {
				began := time.Now()
				if _, err := node.Propose(context.Background(), make([]byte, commandBytes)); err != nil {
					b.Error(err)
					return
				}
				_ = own.RecordValue(time.Since(began).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(own)
		})
	}
	wg.Wait()
	return total
}

// newHistogram returns a histogram of durations from 1 µs to 1 minute, in
// microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// syncLatency measures the time to append one command to a file and sync it,
// without replication.
func syncLatency(b *testing.B) *hdrhistogram.Histogram {
	file, err := disk.NewOS(b.TempDir()).Append("bare")
	must.NoError(b, err)
	h := newHistogram()
	for range 200 {
		began := time.Now()
		_, err = file.Write(make([]byte, commandBytes))
		must.NoError(b, err)
		must.NoError(b, file.Sync())
		_ = h.RecordValue(time.Since(began).Microseconds())
	}
	must.NoError(b, file.Close())
	return h
}

// BenchmarkPropose measures commits on three replicas with real disk syncs.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			bare := syncLatency(b)
			node := newBenchCluster(b, 3).leading()
			b.ResetTimer()
			began := time.Now()
			h := proposeAll(b, node, b.N, callers)
			b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "commits/s")
			b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(bare.ValueAtQuantile(50))/1000, "fsync-p50-ms")
			b.ReportMetric(float64(bare.ValueAtQuantile(99))/1000, "fsync-p99-ms")
		})
	}
}

// BenchmarkFailover measures the time from the end of the leader's process
// until another replica leads.
func BenchmarkFailover(b *testing.B) {
	c := newBenchCluster(b, 3)
	h := newHistogram()
	for range b.N {
		old := c.leading().Self().ID
		c.halt(old)
		began := time.Now()
		c.leading()
		_ = h.RecordValue(time.Since(began).Microseconds())
		c.start(b, old)
		for c.nodes[old].Status().Leader == "" {
			time.Sleep(time.Millisecond)
		}
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
}

// BenchmarkRestart measures the restart of a single replica after 10,000
// commands: the time to read the data folder, and the time until the replica
// leads again.
func BenchmarkRestart(b *testing.B) {
	c := newBenchCluster(b, 1)
	proposeAll(b, c.leading(), 10_000, 64)
	b.ResetTimer()
	read, lead := newHistogram(), newHistogram()
	for range b.N {
		c.halt("a")
		began := time.Now()
		c.start(b, "a")
		_ = read.RecordValue(time.Since(began).Microseconds())
		c.leading()
		_ = lead.RecordValue(time.Since(began).Microseconds())
	}
	b.ReportMetric(float64(read.ValueAtQuantile(50))/1000, "read-p50-ms")
	b.ReportMetric(float64(lead.ValueAtQuantile(50))/1000, "lead-p50-ms")
}
