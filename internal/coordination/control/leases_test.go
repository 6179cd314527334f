package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// slowClock is the part by which the nodes' clocks run slow: a node relies on
// its lease for longer than it should.
const slowClock = 0.1

// localTime is the time that the nodes' slow clocks show.
func localTime() time.Time {
	origin := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	return origin.Add(time.Duration(float64(time.Since(origin)) / (1 + slowClock)))
}

// life is one process of a node in the lease test.
type life struct {
	*Follower
	id          ident.NodeID
	incarnation ident.Incarnation
}

// leased tells whether the node acts on its lease.
func (n *life) leased() bool { return n.Leased(localTime()) }

// message is a heartbeat on its way, or its answer.
type message struct {
	from  *life
	sent  time.Time
	args  *HeartbeatArgs
	reply *HeartbeatReply
}

// leaseWorld is the state of the lease test.
type leaseWorld struct {
	*cluster
	lives []*life
	// zombies are former lives that may still run.
	zombies  []*life
	messages []*message
	acked    ident.Revision
	applies  int
	broken   string
}

func newLeaseWorld() *leaseWorld {
	w := &leaseWorld{cluster: newCluster("r1", "r2")}
	for _, id := range []ident.NodeID{"n1", "n2", "n3"} {
		w.lives = append(w.lives, newLife(id, 1))
	}
	w.applied = w.observe
	for range 3 {
		w.tick(nil)
		for _, n := range w.lives {
			w.beat(n)
		}
		w.apply()
	}
	return w
}

// tick drives every replica but one.
func (w *leaseWorld) tick(except *replica) {
	for _, r := range w.replicas {
		if r != except {
			r.service.Tick()
		}
	}
}

func newLife(id ident.NodeID, incarnation ident.Incarnation) *life {
	node := lease.Node{ID: id, Incarnation: incarnation}
	return &life{Follower: NewFollower(node), id: id, incarnation: incarnation}
}

func (w *leaseWorld) all() []*life { return append(append([]*life(nil), w.lives...), w.zombies...) }

// observe notes a revocation of a lease that its node still acts on.
func (w *leaseWorld) observe(c *machine.Command) {
	if c.RevokeNodes == nil || c.Term != w.term {
		return
	}
	for _, revoked := range c.RevokeNodes.Nodes {
		for _, n := range w.all() {
			if n.id == revoked.ID && n.incarnation == revoked.Incarnation && n.leased() {
				w.broken = "a live lease was revoked"
			}
		}
	}
}

// send puts a heartbeat on its way.
func (w *leaseWorld) send(n *life) *message {
	return &message{from: n, sent: localTime(), args: n.Heartbeat(0, false)}
}

// deliver hands a heartbeat to the leader.
func (w *leaseWorld) deliver(m *message) {
	if w.leader == nil {
		return
	}
	m.reply = &HeartbeatReply{}
	if err := w.leader.service.Heartbeat(m.args, m.reply); err != nil {
		panic(err)
	}
}

// receive hands the answer to the node.
func (w *leaseWorld) receive(m *message) {
	if m.reply == nil {
		return
	}
	if _, err := m.from.Take(m.sent, m.reply); err != nil {
		w.broken = err.Error()
	}
}

func (w *leaseWorld) beat(n *life) {
	m := w.send(n)
	w.deliver(m)
	w.receive(m)
}

// apply applies a new configuration and notes when it is acknowledged.
func (w *leaseWorld) apply() {
	if w.leader == nil {
		return
	}
	_, base, _ := w.leader.machine.Config()
	w.applies++
	id := config.OperationID(time.Duration(w.applies).String())
	args := sampleArgs(id, base, "teams: {north: {shares: "+string(rune('1'+w.applies%8))+"}}")
	args.Wait = time.Nanosecond
	var reply ApplyConfigReply
	if err := w.leader.service.ApplyConfig(args, &reply); err != nil {
		panic(err)
	}
	if reply.InForce {
		w.acked = max(w.acked, reply.Outcome.Revision)
	}
}

// check returns the invariant that is broken, if any.
func (w *leaseWorld) check() string {
	schedulers := map[ident.PoolName]int{}
	for _, n := range w.all() {
		if _, revision := n.Config(); n.leased() && revision < w.acked {
			return "a leased node is behind an acknowledged revision"
		}
		for _, pool := range []ident.PoolName{"chat", "entries"} {
			if _, held := n.Holds(pool, localTime()); held {
				schedulers[pool]++
			}
		}
	}
	for _, n := range schedulers {
		if n > 1 {
			return "a pool has two schedulers"
		}
	}
	return w.broken
}

