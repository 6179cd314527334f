package fleet

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime/pprof"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/coordination/shard"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/testmeter"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

const (
	costGateways = 291
	costShards   = 4
	// schedulerVariable makes the test binary run as a scheduler of its own, whose processor
	// time is measured apart from that of its gateways. profileVariable names a file for a
	// profile of it.
	schedulerVariable = "FLAMINGOHAVEN_TEST_SCHEDULER"
	profileVariable   = "FLAMINGOHAVEN_TEST_PROFILE"
)

// costView returns the view of a pool in a fleet of 291 gateways: 240 engines with 4 slots
// each or 5 services with 6.
func costView(name ident.PoolName, quotas *scheduler.Quotas) scheduler.View {
	v := scheduler.View{
		Pool: name, Tiers: []scheduler.Tier{{Name: "low", Rank: 1}, {Name: "middle", Rank: 2}, {Name: "high", Rank: 3}},
		Shared: &scheduler.Shared{RetryRatio: 0.2, RetryBurst: 622, RetryWindow: 10 * time.Second, Quotas: quotas, CutOffGrace: 5 * time.Second},
	}
	for _, m := range gatewayFleet(costGateways) {
		v.Gateways = append(v.Gateways, m.ID)
	}
	upstreams, slots := 240, 4
	if name == "services" {
		upstreams, slots = 5, 6
	}
	for i := range upstreams {
		v.Upstreams = append(v.Upstreams, scheduler.Upstream{Name: ident.UpstreamName(fmt.Sprintf("i-%010d@mvoddh%02d", i, i%100)), Version: "v1", MaxConcurrent: slots})
	}
	return v
}

