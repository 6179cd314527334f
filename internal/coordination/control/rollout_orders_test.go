package control

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// clusterCaller calls the services of a cluster directly. A replica in frozen doesn't answer.
type clusterCaller struct {
	cluster *cluster
	frozen  map[ident.NodeID]bool
}

// Call implements Caller.
func (c *clusterCaller) Call(_ context.Context, node ident.NodeID, method string, args, reply any) error {
	if c.frozen[node] {
		return errors.New("no response")
	}
	for _, r := range c.cluster.replicas {
		if r.id != node {
			continue
		}
		switch method {
		case "Control.StartRollout":
			return r.service.StartRollout(args.(*StartRolloutArgs), reply.(*RolloutReply))
		case "Control.Evacuate":
			return r.service.Evacuate(args.(*EvacuateArgs), reply.(*EvacuateReply))
		case "Control.EndRollout":
			return r.service.EndRollout(args.(*EndRolloutArgs), reply.(*RolloutReply))
		}
	}
	return fmt.Errorf("unexpected call %s to %s", method, node)
}

// sentOrder is an order that was sent and has not arrived.
type sentOrder struct {
	rollout.Order
	// step is that at which it was sent, and sentAfter what its receiver knows of that.
	step      int
	sentAfter time.Duration
	receiver  *replica
}

// orderModel plays operators' orders for rollouts against a cluster.
type orderModel struct {
	t      *rapid.T
	c      *cluster
	caller *clusterCaller
	client *Client
	// shadow applies the log, from which started holds the step of the latest start of each
	// pool, and starts counts them.
	shadow  *machine.Machine
	applied int
	started map[ident.PoolName]int
	starts  uint64
	step    int
	// sent holds the steps at which each order was sent, and held those on their way.
	sent map[rollout.Order][]int
	held []sentOrder
}

func newOrderModel(t *rapid.T) *orderModel {
	c := newCluster("r1", "r2", "r3")
	for _, r := range c.replicas {
		r.service.EnableFleet(func() FleetState { return FleetState{} })
	}
	c.replicas[0].service.Tick()
	join(c.replicas[0], map[ident.NodeID]uint32{"r1": machine.FeatureLevel, "r2": machine.FeatureLevel, "r3": machine.FeatureLevel})
	c.replicas[0].service.Tick()
	must.Eq(t, machine.FeatureLevel, c.replicas[0].machine.Features())
	caller := &clusterCaller{cluster: c, frozen: make(map[ident.NodeID]bool)}
	client := NewClient(caller, []ident.NodeID{"r1", "r2", "r3"})
	client.SetMaxBackoff(time.Millisecond)
	return &orderModel{
		t: t, c: c, caller: caller, client: client, shadow: machine.New(ledger.DefaultLimits()),
		started: make(map[ident.PoolName]int), sent: make(map[rollout.Order][]int),
	}
}

// order returns one of few orders, so that equal ones are common.
func (m *orderModel) order() rollout.Order {
	return rollout.Order{
		Pool:     ident.PoolName(rapid.SampledFrom([]string{"p", "q"}).Draw(m.t, "pool")),
		Target:   ident.VersionName(rapid.SampledFrom([]string{"v2", "v3"}).Draw(m.t, "target")),
		Duration: time.Duration(rapid.IntRange(1, 2).Draw(m.t, "duration")) * time.Minute,
	}
}

func (m *orderModel) receiver() *replica {
	return m.c.replicas[rapid.IntRange(0, len(m.c.replicas)-1).Draw(m.t, "receiver")]
}

// send sends an order and returns it as it is on its way.
func (m *orderModel) send() sentOrder {
	o := sentOrder{Order: m.order(), step: m.step, sentAfter: boottime.Now(), receiver: m.receiver()}
	m.sent[o.Order] = append(m.sent[o.Order], m.step)
	return o
}

// deliver has an order arrive at its receiver.
func (m *orderModel) deliver(o sentOrder) error {
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	service := o.receiver.service
	latest, err := StartRollout(ctx, m.client, OperatorOrder{Order: o.Order, SentAfter: o.sentAfter, Basis: service.RolloutBasis(o.Pool, o.sentAfter)})
	if latest.Number > 0 {
		service.LearnRollout(latest)
	}
	return err
}

// check applies what was committed since, and fails if a rollout has started for which no order
// was sent after the start of the one before.
func (m *orderModel) check() {
	for ; m.applied < len(m.c.log); m.applied++ {
		command, err := machine.DecodeCommand(m.c.log[m.applied])
		must.NoError(m.t, err)
		result := m.shadow.Apply(uint64(m.applied+1), m.c.log[m.applied])
		if command.StartRollout == nil || result.Refusal != "" || result.Rollout.Number <= m.starts {
			continue
		}
		m.starts = result.Rollout.Number
		o := *command.StartRollout
		former := m.started[o.Pool]
		justified := false
		for _, step := range m.sent[o] {
			justified = justified || step > former || former == 0
		}
		must.True(m.t, justified, must.Sprintf("%+v started in step %d by a copy sent before step %d", o, m.step, former))
		m.started[o.Pool] = m.step
	}
}

