package agent

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// benchLatency is the time that the fake service takes per call in benchmarks.
const benchLatency = 2 * time.Millisecond

type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{h: hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)}
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(d.Nanoseconds())
}

func (l *latencies) millis(quantile float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.h.ValueAtQuantile(quantile)) / 1e6
}

// benchClient returns an HTTP client that keeps up to 512 idle connections per
// host.
func benchClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}, Timeout: testTimeout}
}

func lookup(client *http.Client, address, id string) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/lookup?item=1", nil)
	if err != nil {
		return err
	}
	request.Header.Set(callerapi.HeaderTeam, "alpha")
	request.Header.Set(upstreamapi.HeaderRequestID, id)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var sink strings.Builder
	buffer := make([]byte, 1024)
	for {
		n, err := response.Body.Read(buffer)
		sink.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	if response.StatusCode != http.StatusOK {
		return &statusError{status: response.Status, body: sink.String()}
	}
	return nil
}

type statusError struct{ status, body string }

func (e *statusError) Error() string { return e.status + ": " + e.body }

// BenchmarkPathLookupLowLoad compares single lookups sent directly to the
// service with single lookups through a node. The two kinds alternate.
func BenchmarkPathLookupLowLoad(b *testing.B) {
	c := startBenchCluster(b)
	client := benchClient()
	direct, through := newLatencies(), newLatencies()
	b.ResetTimer()
	for i := range b.N {
		began := time.Now()
		must.NoError(b, lookup(client, c.service.Addr(), "direct"))
		direct.add(time.Since(began))
		began = time.Now()
		must.NoError(b, lookup(client, c.nodes[i%len(c.nodes)].settings.CallerAdvertise, ""))
		through.add(time.Since(began))
	}
	b.ReportMetric(direct.millis(50), "direct-p50-ms")
	b.ReportMetric(through.millis(50), "through-p50-ms")
	b.ReportMetric(through.millis(50)-direct.millis(50), "added-p50-ms")
	b.ReportMetric(direct.millis(99), "direct-p99-ms")
	b.ReportMetric(through.millis(99), "through-p99-ms")
	b.ReportMetric(through.millis(50)/direct.millis(50), "ratio-p50")
}

// BenchmarkPathThroughput measures the requests per second of 64 concurrent
// callers through one node and through three.
func BenchmarkPathThroughput(b *testing.B) {
	for _, nodes := range []int{1, 3} {
		name := map[int]string{1: "one-node", 3: "three-nodes"}[nodes]
		b.Run(name, func(b *testing.B) {
			c := startBenchCluster(b)
			client := benchClient()
			through := newLatencies()
			var next, failed atomic.Int64
			b.ResetTimer()
			var callers sync.WaitGroup
			for range 64 {
				callers.Go(func() {
					for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
						began := time.Now()
						if lookup(client, c.nodes[int(n)%nodes].settings.CallerAdvertise, "") != nil {
							failed.Add(1)
						}
						through.add(time.Since(began))
					}
				})
			}
			callers.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(through.millis(50), "p50-ms")
			b.ReportMetric(through.millis(99), "p99-ms")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}

// BenchmarkPathWaitingMemory measures the memory per request of 10,000 requests
// that wait at the gateways of three nodes, while the service is too slow to
// answer any of them. The memory of callers' connections is not included.
func BenchmarkPathWaitingMemory(b *testing.B) {
	const waiting = 10_000
	for range b.N {
		c := startBenchCluster(b)
		c.service.SetSlow(1e5)
		before := heapInUse()
		ctx, cancel := context.WithCancel(b.Context())
		var callers sync.WaitGroup
		for n := range waiting {
			callers.Go(func() { c.nodes[n%len(c.nodes)].gateway.Serve(ctx, waitingLookup(), discard{}) })
		}
		for count := 0; count < waiting; time.Sleep(50 * time.Millisecond) {
			count = 0
			for _, n := range c.nodes {
				count += n.outstanding()
			}
		}
		b.ReportMetric(float64(heapInUse()-before)/waiting, "B/waiting")
		cancel()
		callers.Wait()
		c.service.SetSlow(1)
		for _, n := range c.nodes {
			n.Kill()
		}
	}
}

func waitingLookup() *gateway.Request {
	return &gateway.Request{
		ID:         ident.RequestID(newKey()),
		Team:       "alpha",
		Route:      "lookup",
		Pool:       "ledger",
		Tier:       "patient",
		Rank:       1,
		Idempotent: true,
		Deadline:   time.Now().Add(time.Hour),
		Method:     http.MethodGet,
		Path:       "/lookup?item=1",
		// The default share of the budget per team would cause most of the requests to
		// be refused.
		TeamWaitingBytes: 1 << 30,
	}
}

// discard is a gateway.Sink that drops the answer.
type discard struct{}

func (discard) Begin(gateway.AnswerHeader) error { return nil }

func (discard) Write([]byte) error { return nil }

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func startBenchCluster(b *testing.B) *cluster {
	b.Helper()
	c := startCluster(b, withService(fakes.ServiceOptions{Latency: benchLatency}), withConnections(20_000))
	return c
}

// BenchmarkPathApplyInForce measures the time until an apply is acknowledged:
// its configuration is then committed and in force at all three nodes.
func BenchmarkPathApplyInForce(b *testing.B) {
	c := startBenchCluster(b)
	_, revision := c.nodes[0].view.Config()
	taken := newLatencies()
	b.ResetTimer()
	for i := range b.N {
		text := strings.Replace(c.configuration(), "shares: 2", fmt.Sprintf("shares: %d", 3+i%5), 1)
		began := time.Now()
		reply, err := control.Call[control.ApplyConfigReply](b.Context(), c.nodes[i%3].control, "ApplyConfig", applyArgs(text, revision))
		must.NoError(b, err)
		must.True(b, reply.InForce)
		taken.add(time.Since(began))
		revision = reply.Outcome.Revision
	}
	b.ReportMetric(taken.millis(50), "p50-ms")
	b.ReportMetric(taken.millis(99), "p99-ms")
}
