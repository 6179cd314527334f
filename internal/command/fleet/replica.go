package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/peernet"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

// leaderTransferTimeout bounds the transfer of the leadership when a node stops.
const leaderTransferTimeout = time.Second

// consensusTiming has a new leader elected within a second of a start or of the
// loss of a leader, since no API key can be verified until then. A leader may stall
// for 200 ms without an election.
var consensusTiming = consensus.Timing{
	Heartbeat: 50 * time.Millisecond, ElectionMin: 250 * time.Millisecond, ElectionMax: 400 * time.Millisecond,
}

// replica is the part of a node that keeps the replicated state.
type replica struct {
	calls   *rpcnet.Client
	machine *machine.Machine
	node    *consensus.Node[machine.Result]
	service *control.Service
	// elected is signaled when this replica becomes the leader.
	elected chan struct{}
}

func openReplica(n *Node) (*replica, error) {
	s := &n.settings
	initial := slices.Clone(s.Seeds)
	seeded := slices.Contains(initial, s.ID())
	if !seeded {
		initial = append(initial, s.ID())
	}
	calls := rpcnet.NewClientWithDialer(rpcnet.DialWithTimeout(dialTimeout))
	m := machine.New(ledger.DefaultLimits())
	node, err := consensus.NewAwaitingSpace(consensus.Options{
		ID:              s.ID(),
		InitialReplicas: initial,
		JoinOnly:        !s.FirstStart || !seeded,
		ReplaceDead:     true,
		MinVoters:       s.minVoters(),
		Timing:          consensusTiming,
		FS:              disk.NewOS(s.DataDir),
		Peers:           &peernet.Peers{Calls: calls, Address: func(id ident.NodeID) (string, bool) { return s.address(id), true }},
	}, m)
	if err != nil {
		calls.Close()
		return nil, err
	}
	r := &replica{calls: calls, machine: m, node: node, service: control.NewService(s.ID(), node, m), elected: make(chan struct{}, 1)}
	r.service.EnableFleet(n.follower.State)
	r.service.ObserveSyncs(func(m control.Member) { n.heard.record(m, boottime.Now()) })
	r.service.SetClock(n.clock)
	r.service.SetDocumentReader(n.deps.ReadDocument)
	if err := n.server.Register(control.ServiceName, r.service); err != nil {
		return nil, err
	}
	return r, n.server.Register(peernet.ServiceName, node.Service())
}

func (r *replica) start(n *Node) {
	r.node.Start()
	n.loops.Go(func() { r.service.Run(n.ctx) })
	n.loops.Go(func() { r.watch(n) })
}

// watch records changes of the leadership and of the members, and failed
// campaigns, until the replica fails or the node stops.
func (r *replica) watch(n *Node) {
	var last consensus.Leadership
	var members, campaign string
	for {
		members = r.recordMembers(n, members)
		campaign = r.recordFailedCampaign(n, campaign)
		select {
		case <-n.ctx.Done():
			return
		case err := <-r.node.Fatal():
			n.fail(r.handleFatal(n, err))
			return
		case <-r.node.Changes():
		}
		current := r.node.Leadership()
		if current == last {
			continue
		}
		last = current
		r.service.Tick()
		if current.Leading {
			select {
			case r.elected <- struct{}{}:
			default:
			}
		}
		detail := fmt.Sprintf("term %d, leader %q, leading here: %t", current.Term, current.Leader, current.Leading)
		n.events.Record(timeline.Event{Kind: timeline.KindLeadership, Detail: detail})
		klog.InfoS("leadership changed", "node", n.settings.Name, "term", current.Term, "leader", current.Leader, "leading", current.Leading)
	}
}

// recordMembers records the members if they differ from last, and returns the
// current ones in text form.
func (r *replica) recordMembers(n *Node, last string) string {
	now := r.node.Members().String()
	if now == last {
		return last
	}
	n.events.Record(timeline.Event{Kind: timeline.KindReplicaChange, Detail: now})
	klog.InfoS("replicas changed", "node", n.settings.Name, "members", now)
	return now
}

// recordFailedCampaign records a failed campaign unless it ended as the last one
// did, and returns its description. A replica that keeps failing for the same
// reason thus writes one line.
func (r *replica) recordFailedCampaign(n *Node, last string) string {
	now := r.node.Status().FailedCampaign
	if now != "" && now != last {
		n.events.Record(timeline.Event{Kind: timeline.KindCampaign, Detail: now})
		klog.InfoS("campaign failed", "node", n.settings.Name, "result", now)
	}
	return now
}

// handleFatal wraps the error that ended the replica. If another replica has
// replaced this one in the cluster, it also empties the data directory, so that the
// next start joins as a new replica.
func (r *replica) handleFatal(n *Node, err error) error {
	if errors.Is(err, consensus.ErrRemoved) {
		klog.InfoS("replica was replaced, emptying its data directory", "node", n.settings.Name)
		if wipeErr := emptyDir(n.settings.DataDir); wipeErr != nil {
			return fmt.Errorf("replica was replaced, but emptying its data directory failed: %w", wipeErr)
		}
	}
	return fmt.Errorf("replica: %w", err)
}

// emptyDir removes everything in a directory.
func emptyDir(dir string) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(dir, entry.Name())); err != nil {
			return err
		}
	}
	return nil
}

// voters returns the number of voters in effect at this replica.
func (r *replica) voters() int { return len(r.node.Members().Voters()) }

// leading reports whether this replica is the leader.
func (r *replica) leading() bool { return r.node.Leadership().Leading }

// stop shuts the replica down. A leader transfers the leadership first.
func (r *replica) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), leaderTransferTimeout)
	defer cancel()
	if err := r.node.Stop(ctx); err != nil {
		klog.ErrorS(err, "replica did not shut down cleanly")
	}
	r.calls.Close()
}
