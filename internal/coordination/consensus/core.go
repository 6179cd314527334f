package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/snap"
	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

// Limits of replication.
const (
	// maxAppendBytes bounds the entries of one AppendRequest.
	maxAppendBytes = 256 << 10
	// maxInFlight bounds the unanswered AppendRequests with entries per peer.
	maxInFlight = 8
)

// role is what a replica does in its term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// core is the protocol of one replica without I/O: messages and the time go in,
// messages, records to persist and committed entries come out through take. It
// is not safe for concurrent use.
type core struct {
	self   Replica
	timing Timing
	rng    *rand.Rand
	faults faults
	// replaceDead lets new replicas take the places of silent voters.
	replaceDead bool

	term   uint64
	vote   Replica
	role   role
	leader Replica
	log    raftLog
	commit uint64
	// handed is the last index handed out for applying.
	handed uint64
	// configs holds the memberships that may be in force: the last committed
	// one and any later one in the log.
	configs []configAt

	persistence

	// promisedUntil is until when this replica refuses votes: it heard a
	// leader, or may have before a restart.
	promisedUntil time.Time
	// startPromise is true while promisedUntil is that of a restart.
	startPromise bool
	electionAt   time.Time
	votes        map[Replica]bool

	leadership

	out output
	// appendBytes bounds the entries of one AppendRequest.
	appendBytes int
	// broken is set once an invariant is found broken; the replica must stop.
	broken error
}

// configAt is a membership and the index of its entry.
type configAt struct {
	index   uint64
	members Membership
}

// persistence tracks what of the core's state is durable.
type persistence struct {
	// stable is the last index of the log that is durable here.
	stable uint64
	// stableHard is the durable term and vote; emittedHard the ones last handed
	// out to be persisted.
	stableHard, emittedHard termVote
	// job numbers the outputs to persist; truncated is the first job that
	// follows the last truncation. Earlier jobs say nothing about the log.
	job, truncated uint64
}

// termVote is the part of the hard state that replies depend on.
type termVote struct {
	term uint64
	vote Replica
}

// output is what the driver has to carry out, in the order of the fields.
type output struct {
	// job numbers the parts that are to be persisted; 0 if there are none.
	job      uint64
	batch    wal.Batch
	snapshot *snap.Snapshot
	sends    []outbound
	// streams lists the peers that need a snapshot.
	streams []Replica
	// restore is a snapshot to apply before committed.
	restore   *snap.Snapshot
	committed []wal.Entry
	reads     []readReady
	// steppedDown is true if a leadership ended.
	steppedDown bool
}

// outbound is one message to a peer. Exactly one of the requests is set.
type outbound struct {
	to     Replica
	vote   *VoteRequest
	append *AppendRequest
	elect  *ElectRequest
	sent   sentAppend
	// gated messages wait until the output is durable.
	gated bool
}

// start is the state that a core begins with.
type start struct {
	self        Replica
	timing      Timing
	rng         *rand.Rand
	faults      faults
	replaceDead bool
	hard        wal.HardState
	snapshot    snap.Meta
	members     Membership
	entries     []wal.Entry
}

// newCore returns the core of a replica that was just started.
func newCore(now time.Time, s start) (*core, error) {
	c := &core{self: s.self, timing: s.timing, rng: s.rng, faults: s.faults, replaceDead: s.replaceDead, appendBytes: maxAppendBytes}
	c.term = s.hard.Term
	c.vote = Replica{ID: s.hard.VoteID, Incarnation: s.hard.VoteIncarnation}
	c.log.reset(s.snapshot.Index, s.snapshot.Term)
	c.configs = []configAt{{index: s.snapshot.Index, members: s.members}}
	c.log.entries = s.entries
	if err := c.adoptConfigs(s.entries); err != nil {
		return nil, err
	}
	c.stable = c.log.last()
	c.commit = max(s.snapshot.Index, min(s.hard.Commit, c.log.last()))
	c.handed = s.snapshot.Index
	c.stableHard = termVote{c.term, c.vote}
	c.emittedHard = c.stableHard
	if !c.faults.voteAfterRestart {
		c.promisedUntil = now.Add(c.timing.ElectionMin)
		c.startPromise = true
	}
	c.resetElection(now)
	if c.soleVoter() {
		c.electionAt = now
	}
	return c, nil
}

// members returns the membership in force.
func (c *core) members() Membership {
	return c.configs[len(c.configs)-1].members
}

// soleVoter reports whether this replica forms a quorum by itself.
func (c *core) soleVoter() bool {
	voters := c.members().Voters()
	return len(voters) == 1 && voters[0] == c.self
}

func (c *core) resetElection(now time.Time) {
	spread := max(1, c.timing.ElectionMax-c.timing.ElectionMin)
	c.electionAt = now.Add(c.timing.ElectionMin + time.Duration(c.rng.Int64N(int64(spread))))
}

// becomeFollower enters a term, or stays in it, without leading.
func (c *core) becomeFollower(now time.Time, term uint64, leaderOf Replica) {
	if term > c.term {
		c.term, c.vote = term, Replica{}
	}
	if c.role == leader {
		c.endLeadership()
		c.resetElection(now)
	}
	c.role = follower
	c.leader = leaderOf
}

// breakInvariant stops the replica: going on could lose acknowledged data.
func (c *core) breakInvariant(format string, args ...any) {
	if c.broken == nil {
		c.broken = fmt.Errorf("consensus: invariant broken: "+format, args...)
	}
}

// tick acts on the passing of time.
func (c *core) tick(now time.Time) {
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionAt) {
		return
	}
	if c.members().Role(c.self) != RoleVoter {
		// It can't campaign; that it knows no leader has it ask to join again.
		c.leader = Replica{}
		c.resetElection(now)
		return
	}
	c.preCampaign(now)
}

// nextWake returns when tick has to be called next.
func (c *core) nextWake(now time.Time) time.Time {
	if c.role == leader {
		return c.nextLeaderWake(now)
	}
	return c.electionAt
}

// take returns what is to be carried out and resets it.
func (c *core) take() output {
	c.handOutCommitted()
	hard := termVote{c.term, c.vote}
	changed := hard != c.emittedHard
	if changed || len(c.out.batch.Entries) > 0 || c.out.batch.Mark != nil {
		c.out.batch.Hard = &wal.HardState{
			Term: c.term, Commit: c.commit,
			VoteID: c.vote.ID, VoteIncarnation: c.vote.Incarnation,
		}
		c.emittedHard = hard
		c.job++
		c.out.job = c.job
	}
	out := c.out
	c.out = output{}
	return out
}

// handOutCommitted moves newly committed entries to the output.
func (c *core) handOutCommitted() {
	if c.commit <= c.handed {
		return
	}
	c.out.committed = append(c.out.committed, c.log.slice(c.handed+1, c.commit)...)
	c.handed = c.commit
}

// persisted records that every output up to job is durable. last is the log's
// last index and hard the term and vote in that output.
func (c *core) persisted(now time.Time, job, last uint64, hard termVote) {
	c.stableHard = hard
	if job >= c.truncated {
		c.stable = max(c.stable, min(last, c.log.last()))
	}
	if c.role == candidate && hard == (termVote{c.term, c.self}) {
		c.countVote(now, c.self)
	}
	if c.role == leader {
		c.advanceCommit(now)
	}
}

// replyNeedsSync reports whether a reply that vouches for the log up to match
// must wait until everything handed out so far is durable.
func (c *core) replyNeedsSync(match uint64) bool {
	if c.faults.replyWithoutSync {
		return false
	}
	return c.stableHard != (termVote{c.term, c.vote}) || match > c.stable
}
