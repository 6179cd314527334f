package consensus

import (
	"errors"
	"fmt"
	"math/rand"
	randv2 "math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/snap"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// Sizes of the histories that run on cores without I/O.
const (
	phasesPerHistory = 40
	maxPhaseSteps    = 60
	// coreHistoriesPerRun is the number of core histories played for each
	// history of whole replicas.
	coreHistoriesPerRun = 40
	// Histories with membership changes are longer and fewer. They have spare
	// nodes that are no members at first.
	phasesPerMembershipHistory = 150
	membershipHistoriesPerRun  = 3
	membershipHistoryNodes     = 6
)

// packet is a message in transit.
type packet struct {
	from, to int
	deliver  func()
}

// simNode is a core with its durable state (hard, entries) and its outputs that
// are not durable yet. The four pending slices are parallel.
type simNode struct {
	core             *core
	hard             wal.HardState
	entries          []wal.Entry
	pending          []output
	pendingCallbacks [][]func()
	pendingLast      []uint64
	pendingHard      []termVote
	boots            int
	simRecovery
}

// coreSim simulates a cluster of cores without I/O. Message delivery, syncs,
// crashes and timeouts happen in random order.
type coreSim struct {
	rng     *rand.Rand
	now     time.Time
	faults  faults
	nodes   []*simNode
	packets []packet
	// replicas are the current incarnations of the nodes; members are the first
	// voters.
	replicas []Replica
	// incarnations holds the latest incarnation of each node.
	incarnations []ident.Incarnation
	members      Membership
	committed    map[uint64]uint64
	// leaders holds the leader of each term.
	leaders map[uint64]Replica
	// changing lets the memberships change. announced repeats the changes that
	// were announced, by the leader's position.
	changing  bool
	announced map[int]memberChange
	// losing lets voters lose their disks, one at a time, and recover their votes. lost is
	// the node whose disk was lost last, unless it is repaired; else -1.
	losing bool
	lost   int
	lostAt uint64
	// recoveries counts the votes recovered.
	recoveries int
	// partition has a bit for each node. Messages between nodes whose bits
	// differ are dropped.
	partition uint64
	err       error
}

// memberChange is a membership change that concerns one replica.
type memberChange struct {
	replica Replica
	kind    int
}

func newCoreSim(seed int64, count int, injected faults) *coreSim {
	s := &coreSim{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), faults: injected,
		committed: map[uint64]uint64{}, leaders: map[uint64]Replica{},
	}
	for i := range count {
		replica := Replica{ID: ident.NodeID(rune('a' + i)), Incarnation: 1}
		s.members.Members = append(s.members.Members, Member{Replica: replica, Role: RoleVoter})
	}
	for i := range count {
		s.addNode(s.members.Members[i].Replica)
	}
	return s
}

// addNode starts a node.
func (s *coreSim) addNode(r Replica) {
	s.replicas = append(s.replicas, r)
	s.incarnations = append(s.incarnations, r.Incarnation)
	s.nodes = append(s.nodes, &simNode{})
	s.boot(len(s.nodes) - 1)
}

// boot starts a core from its durable state.
func (s *coreSim) boot(i int) {
	n := s.nodes[i]
	c, err := newCore(s.now, coreConfig{
		self: s.replicas[i], timing: Timing{}.withDefaults(), faults: s.faults, replaceDead: s.changing,
		rng: randv2.New(randv2.NewPCG(s.rng.Uint64(), 1)), hard: n.hard, snapshot: snap.Meta{},
		members: s.members, entries: append([]wal.Entry(nil), n.entries...), recoveredTip: n.durableTip,
	})
	if err != nil {
		s.err = err
		return
	}
	c.appendBytes = 1
	n.core = c
	n.pending, n.pendingCallbacks, n.pendingLast, n.pendingHard = nil, nil, nil, nil
	n.boots++
	n.startedAt, n.round = s.now, recoveryRound{}
}