// leaseActions are the steps that the lease test takes in any order.
func leaseActions(w *leaseWorld) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *life { return rapid.SampledFrom(w.all()).Draw(t, "node") }
	tick := func(*rapid.T) { w.tick(nil) }
	return map[string]func(*rapid.T){
		"beat":  func(t *rapid.T) { w.beat(pick(t)) },
		"beat2": func(t *rapid.T) { w.beat(pick(t)) },
		"tick":  tick,
		"tick2": tick,
		"sleep": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * 50 * time.Millisecond)
		},
		"send": func(t *rapid.T) { w.messages = append(w.messages, w.send(pick(t))) },
		"deliver": func(t *rapid.T) {
			if len(w.messages) > 0 {
				w.deliver(rapid.SampledFrom(w.messages).Draw(t, "message"))
			}
		},
		"receive": func(t *rapid.T) {
			if len(w.messages) > 0 {
				w.receive(rapid.SampledFrom(w.messages).Draw(t, "message"))
			}
		},
		"elect": func(t *rapid.T) {
			w.change(t)
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(w.lives)-1).Draw(t, "index")
			old := w.lives[i]
			w.lives[i] = newLife(old.id, old.incarnation+1)
			if rapid.Bool().Draw(t, "zombie") {
				w.zombies = append(w.zombies, old)
			}
		},
		"drain": func(t *rapid.T) {
			if w.leader != nil && rapid.Bool().Draw(t, "drain") {
				_ = w.leader.service.Drain(&DrainArgs{Node: pick(t).id}, &DrainReply{})
			}
		},
		"apply": func(*rapid.T) { w.apply() },
	}
}

// change ends the leader's term; commands on their way may still commit.
func (w *leaseWorld) change(t *rapid.T) {
	if rapid.Bool().Draw(t, "commit late") {
		w.flushLate()
	}
	w.late = nil
	w.elect(rapid.SampledFrom([]*replica{nil, w.replicas[0], w.replicas[1]}).Draw(t, "leader"))
}

// pause lets the world go on for a while as one replica stands still.
func (w *leaseWorld) pause(t *rapid.T, r *replica) {
	if rapid.Bool().Draw(t, "elect") {
		w.change(t)
	}
	for range rapid.IntRange(0, 4).Draw(t, "steps") {
		w.tick(r)
		w.beat(rapid.SampledFrom(w.all()).Draw(t, "node"))
		time.Sleep(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * 50 * time.Millisecond)
	}
}

// runLeases drives the lease test once and returns the first broken invariant.
func runLeases(t *rapid.T, margin time.Duration) (broken string) {
	w := newLeaseWorld()
	for _, r := range w.replicas {
		r.service.margin = margin
	}
	w.fault = func() fault {
		return rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultLost, faultReply, faultLate}).Draw(t, "fault")
	}
	nested := false
	sometimes := func(name string, run func()) {
		if !nested && rapid.IntRange(0, 9).Draw(t, name) == 0 {
			nested = true
			run()
			nested = false
		}
	}
	w.during = func() {
		sometimes("during", func() { w.beat(rapid.SampledFrom(w.all()).Draw(t, "node")) })
	}
	w.paused = func(r *replica) {
		sometimes("pause", func() { w.pause(t, r) })
	}
	actions := leaseActions(w)
	actions[""] = func(*rapid.T) {
		if broken == "" {
			broken = w.check()
		}
	}
	t.Repeat(actions)
	return broken
}

// inBubble runs a step of rapid in virtual time. Its panics, by which rapid
// ends a run, cross the bubble's border.
func inBubble(t *testing.T, run func()) {
	var ended any
	synctest.Test(t, func(*testing.T) {
		defer func() { ended = recover() }()
		run()
	})
	if ended != nil {
		panic(ended)
	}
}

// TestLeases_UnderFaults shows that no live lease is revoked, no pool has two
// schedulers and no leased node is behind an acknowledged revision, whatever
// becomes of heartbeats, proposals, leaders and processes.
func TestLeases_UnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			must.Eq(rt, "", runLeases(rt, expiryMargin))
		})
	})
}

// TestLeases_WithoutMarginIsFound shows that the test above sees the fault that
// the margin prevents: a node whose clock runs slow outlives its lease.
func TestLeases_WithoutMarginIsFound(t *testing.T) {
	found := false
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			found = runLeases(rt, 0) != "" || found
		})
	})
	must.True(t, found)
}
