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

// clockDrift is the fraction by which the nodes' clocks run slow: a node relies
// on its lease for longer than it should.
const clockDrift = 0.1

// localTime returns the time that the nodes' slow clocks show.
func localTime() time.Time {
	origin := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	return origin.Add(time.Duration(float64(time.Since(origin)) / (1 + clockDrift)))
}

// process is one incarnation of a node in the lease test.
type process struct {
	*Follower
	id          ident.NodeID
	incarnation ident.Incarnation
}

// leased reports whether the node still relies on its lease.
func (n *process) leased() bool { return n.Leased(localTime()) }

// message is a heartbeat in transit, or the reply to it.
type message struct {
	from  *process
	sent  time.Time
	args  *HeartbeatArgs
	reply *HeartbeatReply
}

// leaseSim is the simulated cluster of the lease test.
type leaseSim struct {
	*cluster
	processes []*process
	// old holds earlier incarnations that may still be running.
	old           []*process
	inFlight      []*message
	ackedRevision ident.Revision
	applies       int
	violation     string
}

func newLeaseSim() *leaseSim {
	s := &leaseSim{cluster: newCluster("r1", "r2")}
	for _, id := range []ident.NodeID{"n1", "n2", "n3"} {
		s.processes = append(s.processes, newProcess(id, 1))
	}
	s.onAppend = s.checkRevocation
	for range 3 {
		s.tick(nil)
		for _, n := range s.processes {
			s.heartbeat(n)
		}
		s.apply()
	}
	return s
}

// tick calls Tick on every replica except one.
func (s *leaseSim) tick(except *replica) {
	for _, r := range s.replicas {
		if r != except {
			r.service.Tick()
		}
	}
}

func newProcess(id ident.NodeID, incarnation ident.Incarnation) *process {
	node := lease.Node{ID: id, Incarnation: incarnation}
	return &process{Follower: NewFollower(node), id: id, incarnation: incarnation}
}

func (s *leaseSim) all() []*process { return append(append([]*process(nil), s.processes...), s.old...) }

// checkRevocation records a violation if a committed command revokes a lease that
// its node still relies on.
func (s *leaseSim) checkRevocation(c *machine.Command) {
	if c.RevokeNodes == nil || c.Term != s.term {
		return
	}
	for _, revoked := range c.RevokeNodes.Nodes {
		for _, n := range s.all() {
			if n.id == revoked.ID && n.incarnation == revoked.Incarnation && n.leased() {
				s.violation = "a lease was revoked while its node still relied on it"
			}
		}
	}
}

// send creates a heartbeat in transit.
func (s *leaseSim) send(n *process) *message {
	return &message{from: n, sent: localTime(), args: n.Heartbeat(0, false)}
}

// deliver passes a heartbeat to the leader.
func (s *leaseSim) deliver(m *message) {
	if s.leader == nil {
		return
	}
	m.reply = &HeartbeatReply{}
	if err := s.leader.service.Heartbeat(m.args, m.reply); err != nil {
		panic(err)
	}
}

// receive passes the reply to the node.
func (s *leaseSim) receive(m *message) {
	if m.reply == nil {
		return
	}
	if _, err := m.from.HandleReply(m.sent, m.reply); err != nil {
		s.violation = err.Error()
	}
}

func (s *leaseSim) heartbeat(n *process) {
	m := s.send(n)
	s.deliver(m)
	s.receive(m)
}

// apply applies a new configuration and records the revision if it was
// acknowledged.
func (s *leaseSim) apply() {
	if s.leader == nil {
		return
	}
	_, base, _ := s.leader.machine.Config()
	s.applies++
	id := config.OperationID(time.Duration(s.applies).String())
	args := sampleArgs(id, base, "teams: {north: {shares: "+string(rune('1'+s.applies%8))+"}}")
	args.Wait = time.Nanosecond
	var reply ApplyConfigReply
	if err := s.leader.service.ApplyConfig(args, &reply); err != nil {
		panic(err)
	}
	if reply.InForce {
		s.ackedRevision = max(s.ackedRevision, reply.Outcome.Revision)
	}
}

