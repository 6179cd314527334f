package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

const (
	// busyShare is the share of a core that a replica has.
	busyShare = 0.24
	// busySlice is the longest time for which one goroutine keeps the processor from others.
	busySlice = 10 * time.Millisecond
	// busyLatency is the time of a message from one node to another.
	busyLatency = time.Millisecond
	// messageWork and perMegabyte are the processor time of a message at either end, without
	// and by the size of its content (BenchmarkHeartbeat_RPC: 80 us for a call and its reply at
	// both ends); applyPerMegabyte is that of a command at a replica.
	messageWork      = 25 * time.Microsecond
	perMegabyte      = 4 * time.Millisecond
	applyPerMegabyte = 7 * time.Millisecond
	// busyRoutes is the size of a change, and changeBytes that of its command.
	busyRoutes  = 1500
	changeBytes = 650_000
	// operatorPatience is how long an operator waits for a node's answer, and nodePatience how
	// long a node tries to give one.
	operatorPatience = time.Second
	nodePatience     = 950 * time.Millisecond
	busyCallTimeout  = 600 * time.Millisecond
)

// processor is a share of a core that goroutines use in turn, for a slice each.
type processor chan struct{}

func (p processor) use(work time.Duration) {
	for work > 0 {
		slice := min(work, busySlice)
		p <- struct{}{}
		time.Sleep(time.Duration(float64(slice) / busyShare))
		<-p
		work -= slice
	}
}

func (p processor) message(bytes int) {
	p.use(messageWork + time.Duration(float64(perMegabyte)*float64(bytes)/1e6))
}

// busyReplica is a replica whose messages, commands and reading take processor time.
type busyReplica struct {
	id        ident.NodeID
	processor processor
	machine   *machine.Machine
	node      *consensus.Node[machine.Result]
	service   *Service
	documents DocumentReader
	client    *Client
	cluster   *busyCluster
}

// busyCluster is a cluster in which each replica has a processor of its own.
type busyCluster struct {
	replicas []*busyReplica
	byID     map[ident.NodeID]*busyReplica
	busyLoad
}

// busyLoad is what a cluster has to do beside the changes.
type busyLoad struct {
	// nodes is the number of nodes in touch with the leader.
	nodes int
	// readWork is the processor time to read a change.
	readWork time.Duration
	// readAtOnce reads each copy of a change as it comes.
	readAtOnce bool
}

// Apply implements consensus.StateMachine.
func (r *busyReplica) Apply(index uint64, command []byte) machine.Result {
	r.processor.use(time.Duration(float64(applyPerMegabyte) * float64(len(command)) / 1e6))
	return r.machine.Apply(index, command)
}

// Snapshot implements consensus.StateMachine.
func (r *busyReplica) Snapshot() ([]byte, error) { return r.machine.Snapshot() }

// Restore implements consensus.StateMachine.
func (r *busyReplica) Restore(snapshot []byte) error { return r.machine.Restore(snapshot) }

