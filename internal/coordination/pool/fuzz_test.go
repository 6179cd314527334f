package pool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

const (
	testPool     = ident.PoolName("p")
	testGateways = 3
	testLimit    = 4
	// lightLoad is a number of requests that the upstreams can serve in a
	// fraction of the time limit.
	lightLoad = 80
)

var errLost = errors.New("lost")

// fakeNetwork carries calls between gateways and schedulers in memory, with
// faults.
type fakeNetwork struct {
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*Service
	// loss is the probability that a request is lost, and that a reply is lost.
	loss float64
	// partitioned holds the gateways without a connection; their calls wait until
	// they time out.
	partitioned map[ident.NodeID]bool
}

// fakeCaller makes the calls of one gateway over the network.
type fakeCaller struct {
	network *fakeNetwork
	gateway ident.NodeID
}

func (l *fakeCaller) Call(ctx context.Context, address, _ string, args, reply any) error {
	service, before, after, delay := l.network.drawFaults(l.gateway, address)
	time.Sleep(delay)
	if before || service == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	out := reply.(*Reply)
	var err error
	switch a := args.(type) {
	case *SubmitArgs:
		err = service.Submit(a, out)
	case *PollArgs:
		err = service.Poll(a, out)
	case *LeaveArgs:
		err = service.Leave(a, out)
	}
	if after {
		<-ctx.Done()
		return errLost
	}
	time.Sleep(delay)
	return err
}

func (nw *fakeNetwork) drawFaults(gateway ident.NodeID, address string) (service *Service, before, after bool, delay time.Duration) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	before = nw.partitioned[gateway] || nw.random.Float64() < nw.loss
	after = nw.random.Float64() < nw.loss
	return nw.services[address], before, after, time.Duration(nw.random.IntN(3000)) * time.Microsecond
}

// requestLog records how requests ended, and counts the requests that run on each
// upstream.
type requestLog struct {
	mu      sync.Mutex
	running map[ident.UpstreamName]int
	// maxRunning is the highest number of requests that ran at once.
	maxRunning map[ident.UpstreamName]int
	begun      map[ident.RequestID]int
	ended      map[ident.RequestID]int
	refused    map[ident.RequestID]scheduler.Reason
	// lapsed counts the grants that expired before the gateway used them.
	lapsed map[ident.RequestID]int
	// pausedUntil holds until when an upstream asked a gateway for a pause, and inPause
	// counts the requests that began in one.
	pausedUntil map[gatewayUpstream]time.Time
	inPause     int
}

type gatewayUpstream struct {
	gateway  ident.NodeID
	upstream ident.UpstreamName
}

func newRequestLog() *requestLog {
	return &requestLog{
		running:    make(map[ident.UpstreamName]int),
		maxRunning: make(map[ident.UpstreamName]int),
		begun:      make(map[ident.RequestID]int),
		ended:      make(map[ident.RequestID]int),
		refused:    make(map[ident.RequestID]scheduler.Reason),
		lapsed:     make(map[ident.RequestID]int),

		pausedUntil: make(map[gatewayUpstream]time.Time),
	}
}

func (log *requestLog) begin(id ident.RequestID, u ident.UpstreamName) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.begun[id]++
	log.running[u]++
	log.maxRunning[u] = max(log.maxRunning[u], log.running[u])
}

// beginAt records that a request of a gateway began, and whether the upstream had asked
// for a pause.
func (log *requestLog) beginAt(gateway ident.NodeID, id ident.RequestID, u ident.UpstreamName) {
	log.begin(id, u)
	log.mu.Lock()
	defer log.mu.Unlock()
	if time.Now().Before(log.pausedUntil[gatewayUpstream{gateway, u}]) {
		log.inPause++
	}
}

func (log *requestLog) pause(gateway ident.NodeID, u ident.UpstreamName, d time.Duration) {
	log.mu.Lock()
	defer log.mu.Unlock()
	key, until := gatewayUpstream{gateway, u}, time.Now().Add(d)
	if until.After(log.pausedUntil[key]) {
		log.pausedUntil[key] = until
	}
}

func (log *requestLog) end(u ident.UpstreamName) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.running[u]--
}

func (log *requestLog) refuse(id ident.RequestID, reason scheduler.Reason) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.refused[id] = reason
}

