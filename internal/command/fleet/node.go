package fleet

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/coordination/routing"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/arrival"
	"github.com/flamingohaven/flamingohaven/internal/transport/connguard"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
	"github.com/flamingohaven/flamingohaven/internal/transport/tunnel"
)

// Dependencies are the external services that a node uses.
type Dependencies struct {
	// Upstreams sends requests to upstreams; only gateways need it.
	Upstreams gateway.Upstreams
	// ListPage reads the page with the given token from the platform's list of
	// upstreams; an empty token means the first page.
	ListPage func(ctx context.Context, token string) (ListPage, error)
	// ReadDocument reads the text of a numbered configuration; only replicas need it.
	ReadDocument config.Reader
}

const (
	// bodyMemoryShare is the share of the process's memory that the bodies of requests
	// may take, those that are still arriving included.
	bodyMemoryShare = 0.6
	// teamBodyShare is the share of it that one team may use.
	teamBodyShare = 0.75
	// softMemoryShare is the share of the process's memory at which the garbage
	// collector runs more often. The rest is left for stacks and buffers of the kernel.
	softMemoryShare = 0.8
)

// LimitMemory makes the garbage collector keep the process below a share of the memory that it
// may use, in bytes, as long as less is in use. Without it, the process may grow to twice of
// what is in use.
func LimitMemory(bytes int64) {
	debug.SetMemoryLimit(int64(float64(bytes) * softMemoryShare))
}

// Node is the daemon of one node: a gateway, a replica or both.
type Node struct {
	settings    Settings
	deps        Dependencies
	incarnation ident.Incarnation
	clock       *timeline.Clock
	events      *timeline.Recorder
	logLines    *timeline.LineWriter
	metrics     *metrics

	calls   *rpcnet.Client
	server  *rpcnet.Server
	control *control.Client
	// documents reads the configurations that operators submit.
	documents control.DocumentReader
	replicas  *replicaCaller
	follower  *control.FleetFollower
	// trust is how old the follower's members are, and heard the nodes that this one has heard
	// of itself.
	trust memberTrust
	heard heardMembers
	// outdated is true while the directory names only the latter.
	outdated atomic.Bool
	// proof says since when the routes and keys in force may be outdated.
	proof       *proof
	denialLines *rate.Limiter
	replica     *replica
	pools       *pool.Service
	gateway     *gateway.Gateway
	// relay accepts requests of other gateways; nil if this node relays none.
	relay *tunnel.Server
	// guard accounts for the connections of all listeners of the process.
	guard  *connguard.Guard
	budget *gateway.Budget
	quotas *scheduler.Quotas
	usage  *scheduler.UsageLog

	hosts      atomic.Pointer[routing.HostTable]
	upstreams  atomic.Pointer[upstreamTable]
	coldStarts coldStarts
	// replicasMu is held while the replicas to contact are set.
	replicasMu sync.Mutex
	// evacuated holds the evacuations last recorded. Only the sync loop uses it.
	evacuated []evacuation.Record
	// skippedEntries are those of the last complete pass over the platform's list.
	skippedEntries atomic.Pointer[SkippedEntries]
	// pauses records when this process stood still.
	pauses arrival.Pauses
	// drainStart is the time of the first call to Drain; nil before it.
	drainStart atomic.Pointer[time.Time]
	seeds      atomic.Pointer[[]ident.NodeID]
	// resync interrupts the current sync, so that the next one reports a change at
	// once.
	resync chan struct{}
	// configured is closed once the node has a configuration and knows upstreams.
	configured     chan struct{}
	configuredOnce sync.Once

	mu       sync.Mutex
	clients  map[ident.PoolName]*poolClient
	masters  map[ident.PoolName]*pool.Master
	suspects map[string]time.Time
	// shards is the number of shards of the gateways, each of which has a scheduler, and
	// scheduler that of this gateway's shard.
	shards    int
	scheduler schedulerChoice
	watches   map[ident.PoolName]*rolloutWatch
	// poison holds the records of refused prompt parts that this node knows.
	poison poison.Set
	// ends holds the ends of upstreams under requests as the leader of endsTerm last
	// reported them.
	ends     []poison.End
	endsTerm uint64

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	fatal  chan error
}

// New binds the node's internal address and, on a replica, opens the data
// directory. Start must be called to run the node.
func New(s Settings, deps Dependencies) (*Node, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	n := &Node{
		settings:    s,
		deps:        deps,
		incarnation: ident.Incarnation(time.Now().UnixNano()),
		clock:       &timeline.Clock{},
		calls:       rpcnet.NewClientWithDialer(rpcnet.DialWithTimeout(dialTimeout)),
		follower:    &control.FleetFollower{},
		proof:       newProof(),
		denialLines: rate.NewLimiter(denialLinesPerSecond, denialLinesPerSecond),
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
	n.pauses.Tick(boottime.Now())
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.upstreams.Store(&upstreamTable{})
	n.seeds.Store(&n.settings.Seeds)
	n.events = timeline.NewRecorder(ident.NodeID(s.Name), n.clock, timelineCapacity)
	n.logLines = timeline.NewLineWriter(os.Stdout)
	n.events.SetLineWriter(n.logLines)
	n.loops.Go(func() { n.logLines.Run(n.ctx.Done()) })
	n.replicas = &replicaCaller{node: n}
	n.control = control.NewClient(n.replicas, n.initialReplicas())
	n.control.SetMaxBackoff(maxRetryDelay)
	n.pools = pool.NewService(n.clock)
	n.budget = gateway.NewBudget(int64(float64(s.MemoryBytes)*bodyMemoryShare), teamBodyShare)
	n.metrics = newMetrics(n)
	n.guard = newGuard(&n.settings, n.metrics)
	n.gateway = gateway.New(n, nil, deps.Upstreams, n.budget, n.events)
	n.gateway.SetEvacuations(n)
	if err := n.listen(); err != nil {
		n.Stop()
		return nil, err
	}
	return n, nil
}

// maxRetryDelay bounds the delay between two attempts to reach a leader. It is
// short because requests with an API key can't be served after a start or a loss of
// the leader until one is reached.
const maxRetryDelay = 100 * time.Millisecond

// timelineCapacity is the number of recent events that a node keeps.
const timelineCapacity = 512

// initialReplicas returns the replicas to contact until others are known: the seeds
// and, on a replica, the node itself.
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
	n.server.Guard(n.guard)
	if err := n.listenRelay(); err != nil {
		return err
	}
	if n.settings.Gateway() {
		if err := server.Register(pool.ServiceName, n.pools); err != nil {
			return err
		}
	}
	if n.settings.Replica() {
		if n.replica, err = openReplica(n); err != nil {
			return fmt.Errorf("data directory %s: %w", n.settings.DataDir, err)
		}
	}
	return nil
}

