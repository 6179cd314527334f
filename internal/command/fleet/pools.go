package fleet

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler/retryslots"
	"github.com/flamingohaven/flamingohaven/internal/coordination/shard"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

const (
	// schedulerTimeout is how long a gateway waits for a scheduler's answer before
	// it switches to another scheduler. Latency objectives are some hundred
	// milliseconds.
	schedulerTimeout = 450 * time.Millisecond
	// suspectDuration is how long a scheduler that did not answer is skipped.
	suspectDuration = 2 * time.Second
	// gatewaySessionTimeout is how long a scheduler keeps the session of a gateway
	// that sends nothing: the time of two polls and one scheduler timeout.
	gatewaySessionTimeout = 2*pool.PollHold + schedulerTimeout
)

// poolClient is the client of a pool's scheduler; cancel stops it.
type poolClient struct {
	*pool.Client
	cancel context.CancelFunc
}

// schedulerCaller calls schedulers by RPC, and the one in this process directly.
type schedulerCaller struct {
	calls      *rpcnet.Client
	ownAddress string
	local      *pool.Service
}

// Call implements pool.Caller.
func (c *schedulerCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if address != c.ownAddress {
		return c.calls.Call(ctx, address, method, args, reply)
	}
	switch a := args.(type) {
	case *pool.SubmitArgs:
		return c.local.Submit(a, reply.(*pool.Reply))
	case *pool.PollArgs:
		return c.local.Poll(a, reply.(*pool.Reply))
	case *pool.LeaveArgs:
		return c.local.Leave(a, reply.(*pool.Reply))
	default:
		return c.calls.Call(ctx, address, method, args, reply)
	}
}

// applyPools updates the schedulers and their clients to the current configuration,
// members and upstreams.
func (n *Node) applyPools() {
	if !n.settings.Gateway() || n.ctx.Err() != nil {
		return
	}
	cfg, _ := n.follower.Config()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateRollouts(time.Now())
	for name := range cfg.Pools {
		view := n.schedulerView(&cfg, name)
		if m := n.masters[name]; m != nil {
			m.SetView(view)
		} else {
			n.startMaster(name, view)
		}
		if n.clients[name] == nil {
			n.startClient(name)
		}
		n.clients[name].LimitCold(view.Cold != nil)
	}
	for name, c := range n.clients {
		if _, kept := cfg.Pools[name]; !kept {
			c.cancel()
			delete(n.clients, name)
			n.pools.Remove(name)
			delete(n.masters, name)
		}
	}
	n.chooseSchedulers()
}

func (n *Node) startMaster(name ident.PoolName, view scheduler.View) {
	build := func(now time.Duration) scheduler.Scheduler {
		p := scheduler.New(0, view, now)
		p.SetOrigin(time.Now())
		return p
	}
	m := pool.NewMaster(name, 0, build, n.watchOf(name))
	m.SetSessionTimeout(gatewaySessionTimeout)
	n.masters[name] = m
	n.pools.Put(m)
}

func (n *Node) startClient(name ident.PoolName) {
	ctx, cancel := context.WithCancel(n.ctx)
	caller := &schedulerCaller{calls: n.calls, ownAddress: n.settings.address(n.settings.ID()), local: n.pools}
	c := &poolClient{
		Client: pool.NewClient(name, n.settings.ID(), n.incarnation, caller, n.clock),
		cancel: cancel,
	}
	c.SetFailureHandler(schedulerTimeout, n.suspect)
	c.CountUsage(n.usage)
	c.SetAnswerHandler(func(took time.Duration) { n.metrics.schedulerAnswers.Observe(took.Seconds()) })
	if n.settings.FirstStart {
		c.SetFirstStart()
	}
	c.SetUpdateHandler(func(detail string) {
		n.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: name, Detail: detail})
	})
	c.LearnPoison(n.poison.List())
	n.clients[name] = c
	n.loops.Go(func() { c.Run(ctx) })
}

// suspect marks a scheduler that did not answer, so that it is skipped for
// suspectDuration.
func (n *Node) suspect(address string) {
	if n.ctx.Err() != nil || address == n.settings.address(n.settings.ID()) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.suspects[address].Before(time.Now()) {
		n.events.Record(timeline.Event{Kind: timeline.KindScheduler, Detail: address + " does not answer, passed over for " + suspectDuration.String()})
		klog.InfoS("scheduler does not answer, skipping it", "node", n.settings.Name, "scheduler", address, "for", suspectDuration)
	}
	n.suspects[address] = time.Now().Add(suspectDuration)
	n.chooseSchedulers()
	time.AfterFunc(suspectDuration, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.chooseSchedulers()
	})
}

