// Package agent assembles the daemon of one node from its parts and runs it.
package agent

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/command/settings"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/nodeview"
	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/callerhttp"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
	"github.com/flamingohaven/flamingohaven/internal/transport/upstreamhttp"
)

// Overrides replaces listeners, the dialer and the data folder that the
// settings name. A nil field keeps what the settings name.
type Overrides struct {
	Caller   net.Listener
	Internal net.Listener
	// Dial connects to other nodes; nil selects rpcnet.Dial.
	Dial rpcnet.DialFunc
	// Disk stores the data of a replica; nil selects the folder in the settings.
	Disk disk.FS
}

func (o Overrides) dial() rpcnet.DialFunc {
	if o.Dial == nil {
		return rpcnet.Dial
	}
	return o.Dial
}

// Agent is the daemon of one node.
type Agent struct {
	settings    settings.Settings
	incarnation ident.Incarnation
	clock       *timeline.Clock
	events      *timeline.Recorder
	view        *nodeview.View

	rpcClient      *rpcnet.Client
	rpcServer      *rpcnet.Server
	sender         *upstreamhttp.Sender
	control        *control.Client
	gateway        *gateway.Gateway
	budget         *gateway.Budget
	callerServer   *callerhttp.Server
	callerListener net.Listener
	replica        *replica
	pools          *pool.Service
	metrics        *metrics

	// heartbeatNow makes heartbeatLoop send the next heartbeat without delay.
	heartbeatNow chan struct{}
	reachability reachability
	// evacuations are those last recorded. Only heartbeatLoop uses them.
	evacuations []evacuation.Record
	drained     chan struct{}
	drain       sync.Once
	stopOnce    sync.Once

	mu      sync.Mutex
	clients map[ident.PoolName]*poolClient
	runners map[ident.PoolName]*pool.Runner

	cancel context.CancelFunc
	ctx    context.Context
	loops  sync.WaitGroup
	fatal  chan error
}

type poolClient struct {
	*pool.Client
	cancel context.CancelFunc
}

// New binds the node's listeners and, on a replica, opens its data folder. The
// node serves nothing before Start.
func New(s *settings.Settings, o Overrides) (*Agent, error) {
	a := &Agent{
		settings:     *s,
		incarnation:  ident.Incarnation(time.Now().UnixNano()),
		clock:        &timeline.Clock{},
		rpcClient:    rpcnet.NewClientWithDialer(o.dial()),
		sender:       upstreamhttp.NewSender(),
		budget:       gateway.NewBudget(s.Limits.MaxWaitingBytes, gateway.DefaultTeamShare),
		metrics:      newMetrics(),
		heartbeatNow: make(chan struct{}, 1),
		drained:      make(chan struct{}),
		clients:      make(map[ident.PoolName]*poolClient),
		runners:      make(map[ident.PoolName]*pool.Runner),
		fatal:        make(chan error, 1),
	}
	a.pools = pool.NewService(a.clock)
	a.view = nodeview.New(a.leaseRequest())
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.events = timeline.NewRecorder(s.Node, a.clock, timeline.DefaultCapacity)
	if err := a.bind(o); err != nil {
		a.Kill()
		return nil, err
	}
	a.control = control.NewClient(a.replicaCaller(), replicaIDs(s))
	a.gateway = gateway.New(a, &ledgerClient{client: a.control}, a.sender, a.budget, a.events)
	a.callerServer = callerhttp.New(callerLimits(s), a, a.gateway, a.metrics)
	if err := a.registerServices(o); err != nil {
		a.Kill()
		return nil, err
	}
	return a, nil
}

// leaseRequest returns the node lease that the heartbeats request.
func (a *Agent) leaseRequest() lease.Node {
	return lease.Node{
		ID:              a.settings.Node,
		Incarnation:     a.incarnation,
		Zone:            a.settings.Zone,
		CallerAddress:   a.settings.CallerAdvertise,
		InternalAddress: a.settings.InternalAdvertise,
	}
}

func replicaIDs(s *settings.Settings) []ident.NodeID {
	ids := make([]ident.NodeID, 0, len(s.Replicas))
	for _, r := range s.Replicas {
		ids = append(ids, r.ID)
	}
	return ids
}

func replicaAddresses(s *settings.Settings) map[ident.NodeID]string {
	addresses := make(map[ident.NodeID]string, len(s.Replicas))
	for _, r := range s.Replicas {
		addresses[r.ID] = r.Address
	}
	return addresses
}

