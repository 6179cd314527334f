package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/shoenig/test/must"
	"golang.org/x/time/rate"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

// syncFleet is a leader, a replica that is paused, one that follows, and nodes that sync, in
// virtual time. Connections are pipes.
type syncFleet struct {
	t      *testing.T
	leader *control.Service
	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	number uint64

	servers   []*rpcnet.Server
	listeners map[string]*pipeListener

	mu    sync.Mutex
	conns []*pipe
	// unreachable makes new connections fail.
	unreachable bool
}

// Addresses of the replicas.
const (
	leaderIP, pausedIP, followerIP = "10.0.0.1", "10.0.0.2", "10.0.0.3"
)

// pipe is the node's end of a connection. A silent one takes all bytes and delivers none.
type pipe struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

func (p *pipe) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// Write implements net.Conn.
func (p *pipe) Write(b []byte) (int, error) {
	if p.isSilent() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

// Read implements net.Conn.
func (p *pipe) Read(b []byte) (int, error) {
	for {
		n, err := p.Conn.Read(b)
		if err != nil || !p.isSilent() {
			return n, err
		}
	}
}

// pipeListener hands out the servers' ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// followerProposer is the proposer of a replica that follows the leader.
type followerProposer struct {
	*control.LocalProposer
}

// Leadership implements consensus.Proposer.
func (followerProposer) Leadership() consensus.Leadership {
	return consensus.Leadership{Term: 1, Leader: leaderIP}
}

func newSyncFleet(t *testing.T) *syncFleet {
	f := &syncFleet{t: t, listeners: make(map[string]*pipeListener)}
	f.ctx, f.cancel = context.WithCancel(t.Context())
	m := machine.New(ledger.DefaultLimits())
	f.leader = control.NewService(leaderIP, control.NewLocalProposer(leaderIP, m), m)
	other := machine.New(ledger.DefaultLimits())
	follower := control.NewService(followerIP, followerProposer{control.NewLocalProposer(followerIP, other)}, other)
	for _, s := range []*control.Service{f.leader, follower} {
		s.EnableFleet(func() control.FleetState { return control.FleetState{} })
		f.loops.Go(func() { s.Run(f.ctx) })
	}
	time.Sleep(time.Second)
	f.serve(leaderIP, f.leader)
	f.serve(followerIP, follower)
	f.leader.SetUpstreams(nil, true)
	f.apply(1)
	return f
}

func (f *syncFleet) serve(ip string, s *control.Service) {
	listener := &pipeListener{conns: make(chan net.Conn, 1000), closed: make(chan struct{})}
	server := rpcnet.NewServer(listener)
	must.NoError(f.t, server.Register(control.ServiceName, s))
	f.loops.Go(server.Serve)
	f.servers, f.listeners[ip+":7600"] = append(f.servers, server), listener
}

// dial connects to a replica. The paused one's kernel accepts and nothing reads.
func (f *syncFleet) dial(_ context.Context, address string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return nil, errors.New("unreachable")
	}
	near, far := net.Pipe()
	p := &pipe{Conn: near}
	f.conns = append(f.conns, p)
	if listener := f.listeners[address]; listener != nil {
		listener.conns <- far
	} else {
		p.silent = true
	}
	return p, nil
}