func (log *requestLog) lapse(id ident.RequestID) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.lapsed[id]++
}

// unanswered returns the number of requests that ended without a grant or a
// refusal.
func (log *requestLog) unanswered() int {
	n := 0
	for id := range log.ended {
		if log.begun[id] == 0 && log.lapsed[id] == 0 && log.refused[id] == "" {
			n++
		}
	}
	return n
}

func (log *requestLog) finish(id ident.RequestID) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.ended[id]++
}

// scenario is one run of gateways and schedulers.
type scenario struct {
	network *fakeNetwork
	log     *requestLog
	clients []*Client
	epoch   ident.Epoch
	masters []*Master
	random  *rand.Rand
	mu      sync.Mutex
	// pauses makes upstreams ask for a pause in some answers, and say in a few that they
	// leave.
	pauses bool
}

func testView() scheduler.View {
	v := scheduler.View{
		Pool:       testPool,
		QueueLimit: 1000,
		Tiers:      []scheduler.Tier{{Name: "low", Rank: 1}, {Name: "high", Rank: 2}},
		Teams:      []scheduler.Team{{Name: "a", Shares: 1}, {Name: "b", Shares: 2}},
		Shares:     []scheduler.VersionShare{{Version: "v1", Share: 1, NonIdempotentShare: 1}},
	}
	for i := range 2 {
		v.Upstreams = append(v.Upstreams, scheduler.Upstream{
			Name:          ident.UpstreamName(fmt.Sprintf("u%d", i)),
			Version:       "v1",
			MaxConcurrent: testLimit,
		})
	}
	for i := range testGateways {
		v.Gateways = append(v.Gateways, testGateway(i))
	}
	return v
}

func testGateway(i int) ident.NodeID { return ident.NodeID(fmt.Sprintf("g%d", i)) }

// startScheduler starts a scheduler of the next epoch and announces it to the
// gateways at different times. If stopFormer is false, the former scheduler keeps
// granting, as if partitioned from the control service.
func (s *scenario) startScheduler(stopFormer bool) {
	if len(s.masters) > 0 && stopFormer {
		s.masters[len(s.masters)-1].Stop()
	}
	s.epoch++
	epoch := s.epoch
	m := NewMaster(testPool, epoch, func(now time.Duration) scheduler.Scheduler {
		return scheduler.New(epoch, testView(), now)
	}, nil)
	s.masters = append(s.masters, m)
	service := NewService(nil)
	service.Put(m)
	address := fmt.Sprintf("s%d", epoch)
	s.network.mu.Lock()
	s.network.services[address] = service
	s.network.mu.Unlock()
	holder := Holder{Lease: lease.Pool{Pool: testPool, Epoch: epoch}, Address: address}
	for _, c := range s.clients {
		time.AfterFunc(s.jitter(400*time.Millisecond), func() { c.SetHolder(holder) })
	}
}

func (s *scenario) jitter(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}

// request runs one request through a client as a gateway does.
func (s *scenario) request(c *Client, id ident.RequestID, tier ident.TierName, timeout time.Duration) {
	defer s.log.finish(id)
	deadline := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	t := scheduler.Ticket{ID: id, Gateway: c.gateway, Tier: tier, Team: "a", Route: "r", Idempotent: true}
	for {
		d, err := c.Place(ctx, t, deadline)
		if err != nil {
			return
		}
		if d.Refusal != nil {
			s.log.refuse(id, d.Refusal.Reason)
			return
		}
		time.Sleep(s.jitter(100 * time.Millisecond))
		if s.jitter(10) == 0 {
			time.Sleep(s.jitter(3 * time.Second))
		}
		if c.Begin(id) != scheduler.BeginSend {
			c.Finish(id, scheduler.Ending{Kind: scheduler.ReportDropped})
			s.log.lapse(id)
			continue
		}
		s.log.beginAt(c.gateway, id, d.Grant.Upstream)
		time.Sleep(s.jitter(60 * time.Millisecond))
		if s.pauses && s.jitter(6) == 0 {
			pause := s.jitter(2 * time.Second)
			c.Notice(id, scheduler.UpstreamNotice{Pause: scheduler.NoticeNamed, PauseFor: pause})
			s.log.pause(c.gateway, d.Grant.Upstream, pause)
		}
		if s.pauses && s.jitter(60) == 0 {
			c.Notice(id, scheduler.UpstreamNotice{Leaving: scheduler.NoticeNamed})
			s.log.pause(c.gateway, d.Grant.Upstream, scheduler.LeavingRetention)
		}
		c.FirstToken(id, 0, 0)
		time.Sleep(s.jitter(300 * time.Millisecond))
		s.log.end(d.Grant.Upstream)
		c.Finish(id, scheduler.Ending{Kind: scheduler.ReportEnded, OutputTokens: 1})
		return
	}
}