// send carries a message of a size to a replica and its reply back, at the cost of both
// processors.
func (r *busyReplica) send(ctx context.Context, to ident.NodeID, bytes int, handle func(*busyReplica) error) error {
	done := make(chan error, 1)
	go func() {
		r.processor.message(bytes)
		time.Sleep(busyLatency)
		target := r.cluster.byID[to]
		target.processor.message(bytes)
		err := handle(target)
		target.processor.message(0)
		time.Sleep(busyLatency)
		r.processor.message(0)
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// busyPeers implements consensus.Peers.
type busyPeers struct{ *busyReplica }

func peerCall[Q, R any](ctx context.Context, p busyPeers, to ident.NodeID, bytes int, req *Q, call func(*consensus.Service) func(*Q, *R) error) (*R, error) {
	reply := new(R)
	err := p.send(ctx, to, bytes, func(target *busyReplica) error { return call(target.node.Service())(req, reply) })
	if err != nil {
		return nil, err
	}
	return reply, nil
}

func (p busyPeers) Vote(ctx context.Context, to ident.NodeID, req *consensus.VoteRequest) (*consensus.VoteReply, error) {
	return peerCall(ctx, p, to, 0, req, func(s *consensus.Service) func(*consensus.VoteRequest, *consensus.VoteReply) error { return s.Vote })
}

func (p busyPeers) Append(ctx context.Context, to ident.NodeID, req *consensus.AppendRequest) (*consensus.AppendReply, error) {
	bytes := 0
	for _, entry := range req.Entries {
		bytes += len(entry.Data)
	}
	return peerCall(ctx, p, to, bytes, req, func(s *consensus.Service) func(*consensus.AppendRequest, *consensus.AppendReply) error {
		return s.Append
	})
}

func (p busyPeers) Snapshot(ctx context.Context, to ident.NodeID, req *consensus.SnapshotRequest) (*consensus.SnapshotReply, error) {
	return peerCall(ctx, p, to, len(req.Data), req, func(s *consensus.Service) func(*consensus.SnapshotRequest, *consensus.SnapshotReply) error {
		return s.Snapshot
	})
}

func (p busyPeers) Elect(ctx context.Context, to ident.NodeID, req *consensus.ElectRequest) (*consensus.ElectReply, error) {
	return peerCall(ctx, p, to, 0, req, func(s *consensus.Service) func(*consensus.ElectRequest, *consensus.ElectReply) error { return s.Elect })
}

func (p busyPeers) Probe(ctx context.Context, to ident.NodeID, req *consensus.ProbeRequest) (*consensus.ProbeReply, error) {
	return peerCall(ctx, p, to, 0, req, func(s *consensus.Service) func(*consensus.ProbeRequest, *consensus.ProbeReply) error { return s.Probe })
}

func (p busyPeers) Join(ctx context.Context, to ident.NodeID, req *consensus.JoinRequest) (*consensus.JoinReply, error) {
	return peerCall(ctx, p, to, 0, req, func(s *consensus.Service) func(*consensus.JoinRequest, *consensus.JoinReply) error { return s.Join })
}

func (p busyPeers) Leave(ctx context.Context, to ident.NodeID, req *consensus.LeaveRequest) (*consensus.LeaveReply, error) {
	return peerCall(ctx, p, to, 0, req, func(s *consensus.Service) func(*consensus.LeaveRequest, *consensus.LeaveReply) error { return s.Leave })
}

func (p busyPeers) Recover(ctx context.Context, to ident.NodeID, req *consensus.RecoverRequest) (*consensus.RecoverReply, error) {
	return peerCall(ctx, p, to, 0, req, func(s *consensus.Service) func(*consensus.RecoverRequest, *consensus.RecoverReply) error {
		return s.Recover
	})
}

// Call implements Caller.
func (r *busyReplica) Call(ctx context.Context, to ident.NodeID, _ string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, busyCallTimeout)
	defer cancel()
	a := args.(*ApplyNumberedArgs)
	bytes := 0
	if len(a.Numbered.Document) > 0 {
		bytes = changeBytes
	}
	answer := new(ApplyNumberedReply)
	if err := r.send(ctx, to, bytes, func(target *busyReplica) error { return target.service.ApplyNumbered(a, answer) }); err != nil {
		return err
	}
	*reply.(*ApplyNumberedReply) = *answer
	return nil
}

func newBusyCluster(t *testing.T, ctx context.Context, load busyLoad) *busyCluster {
	c := &busyCluster{byID: make(map[ident.NodeID]*busyReplica), busyLoad: load}
	ids := []ident.NodeID{"r1", "r2", "r3", "r4", "r5"}
	for i, id := range ids {
		r := &busyReplica{id: id, processor: make(processor, 1), machine: machine.New(ledger.DefaultLimits()), cluster: c}
		node, err := consensus.New(consensus.Options{
			ID: id, InitialReplicas: ids, MinVoters: len(ids), FS: disk.NewFake(int64(i)), Peers: busyPeers{r},
			Timing: consensus.Timing{Heartbeat: 50 * time.Millisecond, ElectionMin: 250 * time.Millisecond, ElectionMax: 400 * time.Millisecond},
		}, r)
		must.NoError(t, err)
		r.node, r.service = node, NewService(id, node, r.machine)
		r.service.EnableFleet(func() FleetState { return FleetState{} })
		r.client = NewClient(r, ids)
		r.client.SetMaxBackoff(100 * time.Millisecond)
		c.replicas, c.byID[id] = append(c.replicas, r), r
	}
	for _, r := range c.replicas {
		r.node.Start()
		go r.service.Run(ctx)
	}
	return c
}

// leader returns the replica that leads; nil if there is none.
func (c *busyCluster) leader() *busyReplica {
	for _, r := range c.replicas {
		if r.node.Leadership().Leading {
			return r
		}
	}
	return nil
}

// sync keeps a gateway in touch with the leader: the leader pays for each call, and for what
// each reply carries. The gateway takes replies as applied, without decoding them.
func (c *busyCluster) sync(ctx context.Context, i int) {
	args := SyncArgs{Member: Member{ID: ident.NodeID(fmt.Sprint("g", i)), Incarnation: 1}, Hold: MaxSyncHold}
	for sleep(ctx, 2*busyLatency) {
		r := c.leader()
		if r == nil {
			continue
		}
		r.processor.message(0)
		var reply SyncReply
		if err := r.service.Sync(&args, &reply); err != nil {
			return
		}
		r.processor.message(len(reply.Config.Packed) + len(reply.Spread.Packed))
		if reply.OK() {
			_, args.HaveRevision, _ = r.machine.Config()
			args.HaveSpread = r.service.fleet.current()
		}
	}
}

// current returns the version of the fleet state.
func (f *fleet) current() FleetVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// busyDocument is the text of a change.
func busyDocument(number uint64) []byte { return fmt.Appendf(nil, "change %d", number) }

// put submits a change at a replica, as its operators' handler does.
func (r *busyReplica) put(number uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), nodePatience)
	defer cancel()
	text := busyDocument(number)
	c := config.Numbered{Number: number}
	if committed, _ := r.machine.Document(); !slices.Equal(committed, text) {
		reader := &r.documents
		if r.cluster.readAtOnce {
			reader = &DocumentReader{}
		}
		var err error
		c, err = reader.Read(ctx, text, func(text []byte) (config.Numbered, error) {
			r.processor.use(r.cluster.readWork)
			changed := manyRoutes(busyRoutes)
			changed.Tiers["changed"] = config.Tier{Rank: int(number)}
			return config.Numbered{Number: number, Config: changed, Document: text}, nil
		})
		if err != nil {
			return err
		}
	}
	_, err := Call[ApplyNumberedReply](ctx, r.client, "ApplyNumbered", &ApplyNumberedArgs{Numbered: c, Patience: busyCallTimeout})
	return err
}