// silence makes all open connections silent; new ones work.
func (f *syncFleet) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.conns {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

// apply commits a configuration with the given number of routes under the next number.
func (f *syncFleet) apply(routes int) {
	f.number++
	c := config.Config{
		Pools:  map[ident.PoolName]config.Pool{"p": {Kind: config.KindEngine}},
		Routes: make(map[ident.RouteName]config.Route),
	}
	for i := range routes {
		c.Routes[ident.RouteName(fmt.Sprint("r", i))] = config.Route{Host: "a.example", Prefix: fmt.Sprintf("/%d/", i), Pool: "p"}
	}
	var reply control.ApplyNumberedReply
	must.NoError(f.t, f.leader.ApplyNumbered(&control.ApplyNumberedArgs{
		Numbered: config.Numbered{Number: f.number, Config: c, Document: []byte("{}")},
	}, &reply))
	must.True(f.t, reply.OK())
}

// node starts the syncs of a node.
func (f *syncFleet) node(i int) *Node {
	n := f.newNode(i)
	f.loops.Go(n.syncLoop)
	return n
}

// newNode returns a node that doesn't sync yet.
func (f *syncFleet) newNode(i int) *Node {
	ip := fmt.Sprintf("10.0.%d.%d", 1+i/200, 1+i%200)
	clock := &timeline.Clock{}
	n := &Node{
		settings: Settings{Name: ip, IP: ip, InternalPort: 7600}, incarnation: 1, clock: clock,
		calls: rpcnet.NewClientWithDialer(f.dial), follower: &control.FleetFollower{},
		quotas: scheduler.NewQuotas(), resync: make(chan struct{}, 1), configured: make(chan struct{}),
		events: timeline.NewRecorder(ident.NodeID(ip), clock, 16), proof: newProof(), denialLines: rate.NewLimiter(1, 1),
	}
	n.ctx, n.cancel = context.WithCancel(f.ctx)
	n.upstreams.Store(&upstreamTable{})
	n.settings.Seeds = []ident.NodeID{leaderIP, pausedIP, followerIP}
	n.seeds.Store(&n.settings.Seeds)
	n.replicas = &replicaCaller{node: n}
	n.control = control.NewClient(n.replicas, n.initialReplicas())
	n.control.SetMaxBackoff(maxRetryDelay)
	n.metrics = newMetrics(n)
	n.settings.MaxDenialAge = configApply - 300*time.Millisecond
	return n
}

// lag returns how long after now the node has the leader's version, at most limit.
func (f *syncFleet) lag(n *Node, limit time.Duration) time.Duration {
	_, have := n.follower.Config()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if _, revision := n.follower.Config(); revision > have || time.Since(began) >= limit {
			return time.Since(began)
		}
	}
}

func (f *syncFleet) stop(nodes ...*Node) {
	f.cancel()
	for _, n := range nodes {
		n.calls.Close()
	}
	for _, p := range f.conns {
		_ = p.Conn.Close()
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.loops.Wait()
}

// configApply is the time within which an acknowledged version has to be in force on a small
// deployment.
const configApply = 2 * time.Second

// TestSync_SilentConnectionBesidePausedReplica covers a connection to the leader that goes silent as
// a version is acknowledged, while the next replica that the node asks is paused.
func TestSync_SilentConnectionBesidePausedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		var nodes []*Node
		for i := range 9 {
			nodes = append(nodes, f.node(i))
		}
		defer f.stop(nodes...)
		time.Sleep(3 * time.Second)
		for range 5 {
			f.silence()
			f.apply(2)
			must.Less(t, configApply, f.lag(nodes[0], 10*time.Second))
			time.Sleep(3100 * time.Millisecond)
		}
	})
}

// TestSync_InterruptedOnSilentConnection covers a node with reports for the leader, which interrupts
// its sync again and again: the connection was never given up.
func TestSync_InterruptedOnSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		n := f.node(0)
		defer f.stop(n)
		time.Sleep(3 * time.Second)
		f.loops.Go(func() {
			for f.ctx.Err() == nil {
				sleep(f.ctx, hotTeamInterval)
				n.triggerSync()
			}
		})
		time.Sleep(time.Second)
		f.silence()
		f.apply(2)
		must.Less(t, configApply, f.lag(n, 10*time.Second))
	})
}

// TestSync_InterruptionsLeaveProof covers a node that has reports all the time: its proof must not
// age while its syncs are interrupted, and it must stay with its leader.
func TestSync_InterruptionsLeaveProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		var nodes []*Node
		for i := range 100 {
			nodes = append(nodes, f.node(i))
		}
		defer f.stop(nodes...)
		time.Sleep(3 * time.Second)
		_, before := nodes[0].follower.Config()
		for range 12 {
			time.Sleep(hotTeamInterval)
			nodes[0].triggerSync()
			must.Eq(t, ident.NodeID(leaderIP), nodes[0].control.Leader())
			must.LessEq(t, time.Second, nodes[0].replicas.syncs.waiting(time.Now()))
		}
		must.Eq(t, 0, nodes[0].calls.Reconnects())
		_, after := nodes[0].follower.Config()
		must.Eq(t, before, after)
	})
}

// cut makes all connections silent and new ones fail, or new ones work again.
func (f *syncFleet) cut(unreachable bool) {
	f.silence()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable = unreachable
}

