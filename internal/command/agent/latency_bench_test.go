package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"

	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// BenchmarkPathUrgentLookup sends urgent lookups at half the rate that the
// service can serve, through three nodes and directly, at the same time.
func BenchmarkPathUrgentLookup(b *testing.B) {
	mix := []overloadClass{{path: "/lookup", tier: "urgent", deadline: time.Second, weight: 1}}
	through, direct := startTargets(b)
	b.ResetTimer()
	for i := range b.N {
		rng := rand.New(rand.NewPCG(overloadSeed, uint64(i)))
		jobs := planJobs(rng, mix, overloadServiceRate/2, fmt.Sprintf("u-%d-%d", b.N, i))
		var targets sync.WaitGroup
		for _, a := range []*benchTarget{through, direct} {
			targets.Go(func() { a.measure(b, jobs) })
		}
		targets.Wait()
	}
}

// BenchmarkPathNodes measures the lookups per second of many callers through
// one node and through three. The service's concurrency limit is raised so that
// it is not the bottleneck.
func BenchmarkPathNodes(b *testing.B) {
	for _, nodes := range []int{1, 3} {
		b.Run(fmt.Sprintf("nodes-%d", nodes), func(b *testing.B) {
			c := startBenchCluster(b)
			text := strings.Replace(c.configuration(), "max_concurrent: 16", "max_concurrent: 1024", 1)
			c.apply(b, text)
			client := benchClient()
			through := newLatencies()
			var next, failed atomic.Int64
			before := processorTime(b)
			b.ResetTimer()
			var callers sync.WaitGroup
			for range overloadCallers {
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
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(through.millis(50), "p50-ms")
			b.ReportMetric(through.millis(99), "p99-ms")
			b.ReportMetric(float64(failed.Load()), "failed")
		})
	}
}

// processorTime returns the processor time that the process has used, callers
// and fakes included.
func processorTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	must.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// delayedCaller calls a scheduler's service with a delay of linkDelay in each
// direction.
type delayedCaller struct {
	service *pool.Service
	submits atomic.Int64
}

const linkDelay = time.Millisecond

func (c *delayedCaller) Call(ctx context.Context, _, method string, args, reply any) error {
	time.Sleep(linkDelay)
	defer time.Sleep(linkDelay)
	if poll, ok := args.(*pool.PollArgs); ok {
		return c.service.Poll(poll, reply.(*pool.Reply))
	}
	c.submits.Add(1)
	return c.service.Submit(args.(*pool.SubmitArgs), reply.(*pool.Reply))
}

// BenchmarkPathRemoteGrant measures how long a gateway waits for a grant from a
// scheduler in another data centre, linkDelay away in each direction, and how
// many submit messages each request takes. Requests arrive at a fixed mean
// rate, and each runs for overloadServiceTime.
func BenchmarkPathRemoteGrant(b *testing.B) {
	const rate = 200
	view := scheduler.View{
		Pool:       "ledger",
		QueueLimit: 1000,
		Tiers:      []scheduler.Tier{{Name: "urgent", Rank: 1}},
		Teams:      []scheduler.Team{{Name: "alpha", Shares: 1}},
		Upstreams:  []scheduler.Upstream{{Name: "entries", Version: "v1", MaxConcurrent: 1024}},
		Shares:     []scheduler.VersionShare{{Version: "v1", Share: 1, NonIdempotentShare: 1}},
		Gateways:   []ident.NodeID{"node-0"},
	}
	build := func(now time.Duration) scheduler.Scheduler { return scheduler.New(1, view, now) }
	caller := &delayedCaller{service: pool.NewService(nil)}
	caller.service.Put(pool.NewMaster("ledger", 1, build, nil))
	defer caller.service.Remove("ledger")
	client := pool.NewClient("ledger", "node-0", 1, caller, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go client.Run(ctx)
	client.SetHolder(pool.Holder{Lease: lease.Pool{Pool: "ledger", Holder: "node-0", Epoch: 1}, Address: "scheduler"})
	waits := newLatencies()
	rng := rand.New(rand.NewPCG(overloadSeed, 0))
	var requests sync.WaitGroup
	b.ResetTimer()
	began := time.Now()
	at := 0.0
	for range b.N {
		at += rng.ExpFloat64() / rate
		time.Sleep(time.Until(began.Add(time.Duration(at * float64(time.Second)))))
		requests.Go(func() { remoteRequest(client, waits) })
	}
	requests.Wait()
	b.ReportMetric(waits.millis(50), "grant-p50-ms")
	b.ReportMetric(waits.millis(99), "grant-p99-ms")
	b.ReportMetric(float64(caller.submits.Load())/float64(b.N), "submits/op")
}

func remoteRequest(client *pool.Client, waits *latencies) {
	id := ident.RequestID(newKey())
	began := time.Now()
	ticket := scheduler.Ticket{ID: id, Gateway: "node-0", Tier: "urgent", Team: "alpha", Route: "lookup", Idempotent: true}
	decision, err := client.Place(context.Background(), ticket, began.Add(testTimeout))
	waits.add(time.Since(began))
	if err != nil || decision.Grant == nil || client.Begin(id) != scheduler.BeginSend {
		return
	}
	time.Sleep(overloadServiceTime)
	client.FirstToken(id, 0, 0)
	client.Finish(id, scheduler.Ending{Kind: scheduler.ReportEnded})
}