// operate submits a change to one replica after the other until one acknowledges it, and
// returns how long that took.
func (c *busyCluster) operate(number uint64, first int) (time.Duration, bool) {
	began := time.Now()
	for attempt := range 10 {
		target := c.replicas[(first+attempt)%len(c.replicas)]
		answered := make(chan error, 1)
		go func() { answered <- target.put(number) }()
		select {
		case err := <-answered:
			if err == nil {
				return time.Since(began), true
			}
		case <-time.After(operatorPatience):
		}
	}
	return time.Since(began), false
}

// leaderLosses counts how often a cluster is seen without a leader or with another one.
func (c *busyCluster) watchLeader(ctx context.Context, losses *atomic.Int64) {
	last := c.leader()
	for sleep(ctx, 2*time.Millisecond) {
		if now := c.leader(); now != last {
			if last != nil {
				losses.Add(1)
			}
			last = now
		}
	}
}

// busyDay plays changes on a cluster with many nodes: one, then a storm with a change each
// 400 ms, then copies of one at several replicas at once. It returns the longest time to an
// acknowledgement, the changes without one, and how often the leader was lost.
func busyDay(t *testing.T, load busyLoad) (slowest time.Duration, missed int, losses int64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := newBusyCluster(t, ctx, load)
		for c.leader() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		var nodes sync.WaitGroup
		for i := range load.nodes {
			nodes.Go(func() { c.sync(ctx, i) })
			time.Sleep(7 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		var lost atomic.Int64
		nodes.Go(func() { c.watchLeader(ctx, &lost) })
		var mu sync.Mutex
		var changes sync.WaitGroup
		submit := func(number uint64, first int) {
			changes.Go(func() {
				took, acknowledged := c.operate(number, first)
				mu.Lock()
				defer mu.Unlock()
				slowest = max(slowest, took)
				if !acknowledged {
					missed++
				}
			})
		}
		submit(1, 0)
		changes.Wait()
		for i := range 10 {
			submit(uint64(2+i), i)
			time.Sleep(400 * time.Millisecond)
		}
		changes.Wait()
		for i := range c.replicas {
			submit(20, i)
		}
		changes.Wait()
		losses = lost.Load()
		cancel()
		nodes.Wait()
		for _, r := range c.replicas {
			must.NoError(t, r.node.Stop(ctx))
		}
		// What the processors have left to do ends with the test.
		time.Sleep(5 * time.Minute)
	})
	return slowest, missed, losses
}

const (
	// readBySize and readByProduct are the processor times to read 1,500 routes and 40 teams,
	// where it grows with their size and where it grows with the product of routes and teams.
	readBySize    = 20 * time.Millisecond
	readByProduct = 563 * time.Millisecond
)

// TestBusyReplicas_LargeChangesAreAcknowledged guards against a leader that is lost, and a change without
// an acknowledgement, since replicas with a quarter of a core spend it on reading changes.
func TestBusyReplicas_LargeChangesAreAcknowledged(t *testing.T) {
	slowest, missed, losses := busyDay(t, busyLoad{nodes: 300, readWork: readBySize})
	t.Logf("slowest acknowledgement after %v, %d missed, leader lost %d times", slowest, missed, losses)
	must.Zero(t, missed)
	must.LessEq(t, time.Second, slowest)
	must.Zero(t, losses)
}

// TestBusyReplicas_ModelShowsTheFault checks that changes are missed and the leader is lost where each copy
// is read at once, by the product of routes and teams.
func TestBusyReplicas_ModelShowsTheFault(t *testing.T) {
	slowest, missed, losses := busyDay(t, busyLoad{nodes: 50, readWork: readByProduct, readAtOnce: true})
	t.Logf("slowest acknowledgement after %v, %d missed, leader lost %d times", slowest, missed, losses)
	must.Positive(t, missed)
	must.Positive(t, losses)
}

// TestBusyReplicas_SlowReadingLeavesTheLeader checks that a leader stays where reading a change takes
// longer than an operator waits.
func TestBusyReplicas_SlowReadingLeavesTheLeader(t *testing.T) {
	slowest, missed, losses := busyDay(t, busyLoad{nodes: 50, readWork: readByProduct})
	t.Logf("slowest acknowledgement after %v, %d missed, leader lost %d times", slowest, missed, losses)
	must.Zero(t, losses)
}