// TestDenial_NotByOlderVersion covers a gateway that is cut off as a version is acknowledged: it
// denied requests that only the new version allows for as long as the cut lasted, and until its next sync.
func TestDenial_NotByOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		n := f.node(0)
		defer f.stop(n)
		time.Sleep(3 * time.Second)
		_, before := n.follower.Config()
		must.True(t, n.ConfirmDenial(f.ctx, "a", time.Second))
		f.cut(true)
		f.apply(2)
		applied := time.Now()
		f.loops.Go(func() {
			sleep(f.ctx, 4*time.Second)
			f.cut(false)
		})
		denied, held := 0, 0
		for time.Since(applied) < 8*time.Second {
			sent := time.Now()
			confirmed := n.ConfirmDenial(f.ctx, "a", time.Second)
			must.LessEq(t, configWait(time.Second), time.Since(sent))
			_, revision := n.follower.Config()
			switch {
			case confirmed && revision == before:
				denied++
				must.Less(t, configApply, sent.Sub(applied))
			case !confirmed:
				held++
			}
			time.Sleep(20 * time.Millisecond)
		}
		_, after := n.follower.Config()
		must.Eq(t, before+1, after)
		must.Positive(t, denied)
		must.Positive(t, held)
		must.True(t, n.ConfirmDenial(f.ctx, "a", time.Second))
	})
}

// TestDenial_WaitersUnbounded covers a gateway that hears no leader while many requests come that
// it would deny: each of them was held, however many there were.
func TestDenial_WaitersUnbounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		n := f.node(0)
		defer f.stop(n)
		time.Sleep(3 * time.Second)
		f.cut(true)
		time.Sleep(2 * configApply)
		const beyond = 50
		ask := func(count int) (atOnce, held, confirmed int) {
			var mu sync.Mutex
			var asked sync.WaitGroup
			for range count {
				asked.Go(func() {
					sent := time.Now()
					young := n.ConfirmDenial(f.ctx, "a", time.Second)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case young:
						confirmed++
					case time.Since(sent) == 0:
						atOnce++
					case time.Since(sent) == configWait(time.Second):
						held++
					}
				})
			}
			asked.Wait()
			return atOnce, held, confirmed
		}
		for range 2 {
			atOnce, held, confirmed := ask(maxWaitingDenials + beyond)
			must.Eq(t, beyond, atOnce)
			must.Eq(t, maxWaitingDenials, held)
			must.Zero(t, confirmed)
		}
		registry := prometheus.NewRegistry()
		registry.MustRegister(n.metrics.denialsNotAwaited)
		w := httptest.NewRecorder()
		promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		must.StrContains(t, w.Body.String(), "\nflamingohaven_fleet_denials_not_awaited_total 100\n")

		f.cut(false)
		time.Sleep(3 * time.Second)
		_, _, confirmed := ask(maxWaitingDenials + beyond)
		must.Eq(t, maxWaitingDenials+beyond, confirmed, must.Sprint("a fresh proof needs no wait"))
	})
}

// TestNode_SeedsLeaveUpstreamsAlone guards against a new list of seeds that sets the upstreams from a
// state which the sync loop may have replaced meanwhile.
func TestNode_SeedsLeaveUpstreamsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		n := f.node(0)
		defer f.stop(n)
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			if n.follower.State().Listed {
				break
			}
		}
		must.True(t, n.follower.State().Listed || len(n.follower.State().Upstreams) > 0)
		newer := &upstreamTable{}
		n.upstreams.Store(newer)
		n.SetSeeds([]ident.NodeID{"10.9.9.9", leaderIP})
		must.True(t, newer == n.upstreams.Load())
	})
}

// TestNode_PartlyReadListKeepsUpstreams guards against upstreams that a node forgets since a new
// leader, which began without any, has read only a part of the list; and against ones that
// it keeps once the leader has read the whole list.
func TestNode_PartlyReadListKeepsUpstreams(t *testing.T) {
	discovered := func(name ident.UpstreamName, leaving bool) control.Discovered {
		return control.Discovered{Name: name, Upstream: config.Upstream{Pool: "p", Address: string(name) + ":1"}, Leaving: leaving}
	}
	n := &Node{}
	n.upstreams.Store(newUpstreamTable([]control.Discovered{discovered("a", false), discovered("b", false), discovered("c", false)}))
	state := control.FleetState{Upstreams: []control.Discovered{discovered("b", true), discovered("d", false)}}
	read := func() map[ident.UpstreamName]bool {
		found := make(map[ident.UpstreamName]bool)
		for _, d := range n.currentUpstreams(&state) {
			_, twice := found[d.Name]
			must.False(t, twice)
			found[d.Name] = d.Leaving
		}
		return found
	}
	must.Eq(t, map[ident.UpstreamName]bool{"a": false, "b": true, "c": false, "d": false}, read())
	state.Listed = true
	must.Eq(t, map[ident.UpstreamName]bool{"b": true, "d": false}, read())
}