// chooseSchedulers points all clients at the scheduler of this gateway's shard. One
// scheduler serves all pools, so that quotas are exact within the shard. The caller holds
// n.mu.
func (n *Node) chooseSchedulers() {
	gateways := n.gateways()
	n.shards = shard.Count(len(gateways), n.shards)
	address := n.schedulerAddress(gateways, time.Now())
	if choice := (schedulerChoice{address: address, shard: n.shard(), shards: n.shards}); choice != n.scheduler {
		n.scheduler = choice
		n.events.Record(timeline.Event{Kind: timeline.KindScheduler, Detail: fmt.Sprintf("%s schedules shard %d of %d; %d gateways known", address, choice.shard, choice.shards, len(gateways))})
	}
	for name, c := range n.clients {
		c.SetHolder(pool.Holder{Lease: lease.Pool{Pool: name}, Address: address})
	}
}

// schedulerChoice is the scheduler that a gateway uses, and the shard that it schedules.
type schedulerChoice struct {
	address       string
	shard, shards int
}

// schedulerAddress returns the internal address of the gateway that schedules all pools
// for this gateway's shard: the first one in the shard's order that is neither draining nor
// suspected to be down. If there is none, it is this node. The caller holds n.mu.
func (n *Node) schedulerAddress(gateways []control.Member, now time.Time) string {
	members := make(map[ident.NodeID]control.Member, len(gateways))
	ids := make([]ident.NodeID, 0, len(gateways))
	for _, m := range gateways {
		members[m.ID] = m
		ids = append(ids, m.ID)
	}
	for _, id := range shard.Order(ids, n.shard(), n.shards) {
		if m := members[id]; !m.Draining && now.After(n.suspects[m.InternalAddress]) {
			return m.InternalAddress
		}
	}
	return n.settings.address(n.settings.ID())
}

// shard returns the shard of this gateway. The caller holds n.mu.
func (n *Node) shard() int { return shard.Of(n.settings.ID(), n.shards) }

// gateways returns all live gateways, always including this node.
func (n *Node) gateways() []control.Member {
	self := n.member()
	list := []control.Member{self}
	for _, m := range n.follower.State().Members {
		if m.Gateway() && m.ID != self.ID {
			list = append(list, m)
		}
	}
	return list
}

// schedulerView returns the state that the scheduler of a pool works with. The
// caller holds n.mu.
func (n *Node) schedulerView(c *config.Config, name ident.PoolName) scheduler.View {
	view := scheduler.View{
		Pool:       name,
		QueueLimit: c.Pools[name].QueueLimit,
		Cold:       c.Pools[name].Cold,
		Shares:     n.watchOf(name).shares(n.versions(name), time.Now()),
		Shared: &scheduler.Shared{
			RetryRatio: n.settings.RetryRatio,
			RetryBurst: n.settings.RetryBurst,
			Quotas:     n.quotas,
			Phase:      float64(xxhash.Sum64String(string(n.settings.ID()))) / math.MaxUint64,

			RetryWindow: n.settings.RetryWindow,
			FirstStart:  n.settings.FirstStart,
			CutOffGrace: n.settings.MaxConfigAge,
		},
	}
	view.Incomplete = !n.follower.State().Listed
	view.Poison, view.Ends = n.poison.List(), n.follower.State().Ends
	for tier, t := range c.Tiers {
		view.Tiers = append(view.Tiers, scheduler.Tier{Name: tier, Rank: t.Rank, Reserve: t.Reserve})
	}
	for team, t := range c.Teams {
		view.Teams = append(view.Teams, scheduler.Team{Name: team, Shares: t.Shares})
	}
	if n.settings.ZoneCost > 0 {
		view.Zones = &scheduler.ZonePolicy{Gateways: make(map[ident.NodeID]ident.Zone), PerGB: n.settings.ZoneCost}
	}
	for _, m := range n.gateways() {
		view.Gateways = append(view.Gateways, m.ID)
		if view.Zones != nil {
			view.Zones.Gateways[m.ID] = m.Zone
		}
		if shard.Of(m.ID, max(1, n.shards)) == shard.Of(n.settings.ID(), max(1, n.shards)) {
			view.Shared.Neighbours = append(view.Shared.Neighbours, m.ID)
		}
	}
	watch := n.watchOf(name)
	for _, d := range n.upstreams.Load().byPool[name] {
		_, evacuated := n.follower.Evacuation(d.Upstream.Zone)
		view.Upstreams = append(view.Upstreams, scheduler.Upstream{
			Name: d.Name, Version: d.Upstream.Version, Zone: d.Upstream.Zone, Region: n.settings.region(d.Upstream.Zone),
			MaxConcurrent: d.Upstream.MaxConcurrent, Leaving: d.Leaving, Process: processOf(d.Upstream), Started: d.Started,
			Evacuated: evacuated, Withheld: watch.withholds(d.Upstream.Version), ColdFor: d.ColdFor, ColdNumber: d.ColdNumber,
		})
	}
	return view
}