// flush collects a core's output and checks that no index is committed in two
// terms, no term has two leaders and each leader holds every committed entry.
func (s *coreSim) flush(i int, repliesAfterSync ...func()) {
	n := s.nodes[i]
	n.core.replicate(s.now)
	out := n.core.take()
	if n.core.role == leader {
		s.checkLeader(n.core)
	}
	if n.core.invariantErr != nil {
		s.err = n.core.invariantErr
	}
	for _, entry := range out.committed {
		if term, seen := s.committed[entry.Index]; seen && term != entry.Term {
			s.err = fmt.Errorf("index %d committed in terms %d and %d", entry.Index, term, entry.Term)
		}
		s.committed[entry.Index] = entry.Term
	}
	callbacks := repliesAfterSync
	for _, msg := range out.sends {
		if msg.afterSync {
			callbacks = append(callbacks, func() { s.send(i, msg) })
			continue
		}
		s.send(i, msg)
	}
	if out.job == 0 && len(callbacks) == 0 {
		return
	}
	n.pending = append(n.pending, out)
	n.pendingCallbacks = append(n.pendingCallbacks, callbacks)
	n.pendingLast = append(n.pendingLast, n.core.log.last())
	n.pendingHard = append(n.pendingHard, n.core.emittedHard)
}

// checkLeader checks a leader when its term is seen for the first time.
func (s *coreSim) checkLeader(c *core) {
	known, seen := s.leaders[c.term]
	if seen && known != c.self {
		s.err = fmt.Errorf("%v and %v both lead term %d", known, c.self, c.term)
	}
	if seen {
		return
	}
	s.leaders[c.term] = c.self
	for index, term := range s.committed {
		if own, ok := c.log.term(index); !ok || own != term {
			s.err = fmt.Errorf("%v leads term %d without entry %d of term %d, which is committed", c.self, c.term, index, term)
		}
	}
}

func (s *coreSim) index(r Replica) int { return int(r.ID[0] - 'a') }

// send queues a request for delivery. The reply is queued in the same way, and
// dropped if the sender restarted in the meantime.
func (s *coreSim) send(i int, msg outbound) {
	to := s.index(msg.to)
	boots := s.nodes[i].boots
	replyWith := func(fn func()) func() {
		return func() {
			s.packets = append(s.packets, packet{from: to, to: i, deliver: func() {
				if s.nodes[i].boots == boots {
					fn()
					s.flush(i)
				}
			}})
		}
	}
	from := s.replicas[i]
	s.packets = append(s.packets, packet{from: i, to: to, deliver: func() {
		c := s.nodes[to].core
		if msg.to != s.replicas[to] {
			return
		}
		switch {
		case msg.vote != nil:
			reply := c.handleVote(s.now, from, msg.vote)
			s.reply(to, c.replyNeedsSync(0), replyWith(func() {
				s.nodes[i].core.handleVoteReply(s.now, msg.to, msg.vote, &reply)
			}))
		case msg.append != nil:
			reply := c.handleAppend(s.now, from, msg.append)
			s.reply(to, c.replyNeedsSync(reply.Match), replyWith(func() {
				s.nodes[i].core.handleAppendReply(s.now, msg.to, msg.sent, msg.append, &reply)
			}))
		}
	}})
}

// reply runs fn, which queues the reply: at once, or when the output so far is
// durable if needsSync is set.
func (s *coreSim) reply(i int, needsSync bool, fn func()) {
	if needsSync {
		s.flush(i, fn)
		return
	}
	fn()
	s.flush(i)
}

// sync makes the oldest pending output of a node durable.
func (s *coreSim) sync(i int) {
	n := s.nodes[i]
	if len(n.pending) == 0 {
		return
	}
	out, callbacks, last, hard := n.pending[0], n.pendingCallbacks[0], n.pendingLast[0], n.pendingHard[0]
	n.pending, n.pendingCallbacks, n.pendingLast, n.pendingHard = n.pending[1:], n.pendingCallbacks[1:], n.pendingLast[1:], n.pendingHard[1:]
	if out.batch.Hard != nil {
		n.hard = *out.batch.Hard
	}
	for _, entry := range out.batch.Entries {
		n.entries = append(n.entries[:entry.Index-1:entry.Index-1], entry)
	}
	for _, fn := range callbacks {
		fn()
	}
	if out.job != 0 {
		n.core.persisted(s.now, out.job, last, hard)
		s.flush(i)
	}
}

