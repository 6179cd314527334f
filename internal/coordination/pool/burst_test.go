package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

const (
	// burstGateways are the gateways of one of four shards of a fleet of 291.
	burstGateways = 73
	// messageTime is what one message occupies a scheduler that has a fifth of a core: 90 us
	// of processor time.
	messageTime = 450 * time.Microsecond
	networkTime = time.Millisecond
	// serviceObjective is the objective of a request to a plain service.
	serviceObjective = 120 * time.Millisecond
)

// busyScheduler carries calls to schedulers that share a processor: one message after the
// other, each for messageTime.
type busyScheduler struct {
	service        *Service
	submits, polls atomic.Int64

	mu   sync.Mutex
	free time.Time
}

// Call implements Caller.
func (s *busyScheduler) Call(_ context.Context, _, _ string, args, reply any) error {
	time.Sleep(networkTime)
	s.mu.Lock()
	done := time.Now()
	if s.free.After(done) {
		done = s.free
	}
	done = done.Add(messageTime)
	s.free = done
	s.mu.Unlock()
	time.Sleep(time.Until(done))
	defer time.Sleep(networkTime)
	switch a := args.(type) {
	case *SubmitArgs:
		s.submits.Add(1)
		return s.service.Submit(a, reply.(*Reply))
	case *PollArgs:
		s.polls.Add(1)
		return s.service.Poll(a, reply.(*Reply))
	default:
		return fmt.Errorf("no method for %T", args)
	}
}

// shardFleet holds the gateways of a shard and its scheduler.
type shardFleet struct {
	cancel    context.CancelFunc
	scheduler *busyScheduler
	clients   map[ident.PoolName][]*Client
	next      atomic.Int64
	requests  sync.WaitGroup
}

// newShardFleet starts one of four schedulers of a fleet with 240 engines of 4 slots and 5
// services of 6.
func newShardFleet() *shardFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &shardFleet{cancel: cancel, scheduler: &busyScheduler{service: NewService(nil)}, clients: make(map[ident.PoolName][]*Client)}
	for name, size := range map[ident.PoolName]struct{ upstreams, slots int }{"engines": {240, 4}, "services": {5, 6}} {
		v := scheduler.View{Pool: name, Tiers: []scheduler.Tier{{Name: "low", Rank: 1}}, Shared: &scheduler.Shared{RetryRatio: 0.2, RetryBurst: 100}}
		for i := range size.upstreams {
			v.Upstreams = append(v.Upstreams, scheduler.Upstream{Name: ident.UpstreamName(fmt.Sprintf("%s-%03d", name, i)), Version: "v1", MaxConcurrent: size.slots})
		}
		for i := range 4 * burstGateways {
			v.Gateways = append(v.Gateways, gatewayID(i))
		}
		f.scheduler.service.Put(NewMaster(name, 0, func(now time.Duration) scheduler.Scheduler { return scheduler.New(0, v, now) }, nil))
		for i := range burstGateways {
			c := NewClient(name, gatewayID(i), 1, f.scheduler, nil)
			c.SetHolder(Holder{Lease: lease.Pool{Pool: name}, Address: "scheduler"})
			go c.Run(ctx)
			f.clients[name] = append(f.clients[name], c)
		}
	}
	return f
}

func (f *shardFleet) stop() {
	f.requests.Wait()
	f.cancel()
	for _, m := range f.scheduler.service.Masters() {
		m.Stop()
	}
	// The bubble's time ends with its test.
	time.Sleep(PollTimeout)
}

