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
	// lightLoad is a number of requests that the upstreams serve in a fraction
	// of their time.
	lightLoad = 80
)

var errLost = errors.New("lost")

// hub carries calls between gateways and schedulers in memory, with faults.
type hub struct {
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*Service
	// loss is the chance, 0 to 1, that a request or its reply is lost.
	loss float64
	// cut gateways reach nobody; calls wait for their deadline.
	cut map[ident.NodeID]bool
}

// link is one gateway's way to the schedulers.
type link struct {
	hub     *hub
	gateway ident.NodeID
}

func (l *link) Call(ctx context.Context, address, _ string, args, reply any) error {
	service, before, after, delay := l.hub.draw(l.gateway, address)
	time.Sleep(delay)
	if before || service == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	into := reply.(*Reply)
	var err error
	switch a := args.(type) {
	case *SubmitArgs:
		err = service.Submit(a, into)
	case *PollArgs:
		err = service.Poll(a, into)
	case *LeaveArgs:
		err = service.Leave(a, into)
	}
	if after {
		<-ctx.Done()
		return errLost
	}
	time.Sleep(delay)
	return err
}

func (h *hub) draw(gateway ident.NodeID, address string) (service *Service, before, after bool, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before = h.cut[gateway] || h.random.Float64() < h.loss
	after = h.random.Float64() < h.loss
	return h.services[address], before, after, time.Duration(h.random.IntN(3000)) * time.Microsecond
}

// meter counts what runs on the upstreams as they themselves would.
type meter struct {
	mu      sync.Mutex
	running map[ident.UpstreamName]int
	most    map[ident.UpstreamName]int
	begun   map[ident.RequestID]int
	ended   map[ident.RequestID]int
	refused map[ident.RequestID]scheduler.Reason
	// lapsed counts the grants that a gateway was too slow to use.
	lapsed map[ident.RequestID]int
}

func newMeter() *meter {
	return &meter{
		running: make(map[ident.UpstreamName]int),
		most:    make(map[ident.UpstreamName]int),
		begun:   make(map[ident.RequestID]int),
		ended:   make(map[ident.RequestID]int),
		refused: make(map[ident.RequestID]scheduler.Reason),
		lapsed:  make(map[ident.RequestID]int),
	}
}

func (m *meter) begin(id ident.RequestID, u ident.UpstreamName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.begun[id]++
	m.running[u]++
	m.most[u] = max(m.most[u], m.running[u])
}

func (m *meter) end(u ident.UpstreamName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[u]--
}

func (m *meter) refuse(id ident.RequestID, reason scheduler.Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused[id] = reason
}

func (m *meter) lapse(id ident.RequestID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapsed[id]++
}

// unanswered counts the requests that ended without a grant or a refusal.
func (m *meter) unanswered() int {
	n := 0
	for id := range m.ended {
		if m.begun[id] == 0 && m.lapsed[id] == 0 && m.refused[id] == "" {
			n++
		}
	}
	return n
}

func (m *meter) settle(id ident.RequestID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended[id]++
}

// scenario is one history.
type scenario struct {
	hub     *hub
	meter   *meter
	clients []*Client
	epoch   ident.Epoch
	masters []*Master
	random  *rand.Rand
	mu      sync.Mutex
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

// elect starts a scheduler of the next epoch and tells the gateways of it at
// different times. A former scheduler that is cut off goes on granting.
func (s *scenario) elect(stopFormer bool) {
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
	s.hub.mu.Lock()
	s.hub.services[address] = service
	s.hub.mu.Unlock()
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

// request carries one request through a client as a gateway does.
func (s *scenario) request(c *Client, id ident.RequestID, tier ident.TierName, patience time.Duration) {
	defer s.meter.settle(id)
	deadline := time.Now().Add(patience)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	t := scheduler.Ticket{ID: id, Gateway: c.gateway, Tier: tier, Team: "a", Route: "r", Idempotent: true}
	for {
		d, err := c.Place(ctx, t, deadline)
		if err != nil {
			return
		}
		if d.Refusal != nil {
			s.meter.refuse(id, d.Refusal.Reason)
			return
		}
		time.Sleep(s.jitter(100 * time.Millisecond))
		if s.jitter(10) == 0 {
			time.Sleep(s.jitter(3 * time.Second))
		}
		if !c.Begin(id) {
			c.Finish(id, scheduler.ReportDropped, 0)
			s.meter.lapse(id)
			continue
		}
		s.meter.begin(id, d.Grant.Upstream)
		time.Sleep(s.jitter(60 * time.Millisecond))
		c.FirstToken(id, 0)
		time.Sleep(s.jitter(300 * time.Millisecond))
		s.meter.end(d.Grant.Upstream)
		c.Finish(id, scheduler.ReportEnded, 1)
		return
	}
}

// TestPool_EachTicketOnceUnderFailover drives gateways against schedulers that
// come and go over lossy links.
func TestPool_EachTicketOnceUnderFailover(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(rt, "loss")
		elections := rapid.IntRange(0, 3).Draw(rt, "elections")
		stopFormer := rapid.Bool().Draw(rt, "former stops")
		requests := rapid.IntRange(1, 240).Draw(rt, "requests")
		m := newMeter()
		synctest.Test(t, func(t *testing.T) {
			runScenario(m, seed, loss, elections, stopFormer, requests)
		})
		must.MapLen(rt, requests, m.ended)
		for id, n := range m.begun {
			must.Eq(rt, 1, n, must.Sprintf("%s began %d times", id, n))
		}
		for u, n := range m.most {
			must.LessEq(rt, testLimit, n, must.Sprintf("%s ran %d at once", u, n))
		}
		if loss > 0 || elections > 0 {
			return
		}
		must.Zero(rt, m.unanswered(), must.Sprint("without faults each request gets a grant or a refusal"))
		for id, reason := range m.refused {
			must.Eq(rt, scheduler.ReasonDeadline, reason, must.Sprint(id))
		}
		if requests <= lightLoad {
			must.MapEmpty(rt, m.refused, must.Sprint("the upstreams can serve all of these in time"))
		}
	})
}

func runScenario(m *meter, seed uint64, loss float64, elections int, stopFormer bool, requests int) {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &scenario{
		hub:    &hub{random: rand.New(rand.NewPCG(seed, 2)), services: make(map[string]*Service), loss: loss, cut: make(map[ident.NodeID]bool)},
		meter:  m,
		random: rand.New(rand.NewPCG(seed, 3)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var loops, group sync.WaitGroup
	for i := range testGateways {
		c := NewClient(testPool, testGateway(i), 1, &link{hub: s.hub, gateway: testGateway(i)}, nil)
		s.clients = append(s.clients, c)
		loops.Go(func() { c.Run(ctx) })
	}
	s.elect(true)
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
		s.elect(stopFormer)
	}
	group.Wait()
	cancel()
	loops.Wait()
	for _, master := range s.masters {
		master.Stop()
	}
}