// schedulerLoad is what this node's schedulers do.
type schedulerLoad struct {
	// gateways are served by them, and requests wait there or run under their grants.
	gateways, waiting, running int
	// elsewhere counts the grants so far of upstreams outside their gateways' data centres.
	elsewhere int
	// beyondShares counts the grants so far to versions beyond their shares.
	beyondShares int
	// stale counts the grants so far of upstreams whose speed was no longer known.
	stale int
	// retries took from the retry budgets so far and refused were not allowed by them. The
	// budget that has the least left has left.
	retries, refused int
	left             float64
	// reservations are those for retries of refused callers, and unplanned counts the
	// refusals for load so far that had none.
	reservations retryslots.Counts
	unplanned    int
	// cold counts the upstreams in their cold time, and coldHolds the requests so far that
	// waited while only the bound on cold upstreams kept free slots from them.
	cold, coldHolds int
}

func (n *Node) schedulerLoad() schedulerLoad {
	n.mu.Lock()
	masters := slices.Collect(maps.Values(n.masters))
	n.mu.Unlock()
	load := schedulerLoad{left: math.Inf(1)}
	for _, m := range masters {
		stats := m.Stats()
		load.retries, load.refused = load.retries+stats.Retries, load.refused+stats.RetriesRefused
		load.reservations, load.unplanned = load.reservations.Plus(stats.Reservations), load.unplanned+stats.Unplanned
		if m.Sessions() > 0 {
			load.left = min(load.left, stats.RetriesLeft)
		}
		if m.Sessions() > 0 {
			load.cold += stats.Cold
		}
		load.coldHolds += stats.ColdHolds
		load.gateways = max(load.gateways, m.Sessions())
		load.waiting, load.running, load.stale = load.waiting+stats.Waiting, load.running+stats.Running, load.stale+stats.Stale
		load.elsewhere += stats.Elsewhere
		load.beyondShares += stats.BeyondShares
	}
	if math.IsInf(load.left, 1) {
		load.left = 0
	}
	return load
}

// Placer implements gateway.Environment.
func (n *Node) Placer(name ident.PoolName) gateway.Placer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.clients[name]; c != nil {
		return c.Client
	}
	return nil
}

// rateLimits returns the numbers of upstreams that name a limit to this gateway and of
// those that say that they are brittle.
func (n *Node) rateLimits() (limits, brittle int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clients {
		l, b := c.RateLimits()
		limits, brittle = limits+l, brittle+b
	}
	return limits, brittle
}

// pausedUpstreams returns the number of upstreams that asked this gateway for a pause that
// is in force.
func (n *Node) pausedUpstreams() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	paused := 0
	for _, c := range n.clients {
		paused += c.Paused()
	}
	return paused
}

// leavingUpstreams returns the number of upstreams that have said that they leave.
func (n *Node) leavingUpstreams() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	leaving := 0
	for _, c := range n.clients {
		leaving += c.LeavingCount()
	}
	return leaving
}

// Upstream implements gateway.Environment. It is asked before each sending, so that a grant
// from before an evacuation is not used.
func (n *Node) Upstream(name ident.UpstreamName) (config.Upstream, bool) {
	d, known := n.upstreams.Load().byName[name]
	_, evacuated := n.follower.Evacuation(d.Upstream.Zone)
	return d.Upstream, known && !d.Leaving && !evacuated
}

// PoolUpstreams implements gateway.Environment.
func (n *Node) PoolUpstreams(name ident.PoolName) []gateway.Target {
	var targets []gateway.Target
	for _, d := range n.upstreams.Load().byPool[name] {
		targets = append(targets, gateway.Target{Name: d.Name, Upstream: d.Upstream})
	}
	return targets
}

// HealthPath returns the path of the health check of a pool's upstreams; empty if they have
// none, or the pool is unknown.
func (n *Node) HealthPath(pool ident.PoolName) string {
	cfg, _ := n.follower.Config()
	return cfg.Pools[pool].HealthPath
}
