package pool

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/testmeter"
)

const capacityPool = ident.PoolName("pool-1")

// countingCaller makes calls over one connection and counts calls and bytes.
type countingCaller struct {
	client *rpc.Client
	calls  atomic.Int64
	bytes  atomic.Int64
}

// Call implements Caller.
func (c *countingCaller) Call(_ context.Context, _, method string, args, reply any) error {
	c.calls.Add(1)
	return c.client.Call(method, args, reply)
}

// capacityView returns the view of a pool with capacity for all requests that the
// benchmarks run at once.
func capacityView(gateways int) scheduler.View {
	v := scheduler.View{
		Pool: capacityPool, QueueLimit: 10_000,
		Tiers:  []scheduler.Tier{{Name: "ordinary", Rank: 1}},
		Teams:  []scheduler.Team{{Name: "north", Shares: 1}},
		Shares: []scheduler.VersionShare{{Version: "v1", Share: 1, NonIdempotentShare: 1}},
	}
	for i := range 32 {
		v.Upstreams = append(v.Upstreams, scheduler.Upstream{Name: ident.UpstreamName(fmt.Sprintf("engine-%03d", i)), Version: "v1", MaxConcurrent: 64})
	}
	for i := range gateways {
		v.Gateways = append(v.Gateways, gatewayID(i))
	}
	return v
}

func gatewayID(i int) ident.NodeID { return ident.NodeID(fmt.Sprintf("node-%03d", i)) }

// startCapacityClients connects gateways to one scheduler over loopback.
func startCapacityClients(b *testing.B, count int) ([]*Client, []*countingCaller) {
	b.Helper()
	master := NewMaster(capacityPool, 1, func(now time.Duration) scheduler.Scheduler {
		return scheduler.New(1, capacityView(count), now)
	}, nil)
	b.Cleanup(master.Stop)
	service := NewService(nil)
	service.Put(master)
	server := rpc.NewServer()
	must.NoError(b, server.RegisterName(ServiceName, service))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	go serveConns(server, listener)

	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	var clients []*Client
	var callers []*countingCaller
	for i := range count {
		conn, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(b, err)
		caller := &countingCaller{}
		caller.client = rpc.NewClient(testmeter.Conn{Conn: conn, Bytes: &caller.bytes})
		b.Cleanup(func() { _ = caller.client.Close() })
		client := NewClient(capacityPool, gatewayID(i), 1, caller, nil)
		client.SetHolder(Holder{Lease: lease.Pool{Pool: capacityPool, Epoch: 1}, Address: listener.Addr().String()})
		go client.Run(ctx)
		clients, callers = append(clients, client), append(callers, caller)
	}
	return clients, callers
}

func sumCalls(callers []*countingCaller) (calls, bytes int64) {
	for _, c := range callers {
		calls += c.calls.Load()
		bytes += c.bytes.Load()
	}
	return calls, bytes
}

// runTicket runs one request from its ticket to its last report, with a pause
// after each step.
func runTicket(client *Client, gateway ident.NodeID, n int64, pause time.Duration) error {
	id := ident.RequestID(fmt.Sprintf("01990000-0000-7000-8000-%012d", n))
	t := scheduler.Ticket{
		ID: id, Gateway: gateway, Tier: "ordinary", Team: "north", Route: "chat", Idempotent: true, Remaining: time.Minute,
		PromptTokens: 1024, OutputTokens: 200, BodyBytes: 4096, Prefixes: []uint64{1 << 60, 2 << 60, 3 << 60, 4 << 60, 5 << 60, 6 << 60, 7 << 60, uint64(n) << 40},
	}
	decision, err := client.Place(context.Background(), t, time.Now().Add(time.Minute))
	if err != nil {
		return err
	}
	if decision.Grant == nil {
		return fmt.Errorf("refused: %s", decision.Refusal.Reason)
	}
	if client.Begin(id) != scheduler.BeginSend {
		return fmt.Errorf("grant of %s lapsed", id)
	}
	time.Sleep(pause)
	client.FirstToken(id, 0, 0)
	time.Sleep(pause)
	client.Finish(id, scheduler.Ending{Kind: scheduler.ReportEnded, OutputTokens: 200})
	time.Sleep(pause)
	return nil
}

// measureTickets runs b.N requests, the given number at once and spread over the
// gateways, and reports the cost of one request.
func measureTickets(b *testing.B, clients []*Client, callers []*countingCaller, atOnce int, pause time.Duration) {
	for i, client := range clients {
		must.NoError(b, runTicket(client, gatewayID(i), -int64(i+1), 0))
	}
	time.Sleep(pause)
	calls, bytes := sumCalls(callers)
	used := testmeter.CPUTime()
	var next, failed atomic.Int64
	b.ResetTimer()
	var group sync.WaitGroup
	for i := range atOnce {
		at := i % len(clients)
		group.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				if runTicket(clients[at], gatewayID(at), n, pause) != nil {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	cpu := testmeter.CPUTime() - used
	callsNow, bytesNow := sumCalls(callers)
	b.ReportMetric(float64(cpu.Nanoseconds())/1e3/float64(b.N), "cpu-µs/request")
	b.ReportMetric(float64(callsNow-calls)/float64(b.N), "calls/request")
	b.ReportMetric(float64(bytesNow-bytes)/float64(b.N), "B/request")
	b.ReportMetric(float64(failed.Load()), "failed")
}

// BenchmarkCapacity_Ticket measures one request between a gateway and the
// scheduler of its pool over net/rpc on loopback: the processor time of both
// ends, including the decision, and the bytes in both directions. Concurrent
// requests share messages.
func BenchmarkCapacity_Ticket(b *testing.B) {
	for _, atOnce := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("at-once=%d", atOnce), func(b *testing.B) {
			clients, callers := startCapacityClients(b, 1)
			measureTickets(b, clients, callers, atOnce, 0)
		})
	}
}

// BenchmarkCapacity_SpacedTicket measures requests whose steps are spaced out, as
// at gateways with few requests per second: no two steps share a message. Each
// gateway runs one request at a time.
func BenchmarkCapacity_SpacedTicket(b *testing.B) {
	const pause = 20 * time.Millisecond
	for _, count := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("gateways=%d", count), func(b *testing.B) {
			clients, callers := startCapacityClients(b, count)
			measureTickets(b, clients, callers, count, pause)
		})
	}
}

// BenchmarkCapacity_IdlePolls measures the cost of polls between idle gateways
// and the scheduler of one pool. One iteration takes 2 seconds.
func BenchmarkCapacity_IdlePolls(b *testing.B) {
	const window = 2 * time.Second
	for _, count := range []int{7, 100, 400} {
		b.Run(fmt.Sprintf("gateways=%d", count), func(b *testing.B) {
			_, callers := startCapacityClients(b, count)
			time.Sleep(time.Second)
			calls, bytes := sumCalls(callers)
			used := testmeter.CPUTime()
			b.ResetTimer()
			for range b.N {
				time.Sleep(window)
			}
			seconds := window.Seconds() * float64(b.N)
			callsNow, bytesNow := sumCalls(callers)
			b.ReportMetric(float64((testmeter.CPUTime()-used).Nanoseconds())/1e3/seconds, "cpu-µs/s")
			b.ReportMetric(float64(callsNow-calls)/seconds/float64(count), "calls/s/gateway")
			b.ReportMetric(float64(bytesNow-bytes)/seconds/float64(count), "B/s/gateway")
		})
	}
}

// serveConns serves the connections of a listener until it is closed.
func serveConns(server *rpc.Server, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go server.ServeConn(conn)
	}
}