// request runs one request and returns how long it took to its answer; false if it was
// refused or its caller left.
func (f *shardFleet) request(name ident.PoolName, at int) (time.Duration, bool) {
	begin := time.Now()
	c, id := f.clients[name][at], ident.RequestID(fmt.Sprintf("r%07d", f.next.Add(1)))
	t := scheduler.Ticket{
		ID: id, Gateway: gatewayID(at), Tier: "low", Team: "a", Route: "r", Idempotent: true, Objective: serviceObjective, Patience: time.Second,
	}
	first, rest, deadline := 14*time.Millisecond, time.Duration(0), 600*time.Millisecond
	if name == "engines" {
		t.PromptTokens, t.OutputTokens, t.Objective = 2000, 60, 500*time.Millisecond
		first, rest, deadline = 60*time.Millisecond, 240*time.Millisecond, 10*time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	d, err := c.Place(ctx, t, begin.Add(deadline))
	if err != nil || d.Grant == nil || c.Begin(id) != scheduler.BeginSend {
		return 0, false
	}
	time.Sleep(first)
	c.FirstToken(id, 0, 0)
	answered := time.Since(begin)
	time.Sleep(rest)
	c.Finish(id, scheduler.Ending{Kind: scheduler.ReportEnded, OutputTokens: t.OutputTokens})
	return answered, true
}

// load counts what became of the requests to the services in a time.
type load struct{ asked, granted, inTime atomic.Int64 }

// run sends requests at even intervals for a time: 120 a second to the services and 265 to
// the engines, times a factor.
func (f *shardFleet) run(random *rand.Rand, factor float64, d time.Duration) *load {
	l := &load{}
	const step = time.Millisecond
	due := map[ident.PoolName]float64{}
	for range d / step {
		for name, perSecond := range map[ident.PoolName]float64{"engines": 265, "services": 120} {
			for due[name] += factor * perSecond * step.Seconds(); due[name] >= 1; due[name]-- {
				at := random.IntN(burstGateways)
				f.requests.Go(func() {
					took, granted := f.request(name, at)
					if name != "services" {
						return
					}
					l.asked.Add(1)
					if granted {
						l.granted.Add(1)
					}
					if granted && took <= serviceObjective {
						l.inTime.Add(1)
					}
				})
			}
		}
		time.Sleep(step)
	}
	f.requests.Wait()
	return l
}

// TestBurst_PlainRequestsOfALargeFleet guards against a scheduler that grants fewer requests
// in a burst than before it, because its messages take all of its processor time and slots
// count as used until their reports arrive.
func TestBurst_PlainRequestsOfALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newShardFleet()
		defer f.stop()
		random := rand.New(rand.NewPCG(1, 2))
		time.Sleep(2 * time.Second)
		calm := f.run(random, 1, 4*time.Second)
		burst := f.run(random, 1.7, 5*time.Second)
		t.Logf("calm: %d asked, %d granted, %d in time; burst: %d, %d, %d; %d messages", calm.asked.Load(), calm.granted.Load(), calm.inTime.Load(),
			burst.asked.Load(), burst.granted.Load(), burst.inTime.Load(), f.scheduler.submits.Load()+f.scheduler.polls.Load())
		for name, l := range map[string]*load{"calm": calm, "burst": burst} {
			must.GreaterEq(t, 0.95*float64(l.asked.Load()), float64(l.inTime.Load()), must.Sprintf("%s: answered within the objective", name))
		}
	})
}

// TestBurst_BeyondTheScheduler sends more than the scheduler's processor bears: it must not
// grant fewer requests a second than before.
func TestBurst_BeyondTheScheduler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newShardFleet()
		defer f.stop()
		random := rand.New(rand.NewPCG(1, 2))
		time.Sleep(2 * time.Second)
		calm := f.run(random, 1, 4*time.Second)
		beyond := f.run(random, 2.8, 4*time.Second)
		must.GreaterEq(t, calm.granted.Load(), beyond.granted.Load())
	})
}

// TestClient_FewMessagesPerRequest counts the messages of a request: its ticket and its end
// with all before it, and for a longer stream one of its beginning.
func TestClient_FewMessagesPerRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newShardFleet()
		defer f.stop()
		time.Sleep(PollHold + 100*time.Millisecond)
		for name, most := range map[ident.PoolName]int64{"services": 2, "engines": 3} {
			before := f.scheduler.submits.Load()
			_, granted := f.request(name, 0)
			must.True(t, granted)
			time.Sleep(maxReportDelay)
			must.LessEq(t, most, f.scheduler.submits.Load()-before, must.Sprint(name))
		}
	})
}
