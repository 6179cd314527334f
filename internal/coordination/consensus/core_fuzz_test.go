package consensus

import (
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
}

// coreSim simulates a cluster of cores without I/O. Message delivery, syncs,
// crashes and timeouts happen in random order.
type coreSim struct {
	rng       *rand.Rand
	now       time.Time
	faults    faults
	nodes     []*simNode
	packets   []packet
	members   Membership
	committed map[uint64]uint64
	// isolated is the index of the node whose messages are dropped, or -1.
	isolated int
	err      error
}

func newCoreSim(seed int64, count int, injected faults) *coreSim {
	s := &coreSim{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), faults: injected,
		committed: map[uint64]uint64{}, isolated: -1,
	}
	for i := range count {
		replica := Replica{ID: ident.NodeID(rune('a' + i)), Incarnation: 1}
		s.members.Members = append(s.members.Members, Member{Replica: replica, Role: RoleVoter})
	}
	for i := range count {
		s.nodes = append(s.nodes, &simNode{})
		s.boot(i)
	}
	return s
}

// boot starts a core from its durable state.
func (s *coreSim) boot(i int) {
	n := s.nodes[i]
	c, err := newCore(s.now, coreConfig{
		self: s.members.Members[i].Replica, timing: Timing{}.withDefaults(), faults: s.faults,
		rng: randv2.New(randv2.NewPCG(s.rng.Uint64(), 1)), hard: n.hard, snapshot: snap.Meta{},
		members: s.members, entries: append([]wal.Entry(nil), n.entries...),
	})
	if err != nil {
		s.err = err
		return
	}
	c.appendBytes = 1
	n.core = c
	n.pending, n.pendingCallbacks, n.pendingLast, n.pendingHard = nil, nil, nil, nil
	n.boots++
}

// flush collects a core's output and checks that no index is committed in two
// terms.
func (s *coreSim) flush(i int, repliesAfterSync ...func()) {
	n := s.nodes[i]
	n.core.replicate(s.now)
	out := n.core.take()
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
	from := s.members.Members[i].Replica
	s.packets = append(s.packets, packet{from: i, to: to, deliver: func() {
		c := s.nodes[to].core
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

// runPhase changes the isolated node, may drop all messages, restart a node and
// propose commands, fires one timeout, then performs a random number of
// deliveries and syncs.
func (s *coreSim) runPhase() {
	s.isolated = s.rng.Intn(len(s.nodes)+1) - 1
	if s.rng.Intn(2) == 0 {
		s.packets = nil
	}
	if s.rng.Intn(3) == 0 {
		s.boot(s.rng.Intn(len(s.nodes)))
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
	if p.from != s.isolated && p.to != s.isolated {
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
