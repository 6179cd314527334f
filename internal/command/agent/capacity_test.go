package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/testmeter"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
	"github.com/flamingohaven/flamingohaven/internal/transport/upstreamhttp"
)

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

// addGateway starts a node without a replica. It adds to bytes what is read and
// written on the connections that the node opens to other nodes.
func (c *cluster) addGateway(b *testing.B, i int, bytes *atomic.Int64) {
	b.Helper()
	o := Overrides{Caller: listen(b), Internal: listen(b)}
	o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := rpcnet.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return testmeter.Conn{Conn: conn, Bytes: bytes}, nil
	}
	set := testSettings(b, i, o, c.settings[0].Replicas, c.platform.Addr())
	set.DataDir = ""
	node, err := New(set, o)
	must.NoError(b, err)
	node.Start()
	b.Cleanup(node.Kill)
	c.nodes = append(c.nodes, node)
}

// BenchmarkCapacity_IdleNode measures the processor time and the traffic of
// three replicas and several numbers of further nodes, all idle and in one
// process. One iteration takes 5 seconds. The bytes are those, in both
// directions, of the connections that the further nodes open to other nodes.
func BenchmarkCapacity_IdleNode(b *testing.B) {
	const window = 5 * time.Second
	for _, gateways := range []int{1, 10, 40} {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			c := startCluster(b)
			var bytes atomic.Int64
			for i := range gateways {
				c.addGateway(b, 3+i, &bytes)
			}
			c.eventually(b, "a lease at every node", func() bool {
				for _, n := range c.nodes {
					if !n.Fresh() {
						return false
					}
				}
				return true
			})
			time.Sleep(2 * time.Second)
			began, used := bytes.Load(), testmeter.CPUTime()
			b.ResetTimer()
			for range b.N {
				time.Sleep(window)
			}
			seconds := window.Seconds() * float64(b.N)
			b.ReportMetric(micros(testmeter.CPUTime()-used)/seconds, "cpu-µs/s")
			b.ReportMetric(float64(bytes.Load()-began)/seconds/float64(gateways), "B/s/gateway")
		})
	}
}

// BenchmarkCapacity_Lookup measures the processor time of one lookup, direct
// and through a node, for several numbers of callers. The pool may be scheduled
// at any node. Callers, nodes and upstreams run in this process, and their time
// is included.
func BenchmarkCapacity_Lookup(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := startBenchCluster(b)
			client := benchClient()
			run := func(address, id string) time.Duration {
				return inParallel(callers, b.N, func() error { return lookup(client, address, id) })
			}
			run(c.service.Addr(), "direct")
			b.ResetTimer()
			direct := run(c.service.Addr(), "direct")
			through := run(c.nodes[0].settings.CallerAdvertise, "")
			b.ReportMetric(micros(direct)/float64(b.N), "direct-cpu-µs")
			b.ReportMetric(micros(through)/float64(b.N), "through-cpu-µs")
			b.ReportMetric(micros(through-direct)/float64(b.N), "added-cpu-µs")
		})
	}
}

// inParallel runs call count times on the given number of workers and returns
// the processor time that the whole process used.
func inParallel(workers, count int, call func() error) time.Duration {
	var next atomic.Int64
	var group sync.WaitGroup
	used := testmeter.CPUTime()
	for range workers {
		group.Go(func() {
			for n := next.Add(1); n <= int64(count); n = next.Add(1) {
				if err := call(); err != nil {
					panic(err)
				}
			}
		})
	}
	group.Wait()
	return testmeter.CPUTime() - used
}

// BenchmarkCapacity_Stream measures the processor time per token of streams of
// several lengths, direct and through a node. Callers, nodes and engines run in
// this process, and their time is included.
func BenchmarkCapacity_Stream(b *testing.B) {
	const atOnce = 8
	for _, tokens := range []int{16, 128, 512} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			c := startCluster(b)
			client := benchClient()
			run := func(address, id string) time.Duration {
				return inParallel(atOnce, b.N, func() error { return streamOnce(client, address, id, tokens) })
			}
			b.ResetTimer()
			direct := run(c.engines[0].Addr(), "direct")
			through := run(c.nodes[0].settings.CallerAdvertise, "")
			count := float64(b.N) * float64(tokens)
			b.ReportMetric(micros(direct)/count, "direct-cpu-µs/token")
			b.ReportMetric(micros(through)/count, "through-cpu-µs/token")
			b.ReportMetric(micros(through-direct)/count, "added-cpu-µs/token")
		})
	}
}

var streamNumber atomic.Int64

