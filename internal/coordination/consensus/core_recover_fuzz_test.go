package consensus

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Sizes of the histories in which disks are lost.
const (
	phasesPerRecoveryHistory = 200
	recoveryHistoriesPerRun  = 6
)

// simRecovery is the state of a simulated node that recovers its vote.
type simRecovery struct {
	startedAt time.Time
	// durableTip is the tip that the node's identity file holds.
	durableTip logTip
	round      recoveryRound
}

// recoveryRound is a round of RecoverRequests. term is 0 while they ask for no
// promise.
type recoveryRound struct {
	number  int
	term    uint64
	lost    Replica
	replies []*RecoverReply
}

// loseDisk empties the disk of a random voter, unless the last one is not repaired
// or a majority may be a single disk.
func (s *coreSim) loseDisk() {
	if s.lost >= 0 && s.isRepaired(s.lost) {
		s.lost = -1
	}
	i := s.rng.Intn(len(s.nodes))
	if s.lost >= 0 || s.rng.Intn(4) != 0 || s.nodes[i].core.members().Role(s.replicas[i]) != RoleVoter {
		return
	}
	for _, n := range s.nodes {
		for _, config := range n.core.configs {
			if len(config.members.Voters()) < 3 {
				return
			}
		}
	}
	s.lost, s.lostAt = i, 0
	for index := range s.committed {
		s.lostAt = max(s.lostAt, index)
	}
	s.wipe(i)
}

// isRepaired reports whether a node votes in the membership of a leader and holds
// durably what was committed when its disk was lost.
func (s *coreSim) isRepaired(i int) bool {
	n := s.nodes[i]
	if n.core.isRecovering() || n.core.commit < s.lostAt || len(n.entries) < int(s.lostAt) {
		return false
	}
	for _, other := range s.nodes {
		if other.core.role == leader && other.core.configs[0].members.Role(s.replicas[i]) == RoleVoter && other.core.commit >= s.lostAt {
			return true
		}
	}
	return false
}

// recoverVotes begins a round of requests at each node that knows no leader.
func (s *coreSim) recoverVotes() {
	for i, n := range s.nodes {
		wait := 2 * n.core.timing.ElectionMax
		if s.rng.Intn(2) == 0 || s.now.Sub(n.startedAt) < wait || n.core.leader != (Replica{}) || n.core.members().Role(s.replicas[i]) == RoleVoter {
			continue
		}
		s.ask(i, recoveryRound{number: n.round.number + 1})
	}
}

// ask sends the requests of a round to all other nodes.
func (s *coreSim) ask(i int, round recoveryRound) {
	n := s.nodes[i]
	n.round = round
	boots, number := n.boots, round.number
	for to := range s.nodes {
		if to == i {
			continue
		}
		s.packets = append(s.packets, packet{from: i, to: to, deliver: func() {
			c := s.nodes[to].core
			reply := c.handleRecover(s.now, &RecoverRequest{From: s.replicas[i], Term: round.term})
			s.reply(to, c.replyNeedsSync(c.log.last()), func() {
				s.packets = append(s.packets, packet{from: to, to: i, deliver: func() {
					if n := s.nodes[i]; n.boots == boots && n.round.number == number {
						s.answered(i, &reply)
					}
				}})
			})
		}})
	}
}

// answered handles a reply as recoverVote does for the replies together.
func (s *coreSim) answered(i int, reply *RecoverReply) {
	n := s.nodes[i]
	round := &n.round
	if round.term > 0 && !reply.Promised {
		return
	}
	round.replies = append(round.replies, reply)
	seen := newRecovery(round.replies)
	lost, found := seen.lostVoter(s.replicas[i])
	sufficient := found && (seen.isSufficient(lost) || s.faults.recoverWithOne && seen.answered(seen.newest.Members.Voters()) > 0)
	switch {
	case seen.led || !sufficient:
	case round.term == 0:
		s.ask(i, recoveryRound{number: round.number + 1, term: max(seen.term, n.core.term) + 1, lost: lost})
	case lost == round.lost && n.core.leader == (Replica{}) && n.core.term <= round.term:
		n.core.becomeFollower(s.now, round.term, Replica{})
		n.round = recoveryRound{number: round.number + 1}
		s.flush(i, func() {
			s.replicas[i], n.durableTip = lost, seen.tip
			if s.faults.recoverWithoutTip {
				n.durableTip = logTip{}
			}
			n.core.recovered(s.now, lost, seen.tip)
			s.recoveries++
		})
	}
}

// runRecoveryHistory runs one random history with membership changes and lost
// disks, and returns the number of recovered votes.
func runRecoveryHistory(seed int64, injected faults) (int, error) {
	s := newCoreSim(seed, 3+int(seed&1), injected)
	s.changing, s.announced = true, map[int]memberChange{}
	s.losing, s.lost = true, -1
	for i := len(s.nodes); i < membershipHistoryNodes; i++ {
		s.addNode(Replica{ID: ident.NodeID(rune('a' + i)), Incarnation: 1})
	}
	for range phasesPerRecoveryHistory {
		if s.runPhase(); s.err != nil {
			return s.recoveries, s.err
		}
	}
	return s.recoveries, nil
}

// TestCore_RecoveredVotes checks that a committed entry never changes and no term has
// two leaders while voters lose their disks, one at a time, and recover their votes amid
// membership changes.
func TestCore_RecoveredVotes(t *testing.T) {
	recoveries := 0
	rapid.Check(t, func(rt *rapid.T) {
		for range recoveryHistoriesPerRun {
			count, err := runRecoveryHistory(rapid.Int64().Draw(rt, "seed"), faults{})
			must.NoError(rt, err)
			recoveries += count
		}
	})
	must.Positive(t, recoveries)
}