// check returns the first violated invariant, or an empty string.
func (s *leaseSim) check() string {
	schedulers := map[ident.PoolName]int{}
	for _, n := range s.all() {
		if _, revision := n.Config(); n.leased() && revision < s.ackedRevision {
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
	return s.violation
}

// leaseActions returns the steps that the lease test takes in random order.
func leaseActions(s *leaseSim) map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *process { return rapid.SampledFrom(s.all()).Draw(t, "node") }
	tick := func(*rapid.T) { s.tick(nil) }
	return map[string]func(*rapid.T){
		"beat":  func(t *rapid.T) { s.heartbeat(pick(t)) },
		"beat2": func(t *rapid.T) { s.heartbeat(pick(t)) },
		"tick":  tick,
		"tick2": tick,
		"sleep": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * 50 * time.Millisecond)
		},
		"send": func(t *rapid.T) { s.inFlight = append(s.inFlight, s.send(pick(t))) },
		"deliver": func(t *rapid.T) {
			if len(s.inFlight) > 0 {
				s.deliver(rapid.SampledFrom(s.inFlight).Draw(t, "message"))
			}
		},
		"receive": func(t *rapid.T) {
			if len(s.inFlight) > 0 {
				s.receive(rapid.SampledFrom(s.inFlight).Draw(t, "message"))
			}
		},
		"elect": func(t *rapid.T) {
			s.changeLeader(t)
		},
		"restart": func(t *rapid.T) {
			i := rapid.IntRange(0, len(s.processes)-1).Draw(t, "index")
			old := s.processes[i]
			s.processes[i] = newProcess(old.id, old.incarnation+1)
			if rapid.Bool().Draw(t, "zombie") {
				s.old = append(s.old, old)
			}
		},
		"drain": func(t *rapid.T) {
			if s.leader != nil && rapid.Bool().Draw(t, "drain") {
				_ = s.leader.service.Drain(&DrainArgs{Node: pick(t).id}, &DrainReply{})
			}
		},
		"apply": func(*rapid.T) { s.apply() },
	}
}

// changeLeader ends the leader's term. Delayed commands may still commit.
func (s *leaseSim) changeLeader(t *rapid.T) {
	if rapid.Bool().Draw(t, "commit late") {
		s.flushDelayed()
	}
	s.delayed = nil
	s.elect(rapid.SampledFrom([]*replica{nil, s.replicas[0], s.replicas[1]}).Draw(t, "leader"))
}

// pauseReplica lets the other replicas and the nodes proceed for a while as one
// replica is paused.
func (s *leaseSim) pauseReplica(t *rapid.T, r *replica) {
	if rapid.Bool().Draw(t, "elect") {
		s.changeLeader(t)
	}
	for range rapid.IntRange(0, 4).Draw(t, "steps") {
		s.tick(r)
		s.heartbeat(rapid.SampledFrom(s.all()).Draw(t, "node"))
		time.Sleep(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * 50 * time.Millisecond)
	}
}

// runLeases runs the lease test once with the given expiry margin and returns the
// first violated invariant.
func runLeases(t *rapid.T, margin time.Duration) (violation string) {
	s := newLeaseSim()
	for _, r := range s.replicas {
		r.service.margin = margin
	}
	s.fault = func() fault {
		return rapid.SampledFrom([]fault{faultNone, faultNone, faultNone, faultCommandLost, faultReplyLost, faultCommitDelayed}).Draw(t, "fault")
	}
	nested := false
	sometimes := func(name string, run func()) {
		if !nested && rapid.IntRange(0, 9).Draw(t, name) == 0 {
			nested = true
			run()
			nested = false
		}
	}
	s.beforeCommit = func() {
		sometimes("during", func() { s.heartbeat(rapid.SampledFrom(s.all()).Draw(t, "node")) })
	}
	s.afterLeadershipRead = func(r *replica) {
		sometimes("pause", func() { s.pauseReplica(t, r) })
	}
	actions := leaseActions(s)
	actions[""] = func(*rapid.T) {
		if violation == "" {
			violation = s.check()
		}
	}
	t.Repeat(actions)
	return violation
}

// inBubble runs a rapid check in a synctest bubble. Rapid ends a run by a panic,
// which inBubble passes on to its caller outside the bubble.
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

// TestLeases_UnderFaults checks that no lease is revoked while its node relies on
// it, no pool has two schedulers and no leased node is behind an acknowledged
// revision, under random faults of heartbeats, proposals, leaders and processes.
func TestLeases_UnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			must.Eq(rt, "", runLeases(rt, expiryMargin))
		})
	})
}

// TestLeases_MissingMarginIsDetected checks that the test above detects the fault
// that the margin prevents: a node with a slow clock relies on its lease after it
// was revoked.
func TestLeases_MissingMarginIsDetected(t *testing.T) {
	found := false
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			found = runLeases(rt, 0) != "" || found
		})
	})
	must.True(t, found)
}