// Start starts the node's RPC server and its background loops. It returns at once.
func (n *Node) Start() {
	n.events.Record(timeline.Event{Kind: timeline.KindProcess, Detail: "started"})
	klog.InfoS("node started", "node", n.settings.Name, "ip", n.settings.IP, "zone", n.settings.Zone,
		"gateway", n.settings.Gateway(), "replica", n.settings.Replica(), "firstStart", n.settings.FirstStart)
	n.loops.Go(n.server.Serve)
	if n.relay != nil {
		n.loops.Go(n.relay.Serve)
	}
	if n.replica != nil {
		n.replica.start(n)
		n.loops.Go(n.leaderListLoop)
	} else {
		n.loops.Go(n.fallbackListLoop)
	}
	n.loops.Go(n.syncLoop)
	n.loops.Go(n.pauseLoop)
	if n.settings.Gateway() {
		n.loops.Go(n.hotTeamLoop)
		n.loops.Go(n.rolloutLoop)
	}
}

// Fatal returns a channel that receives an error after which the node can't
// continue.
func (n *Node) Fatal() <-chan error { return n.fatal }

func (n *Node) fail(err error) {
	select {
	case n.fatal <- err:
	default:
	}
}

// Stop shuts the node down and waits for its loops. A replica that leads transfers
// the leadership first.
func (n *Node) Stop() {
	if n.replica != nil {
		n.replica.stop()
	}
	// Before cancel, after which no line is written.
	n.closeRelay()
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

// Drain marks this node as draining and announces to the other nodes that it takes
// no new callers.
func (n *Node) Drain() {
	began := time.Now()
	if n.drainStart.CompareAndSwap(nil, &began) && n.settings.Gateway() {
		n.loops.Go(func() { n.endRequests(began) })
	}
	n.events.Record(timeline.Event{Kind: timeline.KindProcess, Detail: "draining"})
	klog.InfoS("draining", "node", n.settings.Name)
	n.triggerSync()
}

// Draining reports whether Drain was called.
func (n *Node) Draining() bool { return n.drainStart.Load() != nil }

// maxConfigWait bounds the time for which a starting node holds a request until it
// is configured. configWaitShare bounds it as a share of the request's remaining
// time.
const (
	maxConfigWait   = time.Second
	configWaitShare = 0.4
)

// configWait returns how long a request with the given remaining time may be held for the
// configuration.
func configWait(remaining time.Duration) time.Duration {
	return min(maxConfigWait, time.Duration(float64(remaining)*configWaitShare))
}

// AwaitHosts returns the current routes. A node that is not configured yet waits
// for them first, since a start takes about a second; the wait is bounded by
// maxConfigWait and configWaitShare. It returns nil if there are still no routes.
func (n *Node) AwaitHosts(ctx context.Context, remaining time.Duration) *routing.HostTable {
	select {
	case <-n.configured:
		return n.hosts.Load()
	default:
	}
	timer := time.NewTimer(configWait(remaining))
	defer timer.Stop()
	select {
	case <-n.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return n.hosts.Load()
}

// Configured reports whether the node has a configuration.
func (n *Node) Configured() bool { return n.hosts.Load() != nil }

// Hosts returns the current routes; nil before the first configuration.
func (n *Node) Hosts() *routing.HostTable { return n.hosts.Load() }

// Admit reserves memory for a request before its body is read.
func (n *Node) Admit(ctx context.Context, r *gateway.Request, bodyBytes int64) (*gateway.Reservation, *gateway.Failure) {
	return n.gateway.Admit(ctx, r, bodyBytes)
}

// Serve processes a request and writes its answer to sink.
func (n *Node) Serve(ctx context.Context, r *gateway.Request, sink gateway.Sink) gateway.Result {
	return n.gateway.Serve(ctx, r, sink)
}

// Members returns the live nodes as last reported by a leader.
func (n *Node) Members() []control.Member { return n.follower.State().Members }

// Fresh implements gateway.Environment. It reports whether the configuration was
// confirmed as the newest less than MaxConfigAge ago.
func (n *Node) Fresh() bool {
	age, known, _ := n.proof.age(boottime.Now())
	return known && age < n.settings.MaxConfigAge
}

// Identity implements gateway.Environment.
func (n *Node) Identity() (ident.NodeID, ident.Incarnation) {
	return n.settings.ID(), n.incarnation
}

// SetSeeds replaces the replicas to contact while no others are known. An empty
// list is ignored.
func (n *Node) SetSeeds(seeds []ident.NodeID) {
	if len(seeds) > 0 {
		n.seeds.Store(&seeds)
		n.applyReplicas()
	}
}