// TestMain runs the test binary as a scheduler if schedulerVariable is set.
func TestMain(m *testing.M) {
	if os.Getenv(schedulerVariable) == "" {
		os.Exit(m.Run())
	}
	if err := runScheduler(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runScheduler serves as a scheduler. It prints its address, and after each of two lines of
// its standard input starts and ends a measurement of its processor time in microseconds.
func runScheduler() error {
	server, err := rpcnet.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	defer server.Close()
	service, quotas := pool.NewService(&timeline.Clock{}), scheduler.NewQuotas()
	var limits []scheduler.QuotaLimit
	for i := range 40 {
		limits = append(limits, scheduler.QuotaLimit{Team: ident.TeamName(fmt.Sprintf("team-%d", i)), Tokens: 1e12, Window: 8 * time.Second, PerSecond: 1e11})
	}
	quotas.SetLimits(limits)
	for _, name := range []ident.PoolName{"engines", "services"} {
		build := func(now time.Duration) scheduler.Scheduler {
			p := scheduler.New(0, costView(name, quotas), now)
			p.SetOrigin(time.Now())
			return p
		}
		m := pool.NewMaster(name, 0, build, &rolloutWatch{pool: name})
		m.SetSessionTimeout(gatewaySessionTimeout)
		service.Put(m)
		defer m.Stop()
	}
	if err := server.Register(pool.ServiceName, service); err != nil {
		return err
	}
	go server.Serve()
	fmt.Println("address", server.Address())
	input := bufio.NewScanner(os.Stdin)
	input.Scan()
	before := testmeter.CPUTime()
	if file := os.Getenv(profileVariable); file != "" {
		f, err := os.Create(file)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	input.Scan()
	fmt.Println("processor", (testmeter.CPUTime() - before).Microseconds())
	return nil
}

// countedCaller counts the calls to a scheduler.
type countedCaller struct {
	*rpcnet.Client
	calls atomic.Int64
}

func (c *countedCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	c.calls.Add(1)
	return c.Client.Call(ctx, address, method, args, reply)
}

// costFleet holds the gateways of one shard and their scheduler, a process of its own.
type costFleet struct {
	callers []*countedCaller
	clients map[ident.PoolName][]*pool.Client
	ids     []ident.NodeID
	next    atomic.Int64
	failed  atomic.Int64
	group   sync.WaitGroup
}

func newCostFleet(ctx context.Context, address string) *costFleet {
	f := &costFleet{clients: make(map[ident.PoolName][]*pool.Client)}
	var all []ident.NodeID
	for _, m := range gatewayFleet(costGateways) {
		all = append(all, m.ID)
	}
	f.ids = shard.Order(all, 0, costShards)
	clock := &timeline.Clock{}
	for _, id := range f.ids {
		caller := &countedCaller{Client: rpcnet.NewClient()}
		f.callers = append(f.callers, caller)
		for _, name := range []ident.PoolName{"engines", "services"} {
			c := pool.NewClient(name, id, 1, caller, clock)
			c.SetHolder(pool.Holder{Lease: lease.Pool{Pool: name}, Address: address})
			go c.Run(ctx)
			f.clients[name] = append(f.clients[name], c)
		}
	}
	return f
}

func (f *costFleet) calls() (sum int64) {
	for _, c := range f.callers {
		sum += c.calls.Load()
	}
	return sum
}

// request runs one request at a random gateway.
func (f *costFleet) request(name ident.PoolName) {
	at := rand.IntN(len(f.ids))
	n := f.next.Add(1)
	c, id := f.clients[name][at], ident.RequestID(fmt.Sprintf("%016x", rand.Uint64()))
	t := scheduler.Ticket{
		ID: id, Gateway: f.ids[at], Tier: "low", Team: ident.TeamName(fmt.Sprintf("team-%d", n%40)), Route: "r-wis23g5", Idempotent: true,
		Objective: 500 * time.Millisecond, Patience: 2 * time.Second, Cost: 200, Fingerprint: rand.Uint64(), Content: rand.Uint64(),
	}
	if name == "engines" {
		t.PromptTokens, t.OutputTokens, t.Cost, t.Parts = 2000, 100, 3000, []uint64{rand.Uint64()}
		t.Prefixes = []uint64{rand.Uint64()}
	}
	decision, err := c.Place(context.Background(), t, time.Now().Add(5*time.Second))
	if err != nil || decision.Grant == nil || c.Begin(id) != scheduler.BeginSend {
		f.failed.Add(1)
		return
	}
	if name == "engines" {
		time.Sleep(60 * time.Millisecond)
		c.FirstToken(id, 0, 0)
		time.Sleep(140 * time.Millisecond)
	} else {
		time.Sleep(14 * time.Millisecond)
		c.FirstToken(id, 0, 0)
	}
	c.Finish(id, scheduler.Ending{Kind: scheduler.ReportEnded, OutputTokens: 100})
}

// run sends requests at a rate a second, evenly.
func (f *costFleet) run(name ident.PoolName, perSecond float64, d time.Duration) {
	begin := time.Now()
	for n := 0; ; n++ {
		at := time.Duration(float64(n) / perSecond * float64(time.Second))
		if at >= d {
			return
		}
		time.Sleep(time.Until(begin.Add(at)))
		f.group.Go(func() { f.request(name) })
	}
}

// BenchmarkScheduler_ProcessorTime measures the processor time of one of four schedulers of
// 291 gateways for a request, messages included: 115 requests/s at services and 265 at
// engines, and twice as many.
func BenchmarkScheduler_ProcessorTime(b *testing.B) {
	for _, load := range []float64{0, 1, 2} {
		b.Run(fmt.Sprintf("load=%g", load), func(b *testing.B) {
			const length = 6 * time.Second
			cmd := exec.Command(os.Args[0])
			cmd.Env = append(os.Environ(), schedulerVariable+"=1", "GOMAXPROCS=1")
			if file := os.Getenv(profileVariable); file != "" {
				cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%s.%g", profileVariable, file, load))
			}
			cmd.Stderr = os.Stderr
			in, err := cmd.StdinPipe()
			must.NoError(b, err)
			out, err := cmd.StdoutPipe()
			must.NoError(b, err)
			must.NoError(b, cmd.Start())
			lines := bufio.NewScanner(out)
			word := func(name string) string {
				for lines.Scan() {
					if value, found := strings.CutPrefix(lines.Text(), name+" "); found {
						return value
					}
				}
				b.Fatalf("the scheduler did not print %q", name)
				return ""
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := newCostFleet(ctx, word("address"))
			time.Sleep(2 * time.Second)
			_, _ = fmt.Fprintln(in)
			calls := f.calls()
			for b.Loop() {
				if load == 0 {
					time.Sleep(length)
					continue
				}
				var runs sync.WaitGroup
				runs.Go(func() { f.run("engines", 265*load, length) })
				runs.Go(func() { f.run("services", 115*load, length) })
				runs.Wait()
				f.group.Wait()
			}
			seconds := length.Seconds() * float64(b.N)
			b.ReportMetric(float64(f.calls()-calls)/seconds, "calls/s")
			_, _ = fmt.Fprintln(in)
			micros, err := strconv.ParseFloat(word("processor"), 64)
			must.NoError(b, err)
			_ = in.Close()
			cancel()
			_ = cmd.Wait()
			b.ReportMetric(micros/1e4/seconds, "%core")
			if n := float64(f.next.Load()); n > 0 {
				b.ReportMetric(float64(f.failed.Load()), "failed")
				b.ReportMetric(micros/n, "µs/request")
				b.ReportMetric(float64(f.calls()-calls)/n, "calls/request")
			}
		})
	}
}