func streamOnce(client *http.Client, address, id string, tokens int) error {
	body := fmt.Sprintf(`{"stream":true,"model":"writer-8b","max_tokens":%d,"prompt":"count to %d"}`, tokens, streamNumber.Add(1))
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(callerapi.HeaderTeam, "alpha")
	if id != "" {
		request.Header.Set(upstreamapi.HeaderRequestID, fmt.Sprintf("%s-%d", id, streamNumber.Add(1)))
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK || strings.Count(string(answer), "data: ") < tokens {
		return &statusError{status: response.Status, body: string(answer)}
	}
	return nil
}

// BenchmarkCapacity_PlatformList measures one request for the platform's list
// of VMs: the processor time of client and server, and the size of the body.
func BenchmarkCapacity_PlatformList(b *testing.B) {
	for _, vms := range []int{20, 200, 760} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			platform, err := fakes.StartPlatform(fakes.PlatformOptions{})
			must.NoError(b, err)
			defer platform.Close()
			for i := range vms {
				platform.SetLive(fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250))
			}
			sender := upstreamhttp.NewSender()
			defer sender.Close()
			bytes := bodyBytes(b, "http://"+platform.Addr()+upstreamapi.PathVMs)
			used := testmeter.CPUTime()
			b.ResetTimer()
			for range b.N {
				_, err := sender.VMs(b.Context(), platform.Addr())
				must.NoError(b, err)
			}
			b.ReportMetric(micros(testmeter.CPUTime()-used)/float64(b.N), "cpu-µs/list")
			b.ReportMetric(bytes, "body-B")
		})
	}
}

func bodyBytes(b *testing.B, url string) float64 {
	b.Helper()
	response, err := http.Get(url)
	must.NoError(b, err)
	defer response.Body.Close()
	must.Eq(b, http.StatusOK, response.StatusCode)
	body, err := io.ReadAll(response.Body)
	must.NoError(b, err)
	return float64(len(body))
}

// BenchmarkCapacity_LoadReports measures fetching the load report and the cache
// events of several numbers of engines: the processor time of client and server
// and the size of the answers, per engine.
func BenchmarkCapacity_LoadReports(b *testing.B) {
	for _, count := range []int{4, 32, 128} {
		b.Run(fmt.Sprintf("engines=%d", count), func(b *testing.B) {
			var addresses []string
			for range count {
				e, err := fakes.StartEngine(fakes.EngineOptions{Version: ident.VersionName("v1")})
				must.NoError(b, err)
				defer e.Close()
				addresses = append(addresses, e.Addr())
			}
			sender := upstreamhttp.NewSender()
			defer sender.Close()
			round := func() {
				for _, address := range addresses {
					_, err := sender.Load(b.Context(), address)
					must.NoError(b, err)
					_, err = sender.CacheEvents(b.Context(), address, 0)
					must.NoError(b, err)
				}
			}
			round()
			answers := rawAnswerBytes(b, addresses[0], upstreamapi.PathLoad) + rawAnswerBytes(b, addresses[0], upstreamapi.PathCacheEvents+"?after=0")
			used := testmeter.CPUTime()
			b.ResetTimer()
			for range b.N {
				round()
			}
			b.ReportMetric(micros(testmeter.CPUTime()-used)/float64(b.N*count), "cpu-µs/engine")
			b.ReportMetric(answers, "answer-B/engine")
		})
	}
}

// BenchmarkCapacity_Submit measures non-idempotent requests through one node
// for several numbers of callers: the processor time of the whole process, and
// the file syncs of the three replicas together, on in-memory disks.
func BenchmarkCapacity_Submit(b *testing.B) {
	for _, callers := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := startBenchCluster(b)
			client := benchClient()
			address := c.nodes[0].settings.CallerAdvertise
			must.NoError(b, submitOnce(client, address))
			syncs := c.syncs()
			b.ResetTimer()
			used := inParallel(callers, b.N, func() error { return submitOnce(client, address) })
			b.ReportMetric(micros(used)/float64(b.N), "cpu-µs/request")
			b.ReportMetric(float64(c.syncs()-syncs)/float64(b.N), "syncs/request")
		})
	}
}

func (c *cluster) syncs() int {
	n := 0
	for _, d := range c.disks {
		n += d.Syncs()
	}
	return n
}

func submitOnce(client *http.Client, address string) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/submit", strings.NewReader(`{"item":7}`))
	if err != nil {
		return err
	}
	request.Header.Set(callerapi.HeaderTeam, "alpha")
	request.Header.Set(callerapi.HeaderIdempotencyKey, newKey())
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return &statusError{status: response.Status, body: string(body)}
	}
	return nil
}

// BenchmarkCapacity_Waiting measures the memory per waiting request, caller and
// node together, for several numbers of waiting requests.
func BenchmarkCapacity_Waiting(b *testing.B) {
	for _, waiting := range []int{250, 500, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			for range b.N {
				c := startBenchCluster(b)
				c.service.SetSlow(1e5)
				client := benchClient()
				before := heapInUse()
				var callers sync.WaitGroup
				for n := range waiting {
					callers.Go(func() { _ = lookup(client, c.nodes[n%len(c.nodes)].settings.CallerAdvertise, "") })
				}
				c.eventually(b, "most requests to wait", func() bool {
					count := 0
					for _, n := range c.nodes {
						count += n.outstanding()
					}
					return count >= waiting*9/10
				})
				b.ReportMetric(float64(heapInUse()-before)/float64(waiting), "B/waiting")
				c.service.SetSlow(1)
				for _, n := range c.nodes {
					n.Kill()
				}
				callers.Wait()
			}
		})
	}
}

// rawAnswerBytes returns the size in bytes of one answer, status line and
// header included.
func rawAnswerBytes(b *testing.B, address, path string) float64 {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	must.NoError(b, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path, address)
	must.NoError(b, err)
	answer, err := io.ReadAll(conn)
	must.NoError(b, err)
	return float64(len(answer))
}