// TestPool_EachTicketOnceUnderFailover runs gateways against schedulers that
// replace each other over lossy connections. Each request must be dispatched at
// most once, and no upstream may run more than its limit.
func TestPool_EachTicketOnceUnderFailover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "loss")
		elections := rapid.IntRange(0, 3).Draw(rt, "elections")
		stopFormer := rapid.Bool().Draw(rt, "former stops")
		requests := rapid.IntRange(1, 240).Draw(rt, "requests")
		log := newRequestLog()
		synctest.Test(t, func(t *testing.T) {
			runScenario(log, seed, loss, elections, stopFormer, requests, false)
		})
		must.MapLen(rt, requests, log.ended)
		for id, n := range log.begun {
			must.Eq(rt, 1, n, must.Sprintf("%s began %d times", id, n))
		}
		for u, n := range log.maxRunning {
			must.LessEq(rt, testLimit, n, must.Sprintf("%s ran %d at once", u, n))
		}
		if loss > 0 || elections > 0 {
			return
		}
		must.Zero(rt, log.unanswered(), must.Sprint("without faults each request gets a grant or a refusal"))
		for id, reason := range log.refused {
			must.Eq(rt, scheduler.ReasonDeadline, reason, must.Sprint(id))
		}
		if requests <= lightLoad {
			must.MapEmpty(rt, log.refused, must.Sprint("the upstreams can serve all of these in time"))
		}
	})
}

// TestPool_NoRequestInPauseUnderFailover runs gateways against schedulers that replace each
// other over lossy connections, while upstreams ask gateways for pauses or tell them that
// they leave. No request may begin at an upstream in a pause that it asked the gateway for,
// or after it has told the gateway that it leaves.
func TestPool_NoRequestInPauseUnderFailover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "loss")
		elections := rapid.IntRange(0, 3).Draw(rt, "elections")
		stopFormer := rapid.Bool().Draw(rt, "former stops")
		requests := rapid.IntRange(1, 120).Draw(rt, "requests")
		log := newRequestLog()
		synctest.Test(t, func(t *testing.T) {
			runScenario(log, seed, loss, elections, stopFormer, requests, true)
		})
		must.MapLen(rt, requests, log.ended)
		must.Zero(rt, log.inPause)
		for id, n := range log.begun {
			must.Eq(rt, 1, n, must.Sprintf("%s began %d times", id, n))
		}
	})
}

func runScenario(log *requestLog, seed uint64, loss float64, elections int, stopFormer bool, requests int, pauses bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &scenario{
		network: &fakeNetwork{random: rand.New(rand.NewPCG(seed, 2)), services: make(map[string]*Service), loss: loss, partitioned: make(map[ident.NodeID]bool)},
		log:     log,
		random:  rand.New(rand.NewPCG(seed, 3)),
		pauses:  pauses,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loops, group sync.WaitGroup
	for i := range testGateways {
		c := NewClient(testPool, testGateway(i), 1, &fakeCaller{network: s.network, gateway: testGateway(i)}, nil)
		s.clients = append(s.clients, c)
		loops.Go(func() { c.Run(ctx) })
	}
	s.startScheduler(true)
	for i := range requests {
		id := ident.RequestID(fmt.Sprintf("r%d", i))
		start := time.Duration(random.IntN(3000)) * time.Millisecond
		tier := []ident.TierName{"low", "high"}[random.IntN(2)]
		c := s.clients[random.IntN(testGateways)]
		group.Go(func() {
			time.Sleep(start)
			s.request(c, id, tier, 20*time.Second)
		})
	}
	for range elections {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		s.startScheduler(stopFormer)
	}
	group.Wait()
	cancel()
	loops.Wait()
	for _, master := range s.masters {
		master.Stop()
	}
}
