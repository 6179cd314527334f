package fleet

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/coordination/routing"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

// Dependencies are what the node uses of the outside.
type Dependencies struct {
	// Upstreams sends requests; gateways need it.
	Upstreams gateway.Upstreams
	// ListPage reads the page with the given token of the platform's list of
	// upstreams; an empty token names the first one.
	ListPage func(ctx context.Context, token string) (ListPage, error)
}

// bodyMemoryShare is the part of the process's memory that waiting bodies may take.
const bodyMemoryShare = 0.2

// Node is the daemon of one node.
type Node struct {
	settings    Settings
	deps        Dependencies
	incarnation ident.Incarnation
	clock       *timeline.Clock
	events      *timeline.Recorder
	logLines    *timeline.Lines
	metrics     *metrics

	calls    *rpcnet.Client
	server   *rpcnet.Server
	control  *control.Client
	follower *control.FleetFollower
	replica  *replica
	pools    *pool.Service
	gateway  *gateway.Gateway
	budget   *gateway.Budget
	quotas   *scheduler.Quotas
	usage    *scheduler.UsageLog

	hosts     atomic.Pointer[routing.HostTable]
	upstreams atomic.Pointer[upstreamTable]
	// drainStart is nil until the node is told to stop.
	drainStart atomic.Pointer[time.Time]
	seeds      atomic.Pointer[[]ident.NodeID]
	// resync ends the sync under way, so that the next one tells of a change.
	resync chan struct{}
	// configured is closed once a configuration is in force and upstreams are
	// known.
	configured     chan struct{}
	configuredOnce sync.Once

	mu       sync.Mutex
	clients  map[ident.PoolName]*poolClient
	masters  map[ident.PoolName]*pool.Master
	suspects map[string]time.Time
	watches  map[ident.PoolName]*rolloutWatch

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	fatal  chan error
}

// New binds the node's internal socket and opens its data folder.
func New(s Settings, e Dependencies) (*Node, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		settings:    s,
		deps:        e,
		incarnation: ident.Incarnation(time.Now().UnixNano()),
		clock:       &timeline.Clock{},
		calls:       rpcnet.NewClientWith(rpcnet.DialWithin(dialTimeout)),
		follower:    &control.FleetFollower{},
		quotas:      scheduler.NewQuotas(),
		usage:       scheduler.NewUsageLog(time.Now()),
		resync:      make(chan struct{}, 1),
		configured:  make(chan struct{}),
		clients:     make(map[ident.PoolName]*poolClient),
		masters:     make(map[ident.PoolName]*pool.Master),
		suspects:    make(map[string]time.Time),
		watches:     make(map[ident.PoolName]*rolloutWatch),
		fatal:       make(chan error, 1),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.upstreams.Store(&upstreamTable{})
	n.seeds.Store(&n.settings.Seeds)
	n.events = timeline.NewRecorder(ident.NodeID(s.Name), n.clock, timelineCapacity)
	n.logLines = timeline.NewLines(os.Stdout)
	n.events.WriteTo(n.logLines)
	n.loops.Go(func() { n.logLines.Run(n.ctx.Done()) })
	n.control = control.NewClient(&replicaCaller{node: n}, n.initialReplicas())
	n.control.SetMaxPause(maxRetryDelay)
	n.pools = pool.NewService(n.clock)
	n.budget = gateway.NewBudget(int64(float64(s.MemoryBytes) * bodyMemoryShare))
	n.metrics = newMetrics(n)
	n.gateway = gateway.New(n, nil, e.Upstreams, n.budget, n.events)
	if err := n.listen(); err != nil {
		n.Stop()
		return nil, err
	}
	return n, nil
}

// maxRetryDelay bounds the pause between two tries to reach a leader: after a
// start or a loss of the leader nothing with a key is served before.
const maxRetryDelay = 100 * time.Millisecond

// timelineCapacity is how many recent events a node keeps.
const timelineCapacity = 512

// initialReplicas returns the replicas to ask before others are known.
func (n *Node) initialReplicas() []ident.NodeID {
	replicas := slices.Clone(n.settings.Seeds)
	if n.settings.Replica() && !slices.Contains(replicas, n.settings.ID()) {
		replicas = append(replicas, n.settings.ID())
	}
	return replicas
}