// deliberate sends an order that arrives at once, and fails if it isn't carried out.
func (m *orderModel) deliberate() {
	delayed := len(m.c.delayed) > 0
	o := m.send()
	err := m.deliver(o)
	if delayed || m.c.leader == nil {
		return
	}
	must.NoError(m.t, err, must.Sprintf("step %d: %+v", m.step, o.Order))
	m.c.leader.catchUp()
	current, _ := m.c.leader.machine.Rollout(o.Pool)
	must.Eq(m.t, o.Order, current.Order)
	must.Eq(m.t, rollout.StateRunning, current.State)
}

// end ends the running rollout of a pool.
func (m *orderModel) end() {
	m.c.leader.catchUp()
	current, known := m.c.leader.machine.Rollout(m.order().Pool)
	if !known || current.State.Final() {
		return
	}
	state := rapid.SampledFrom([]rollout.State{rollout.StateCompleted, rollout.StateRolledBack}).Draw(m.t, "state")
	var reply RolloutReply
	must.NoError(m.t, m.c.leader.service.EndRollout(&EndRolloutArgs{End: rollout.End{Pool: current.Pool, Number: current.Number, State: state}}, &reply))
}

// elect makes a replica the leader.
func (m *orderModel) elect() {
	next := m.receiver()
	m.c.elect(next)
	next.catchUp()
	next.service.Tick()
}

// restart replaces a follower's memory by a snapshot of its state, as a restart does.
func (m *orderModel) restart() {
	r := m.receiver()
	if r == m.c.leader {
		return
	}
	snapshot, err := r.machine.Snapshot()
	must.NoError(m.t, err)
	must.NoError(m.t, r.machine.Restore(snapshot))
	r.service.rolloutTimes.pools = nil
	r.service.noteRollouts()
}

// withFault plays a step in which the first proposal fails in some way.
func (m *orderModel) withFault(step func()) {
	kind := rapid.SampledFrom([]fault{faultCommandLost, faultReplyLost, faultCommitDelayed}).Draw(m.t, "fault")
	m.c.fault = func() fault {
		defer func() { kind = faultNone }()
		return kind
	}
	step()
	m.c.fault = func() fault { return faultNone }
}

// TestRolloutOrders_LateCopies guards against an order that was held up and replaces a rollout
// which was accepted after it was sent, and against refusing an order that was sent since, also
// if it equals an earlier one. Orders are held by their receivers, which may lag, restart or lead,
// and in proposals; the later rollout runs, has ended, or has the same target.
func TestRolloutOrders_LateCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOrderModel(t)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			m.step++
			switch rapid.IntRange(0, 18).Draw(t, "kind") / 2 {
			case 0:
				m.held = append(m.held, m.send())
			case 1, 2:
				if len(m.held) > 0 {
					at := rapid.IntRange(0, len(m.held)-1).Draw(t, "at")
					_ = m.deliver(m.held[at])
				}
			case 3, 4, 5:
				m.deliberate()
			case 6:
				r := m.receiver()
				r.catchUp()
				r.service.noteRollouts()
			case 7:
				m.end()
			case 8:
				if rapid.Bool().Draw(t, "elect") {
					m.elect()
				} else {
					m.restart()
				}
			case 9:
				m.withFault(func() {
					o := m.send()
					_ = m.deliver(o)
				})
			}
			m.check()
		}
	})
}

// TestRolloutOrders_OlderBuilds guards against late copies during an upgrade: replicas of an older
// build look at no basis, and what they pass on has none.
func TestRolloutOrders_OlderBuilds(t *testing.T) {
	c := fleetCluster(map[ident.NodeID]uint32{"r1": machine.FeatureLevel, "r2": machine.BasisLevel - 1})
	leader := c.replicas[0]
	start := func(target string, basis rollout.Basis) RolloutReply {
		t.Helper()
		var reply RolloutReply
		must.NoError(t, leader.service.StartRollout(&StartRolloutArgs{Order: rollout.Order{Pool: "p", Target: ident.VersionName(target), Duration: time.Minute}, Basis: basis}, &reply))
		must.True(t, reply.OK())
		return reply
	}
	none := rollout.Basis{}
	must.Eq(t, "", start("v2", none).Refusal)
	must.Eq(t, "", start("v2", none).Refusal)
	must.Eq(t, string(machine.RefusedOutdated), start("v3", none).Refusal)
	first, _ := leader.machine.Rollout("p")
	must.Eq(t, 1, first.Number)
	must.Eq(t, "", start("v3", first.Basis()).Refusal)
	// The copy that had the first basis is late; so is one that an older build passes on.
	must.Eq(t, string(machine.RefusedOutdated), start("v2", first.Basis()).Refusal)
	must.Eq(t, string(machine.RefusedOutdated), start("v2", none).Refusal)
	second, _ := leader.machine.Rollout("p")
	must.Eq(t, "v3", second.Target)
}

// TestClient_ContextEndedBeforeFirstAttempt guards against a call whose caller is gone before it
// is sent at all.
func TestClient_ContextEndedBeforeFirstAttempt(t *testing.T) {
	s := &scriptedCaller{answer: func(ident.NodeID, *ClaimReply) error { return nil }}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Call[ClaimReply](ctx, NewClient(s, []ident.NodeID{"r1"}), "Claim", &ClaimArgs{})
	must.ErrorIs(t, err, ErrUnavailable)
	must.SliceEmpty(t, s.called)
}