// runPhase changes the partition, may drop all messages, restart a node and
// propose commands, fires one timeout, then performs a random number of
// deliveries and syncs.
func (s *coreSim) runPhase() {
	s.partition = 1 << s.rng.Intn(len(s.nodes)+1) >> 1
	if s.changing && s.rng.Intn(2) == 0 {
		s.partition = s.rng.Uint64()
	}
	if s.rng.Intn(2) == 0 {
		s.packets = nil
	}
	if s.rng.Intn(3) == 0 {
		s.boot(s.rng.Intn(len(s.nodes)))
	}
	if s.changing {
		s.changeMembers()
	}
	if s.losing {
		s.loseDisk()
		s.recoverVotes()
	}
	s.advanceClock(s.rng.Intn(len(s.nodes)))
	for i, n := range s.nodes {
		if s.rng.Intn(4) == 0 {
			n.core.propose([]byte("x"))
			s.flush(i)
		}
	}
	for range s.rng.Intn(maxPhaseSteps) {
		if s.rng.Intn(2) == 0 {
			s.deliver()
		} else {
			s.sync(s.rng.Intn(len(s.nodes)))
		}
	}
}

// changeMembers lets every leader add, promote or remove a random node, or repeat
// a change that was announced. A node whose removal is committed returns with an
// empty disk as a new incarnation.
func (s *coreSim) changeMembers() {
	for i, n := range s.nodes {
		change, repeated := s.announced[i]
		if next := (memberChange{s.replicas[s.rng.Intn(len(s.nodes))], s.rng.Intn(6)}); !repeated || s.rng.Intn(4) == 0 {
			change = next
		}
		delete(s.announced, i)
		err := change.apply(s.now, n.core)
		if errors.Is(err, errAnnounced) || errors.Is(err, ErrChangePending) {
			s.announced[i] = change
		}
		if removed := s.index(change.replica); errors.Is(err, ErrRemoved) && s.replicas[removed] == change.replica {
			s.wipe(removed)
		}
		s.flush(i)
	}
}

func (m memberChange) apply(now time.Time, c *core) (err error) {
	switch m.kind {
	case 0:
		_, err = c.join(now, m.replica)
	case 1:
		_, err = c.addLearner(now, m.replica, false)
	case 2:
		_, err = c.remove(now, m.replica)
	default:
		_, err = c.promote(now, m.replica)
	}
	return err
}

// wipe starts a node with an empty disk as a new incarnation.
func (s *coreSim) wipe(i int) {
	s.incarnations[i]++
	s.replicas[i] = Replica{ID: s.replicas[i].ID, Incarnation: s.incarnations[i]}
	*s.nodes[i] = simNode{boots: s.nodes[i].boots}
	s.boot(i)
}

// deliver delivers one queued message: usually the oldest, sometimes a random
// one.
func (s *coreSim) deliver() {
	if len(s.packets) == 0 {
		return
	}
	at := 0
	if s.rng.Intn(4) == 0 {
		at = s.rng.Intn(len(s.packets))
	}
	p := s.packets[at]
	s.packets = append(s.packets[:at:at], s.packets[at+1:]...)
	s.now = s.now.Add(time.Millisecond)
	if (s.partition>>p.from^s.partition>>p.to)&1 == 0 {
		p.deliver()
	}
}

// advanceClock advances the time until a node's next timeout and handles it.
func (s *coreSim) advanceClock(i int) {
	s.now = latest(s.now, s.nodes[i].core.nextWake(s.now))
	s.nodes[i].core.tick(s.now)
	s.flush(i)
}

// runCoreHistory runs one random history and returns the first violation.
func runCoreHistory(seed int64, count int, injected faults) error {
	s := newCoreSim(seed, count, injected)
	for range phasesPerHistory {
		if s.runPhase(); s.err != nil {
			return s.err
		}
	}
	return nil
}

// runMembershipHistory runs one random history with membership changes.
func runMembershipHistory(seed int64, injected faults) error {
	s := newCoreSim(seed, 3+int(seed&1), injected)
	s.changing, s.announced = true, map[int]memberChange{}
	for i := len(s.nodes); i < membershipHistoryNodes; i++ {
		s.addNode(Replica{ID: ident.NodeID(rune('a' + i)), Incarnation: 1})
	}
	for range phasesPerMembershipHistory {
		if s.runPhase(); s.err != nil {
			return s.err
		}
	}
	return nil
}

// TestCore_Memberships checks the same while replicas are added, promoted and
// removed.
func TestCore_Memberships(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		for range membershipHistoriesPerRun {
			must.NoError(rt, runMembershipHistory(rapid.Int64().Draw(rt, "seed"), faults{}))
		}
	})
}

// TestCore_Histories checks that a committed entry never changes, whatever the
// order of messages, syncs and crashes.
func TestCore_Histories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		for range coreHistoriesPerRun {
			seed := rapid.Int64().Draw(rt, "seed")
			must.NoError(rt, runCoreHistory(seed, 3, faults{}))
		}
	})
}