func (n *Node) listen() error {
	server, err := rpcnet.Listen(n.settings.address(n.settings.ID()))
	if err != nil {
		return err
	}
	n.server = server
	if n.settings.Gateway() {
		if err := server.Register(pool.ServiceName, n.pools); err != nil {
			return err
		}
	}
	if n.settings.Replica() {
		if n.replica, err = openReplica(n); err != nil {
			return fmt.Errorf("data folder %s: %w", n.settings.DataDir, err)
		}
	}
	return nil
}

// Start makes the node take part. It returns at once.
func (n *Node) Start() {
	n.events.Record(timeline.Event{Kind: timeline.KindProcess, Detail: "started"})
	klog.InfoS("node started", "node", n.settings.Name, "ip", n.settings.IP, "zone", n.settings.Zone,
		"gateway", n.settings.Gateway(), "replica", n.settings.Replica(), "firstStart", n.settings.FirstStart)
	n.loops.Go(n.server.Serve)
	if n.replica != nil {
		n.replica.start(n)
		n.loops.Go(n.leaderListLoop)
	} else {
		n.loops.Go(n.fallbackListLoop)
	}
	n.loops.Go(n.syncLoop)
	if n.settings.Gateway() {
		n.loops.Go(n.hotTeamLoop)
		n.loops.Go(n.rolloutLoop)
	}
}

// Fatal returns a channel that gets an error after which the node can't go on.
func (n *Node) Fatal() <-chan error { return n.fatal }

func (n *Node) fail(err error) {
	select {
	case n.fatal <- err:
	default:
	}
}

// Stop ends the node. A replica that leads hands over first.
func (n *Node) Stop() {
	if n.replica != nil {
		n.replica.stop()
	}
	n.cancel()
	n.mu.Lock()
	for name, m := range n.masters {
		n.pools.Remove(name)
		m.Stop()
	}
	n.mu.Unlock()
	if n.server != nil {
		n.server.Close()
	}
	n.calls.Close()
	n.loops.Wait()
}

// Drain tells the other nodes that this one takes no new callers.
func (n *Node) Drain() {
	began := time.Now()
	n.drainStart.CompareAndSwap(nil, &began)
	n.events.Record(timeline.Event{Kind: timeline.KindProcess, Detail: "draining"})
	klog.InfoS("draining", "node", n.settings.Name)
	n.triggerSync()
}

// Draining reports whether Drain was called.
func (n *Node) Draining() bool { return n.drainStart.Load() != nil }

// maxConfigWait bounds the time, and configWaitShare the part of a request's own
// time, for which a starting node keeps a request until it is configured.
const (
	maxConfigWait   = time.Second
	configWaitShare = 0.4
)

// AwaitHosts returns the routes in force. A node that has none yet waits a while
// for them, since a start is over within about a second; nil if none came.
func (n *Node) AwaitHosts(ctx context.Context, remaining time.Duration) *routing.HostTable {
	select {
	case <-n.configured:
		return n.hosts.Load()
	default:
	}
	wait := min(maxConfigWait, time.Duration(float64(remaining)*configWaitShare))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-n.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return n.hosts.Load()
}

// Configured reports whether a configuration is in force.
func (n *Node) Configured() bool { return n.hosts.Load() != nil }

// Hosts returns the routes in force; nil before the first configuration.
func (n *Node) Hosts() *routing.HostTable { return n.hosts.Load() }

// Serve carries a request to its end.
func (n *Node) Serve(ctx context.Context, r *gateway.Request, sink gateway.Sink) gateway.Result {
	if failure := n.refuseIfStopping(r, time.Now()); failure != nil {
		return gateway.Result{Failure: failure}
	}
	return n.gateway.Serve(ctx, r, sink)
}

// Members returns the live nodes as last told by a leader.
func (n *Node) Members() []control.Member { return n.follower.Spread().Members }

// Fresh implements gateway.Environment: it reports whether the configuration in
// force was certainly the newest a short while ago.
func (n *Node) Fresh() bool {
	age, known := n.follower.Age(boottime.Now())
	return known && age < n.settings.MaxConfigAge
}

// Identity implements gateway.Environment.
func (n *Node) Identity() (ident.NodeID, ident.Incarnation) {
	return n.settings.ID(), n.incarnation
}

// SetSeeds replaces the replicas to ask while no others are known.
func (n *Node) SetSeeds(seeds []ident.NodeID) {
	if len(seeds) > 0 {
		n.seeds.Store(&seeds)
		n.applySpread()
	}
}