func callerLimits(s *settings.Settings) callerhttp.Limits {
	return callerhttp.Limits{
		MaxBodyBytes:      s.Limits.MaxBodyBytes,
		MaxHeaderBytes:    s.Limits.MaxHeaderBytes,
		MaxConnections:    s.Limits.MaxConnections,
		MaxReadingBytes:   max(s.Limits.MaxWaitingBytes, s.Limits.MaxBodyBytes),
		ReadHeaderTimeout: s.Limits.ReadHeaderTimeout,
		ReadBodyTimeout:   s.Limits.ReadBodyTimeout,
		IdleTimeout:       s.Limits.IdleTimeout,
	}
}

func (a *Agent) bind(o Overrides) error {
	var err error
	if a.callerListener = o.Caller; a.callerListener == nil {
		if a.callerListener, err = net.Listen("tcp", a.settings.CallerListen); err != nil {
			return fmt.Errorf("listen for callers on %s: %w", a.settings.CallerListen, err)
		}
	}
	if o.Internal != nil {
		a.rpcServer = rpcnet.NewServer(o.Internal)
		return nil
	}
	a.rpcServer, err = rpcnet.Listen(a.settings.InternalListen)
	return err
}

// registerServices registers the node's RPC services. On a replica it also
// opens the replica, which registers services of its own.
func (a *Agent) registerServices(o Overrides) error {
	if err := a.rpcServer.Register(pool.ServiceName, a.pools); err != nil {
		return err
	}
	if err := a.rpcServer.Register(nodeServiceName, &nodeService{agent: a}); err != nil {
		return err
	}
	if !a.settings.IsReplica() {
		return nil
	}
	var err error
	a.replica, err = openReplica(a, o)
	return err
}

// Start starts the node's goroutines and returns at once.
func (a *Agent) Start() {
	a.events.Record(timeline.Event{Kind: timeline.KindProcess, Detail: "started"})
	klog.InfoS("node started", "node", a.settings.Node, "zone", a.settings.Zone,
		"callers", a.callerListener.Addr(), "internal", a.rpcServer.Address(), "replica", a.settings.IsReplica())
	if a.replica != nil {
		a.replica.start(a)
	}
	a.loops.Go(a.rpcServer.Serve)
	a.loops.Go(a.serveCallers)
	a.loops.Go(a.heartbeatLoop)
	a.loops.Go(a.watchLoop)
	a.loops.Go(a.leaseLoop)
	if a.settings.PlatformURL != "" {
		a.loops.Go(a.platformLoop)
	}
}

func (a *Agent) serveCallers() {
	if err := a.callerServer.Serve(a.callerListener); err != nil && a.ctx.Err() == nil {
		a.fail(fmt.Errorf("serve callers on %s: %w", a.callerListener.Addr(), err))
	}
}

func (a *Agent) fail(err error) {
	select {
	case a.fatal <- err:
	default:
	}
}

// Fatal returns a channel that receives an error when the node cannot continue.
func (a *Agent) Fatal() <-chan error { return a.fatal }

// Run starts the node and serves until ctx ends, then drains and stops it. It
// also returns once a drain started elsewhere is complete. On a fatal error it
// kills the node and returns that error.
func (a *Agent) Run(ctx context.Context) error {
	a.Start()
	select {
	case <-ctx.Done():
		a.Drain()
		<-a.drained
		return nil
	case <-a.drained:
		return nil
	case err := <-a.fatal:
		a.Kill()
		return err
	}
}

// Kill stops the node at once: it closes callers' connections without waiting
// for their requests, and a leading replica does not transfer its leadership.
func (a *Agent) Kill() {
	a.stop(false)
}

// stop stops all parts of the node; only the first call has an effect. With
// transferLeadership set, a leading replica first transfers its leadership.
func (a *Agent) stop(transferLeadership bool) {
	a.stopOnce.Do(func() {
		if transferLeadership && a.replica != nil {
			a.replica.stop(true)
		}
		a.cancel()
		a.closeSockets()
		a.stopPools()
		a.loops.Wait()
		if !transferLeadership && a.replica != nil {
			a.replica.stop(false)
		}
	})
}

func (a *Agent) closeSockets() {
	if a.callerServer != nil {
		_ = a.callerServer.Close()
	}
	if a.callerListener != nil {
		_ = a.callerListener.Close()
	}
	if a.rpcServer != nil {
		a.rpcServer.Close()
	}
	a.rpcClient.Close()
	a.sender.Close()
}

// Node returns the node's name.
func (a *Agent) Node() ident.NodeID { return a.settings.Node }
