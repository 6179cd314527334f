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

// Sizes of one history of bare cores.
const (
	corePhases    = 40
	maxPhaseSteps = 60
	// coreHistories are played for each history of whole replicas.
	coreHistories = 40
)

// packet is a message on its way: deliver hands it over.
type packet struct {
	from, to int
	deliver  func()
}

// coreNode is a core with what of its output is durable.
type coreNode struct {
	core    *core
	hard    wal.HardState
	entries []wal.Entry
	pending []output
	gated   [][]func()
	lasts   []uint64
	hards   []termVote
	life    int
}

// coreSim drives bare cores: every message, sync, crash and passing of time is
// a random choice.
type coreSim struct {
	rng       *rand.Rand
	now       time.Time
	faults    faults
	nodes     []*coreNode
	packets   []packet
	members   Membership
	committed map[uint64]uint64
	// cut is the node that is cut off, or -1.
	cut int
	err error
}

func newCoreSim(seed int64, count int, injected faults) *coreSim {
	s := &coreSim{
		rng: rand.New(rand.NewSource(seed)), now: time.Unix(0, 0), faults: injected,
		committed: map[uint64]uint64{}, cut: -1,
	}
	for i := range count {
		replica := Replica{ID: ident.NodeID(rune('a' + i)), Incarnation: 1}
		s.members.Members = append(s.members.Members, Member{Replica: replica, Role: RoleVoter})
	}
	for i := range count {
		s.nodes = append(s.nodes, &coreNode{})
		s.boot(i)
	}
	return s
}

// boot starts a core from what is durable.
func (s *coreSim) boot(i int) {
	n := s.nodes[i]
	c, err := newCore(s.now, start{
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
	n.pending, n.gated, n.lasts, n.hards = nil, nil, nil, nil
	n.life++
}

// flush collects a core's output and checks what it commits.
func (s *coreSim) flush(i int, gatedReplies ...func()) {
	n := s.nodes[i]
	n.core.replicate(s.now)
	out := n.core.take()
	if n.core.broken != nil {
		s.err = n.core.broken
	}
	for _, entry := range out.committed {
		if term, seen := s.committed[entry.Index]; seen && term != entry.Term {
			s.err = fmt.Errorf("index %d committed in terms %d and %d", entry.Index, term, entry.Term)
		}
		s.committed[entry.Index] = entry.Term
	}
	gated := gatedReplies
	for _, msg := range out.sends {
		if msg.gated {
			gated = append(gated, func() { s.send(i, msg) })
			continue
		}
		s.send(i, msg)
	}
	if out.job == 0 && len(gated) == 0 {
		return
	}
	n.pending = append(n.pending, out)
	n.gated = append(n.gated, gated)
	n.lasts = append(n.lasts, n.core.log.last())
	n.hards = append(n.hards, n.core.emittedHard)
}

func (s *coreSim) index(r Replica) int { return int(r.ID[0] - 'a') }

// send puts a request on its way; its reply goes back the same way.
func (s *coreSim) send(i int, msg outbound) {
	to := s.index(msg.to)
	life := s.nodes[i].life
	back := func(fn func()) func() {
		return func() {
			s.packets = append(s.packets, packet{from: to, to: i, deliver: func() {
				if s.nodes[i].life == life {
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
			s.reply(to, c.replyNeedsSync(0), back(func() {
				s.nodes[i].core.handleVoteReply(s.now, msg.to, msg.vote, &reply)
			}))
		case msg.append != nil:
			reply := c.handleAppend(s.now, from, msg.append)
			s.reply(to, c.replyNeedsSync(reply.Match), back(func() {
				s.nodes[i].core.handleAppendReply(s.now, msg.to, msg.sent, msg.append, &reply)
			}))
		}
	}})
}

// reply releases a reply at once or when the output so far is durable.
func (s *coreSim) reply(i int, needsSync bool, fn func()) {
	if needsSync {
		s.flush(i, fn)
		return
	}
	fn()
	s.flush(i)
}

// sync makes the first waiting output of a node durable.
func (s *coreSim) sync(i int) {
	n := s.nodes[i]
	if len(n.pending) == 0 {
		return
	}
	out, gated, last, hard := n.pending[0], n.gated[0], n.lasts[0], n.hards[0]
	n.pending, n.gated, n.lasts, n.hards = n.pending[1:], n.gated[1:], n.lasts[1:], n.hards[1:]
	if out.batch.Hard != nil {
		n.hard = *out.batch.Hard
	}
	for _, entry := range out.batch.Entries {
		n.entries = append(n.entries[:entry.Index-1:entry.Index-1], entry)
	}
	for _, fn := range gated {
		fn()
	}
	if out.job != 0 {
		n.core.persisted(s.now, out.job, last, hard)
		s.flush(i)
	}
}

// phase changes who is connected, restarts or wakes nodes, and lets a random
// number of messages and syncs through.
func (s *coreSim) phase() {
	s.cut = s.rng.Intn(len(s.nodes)+1) - 1
	if s.rng.Intn(2) == 0 {
		s.packets = nil
	}
	if s.rng.Intn(3) == 0 {
		s.boot(s.rng.Intn(len(s.nodes)))
	}
	s.wake(s.rng.Intn(len(s.nodes)))
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

// deliver hands over a waiting message, mostly the oldest.
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
	if p.from != s.cut && p.to != s.cut {
		p.deliver()
	}
}

// wake lets time pass until a node has to act.
func (s *coreSim) wake(i int) {
	s.now = latest(s.now, s.nodes[i].core.nextWake(s.now))
	s.nodes[i].core.tick(s.now)
	s.flush(i)
}

// playCore runs one history of bare cores.
func playCore(seed int64, count int, injected faults) error {
	s := newCoreSim(seed, count, injected)
	for range corePhases {
		if s.phase(); s.err != nil {
			return s.err
		}
	}
	return nil
}

// TestCore_Histories checks that no committed entry changes whatever the order
// of messages, syncs and crashes.
func TestCore_Histories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		for range coreHistories {
			seed := rapid.Int64().Draw(rt, "seed")
			must.NoError(rt, playCore(seed, 3, faults{}))
		}
	})
}
