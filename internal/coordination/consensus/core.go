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
	// maxAppendBytes bounds the size of the entries of one AppendRequest, in
	// bytes.
	maxAppendBytes = 256 << 10
	// maxInFlight bounds the unanswered AppendRequests with entries per peer.
	maxInFlight = 8
)

// role is the protocol state of a replica in its current term.
type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// core is the protocol of one replica without I/O. Its inputs are messages and
// the current time; take returns its output: messages, records to persist and
// committed entries. It is not safe for concurrent use.
type core struct {
	self   Replica
	timing Timing
	rng    *rand.Rand
	faults faults
	// replaceDead and minVoters are the options of the same names.
	replaceDead bool
	minVoters   int

	term   uint64
	vote   Replica
	role   role
	leader Replica
	log    raftLog
	commit uint64
	// emitted is the index of the last entry output for applying.
	emitted uint64
	// configs holds the memberships that may take effect: the last committed
	// one and any later ones in the log. The last one is in effect.
	configs []configAt

	persistence

	// voteBlockedUntil is the time before which this replica refuses to vote,
	// because it heard from a leader or may have done so before a restart.
	voteBlockedUntil time.Time
	// voteBlockedByRestart is true while voteBlockedUntil was set by a restart
	// rather than by a leader.
	voteBlockedByRestart bool
	electionAt           time.Time
	votes                map[Replica]bool
	// refusals holds the reasons of the voters that refused in the current
	// campaign.
	refusals map[Replica]VoteRefusal
	// failedCampaign describes the last campaign that got no majority; empty
	// once a leader is known.
	failedCampaign string

	// lastLeader is the replica that led most recently as far as this one knows,
	// and lastLeaderAt the time of its last message. Both are zero if that was
	// this replica.
	lastLeader   Replica
	lastLeaderAt time.Time
	// silentSince holds the voters that the latest leader reported as silent, as of
	// silentReportedAt.
	silentSince      map[Replica]time.Time
	silentReportedAt time.Time

	// recoveredTip is the end of the log with which this replica recovered its
	// vote; zero if it did not.
	recoveredTip logTip

	leadership

	out output
	// appendBytes is maxAppendBytes; tests set a lower limit.
	appendBytes int
	// invariantErr is set when a violated invariant is found. The replica must
	// stop then.
	invariantErr error
}

// configAt is a membership and the index of its log entry.
type configAt struct {
	index   uint64
	members Membership
}

// persistence tracks which part of the core's state is durable.
type persistence struct {
	// stable is the index of the last durable entry of the local log.
	stable uint64
	// stableHard is the durable term and vote; emittedHard is the term and vote
	// last output to be persisted.
	stableHard, emittedHard termVote
	// job numbers the outputs to persist. firstJobAfterTruncate is the first
	// job after the last truncation of the log; the completion of an earlier
	// job doesn't show that the current entries are durable.
	job, firstJobAfterTruncate uint64
}

// termVote is the part of the hard state that must be durable before a reply is
// sent.
type termVote struct {
	term uint64
	vote Replica
}

// output is the work for the driver, to be carried out in the order of the
// fields.
type output struct {
	// job is the number of this output if it has parts to persist, else 0.
	job      uint64
	batch    wal.Batch
	snapshot *snap.Snapshot
	sends    []outbound
	// snapshotPeers lists the peers to stream a snapshot to.
	snapshotPeers []Replica
	// restore is a snapshot to restore before applying committed.
	restore   *snap.Snapshot
	committed []wal.Entry
	reads     []readReady
	// steppedDown is true if this replica stopped leading.
	steppedDown bool
}

// outbound is one message to a peer. Exactly one of the requests is set.
type outbound struct {
	to     Replica
	vote   *VoteRequest
	append *AppendRequest
	elect  *ElectRequest
	sent   sentAppend
	// afterSync delays the message until the output is durable.
	afterSync bool
}

// coreConfig holds the settings and the recovered state of a new core.
type coreConfig struct {
	self        Replica
	timing      Timing
	rng         *rand.Rand
	faults      faults
	replaceDead bool
	minVoters   int
	hard        wal.HardState
	snapshot    snap.Meta
	members     Membership
	entries     []wal.Entry
	// recoveredTip is the core's field of the same name.
	recoveredTip logTip
}

// newCore returns the core of a replica that is starting. It refuses to vote
// for ElectionMin, since it may have acknowledged a leader's heartbeat just
// before the restart.
func newCore(now time.Time, s coreConfig) (*core, error) {
	c := &core{self: s.self, timing: s.timing, rng: s.rng, faults: s.faults, replaceDead: s.replaceDead, minVoters: s.minVoters, appendBytes: maxAppendBytes}
	c.recoveredTip = s.recoveredTip
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
	c.emitted = s.snapshot.Index
	c.stableHard = termVote{c.term, c.vote}
	c.emittedHard = c.stableHard
	if !c.faults.voteAfterRestart {
		c.voteBlockedUntil = now.Add(c.timing.ElectionMin)
		c.voteBlockedByRestart = true
	}
	c.resetElection(now)
	if c.soleVoter() {
		c.electionAt = now
	}
	return c, nil
}

// members returns the membership in effect.
func (c *core) members() Membership {
	return c.configs[len(c.configs)-1].members
}

// soleVoter reports whether this replica is the only voter.
func (c *core) soleVoter() bool {
	voters := c.members().Voters()
	return len(voters) == 1 && voters[0] == c.self
}

func (c *core) resetElection(now time.Time) {
	spread := max(1, c.timing.ElectionMax-c.timing.ElectionMin)
	c.electionAt = now.Add(c.timing.ElectionMin + time.Duration(c.rng.Int64N(int64(spread))))
}

// becomeFollower makes this replica a follower in the given term, which is the
// current one or a later one. newLeader is zero if the leader is unknown.
func (c *core) becomeFollower(now time.Time, term uint64, newLeader Replica) {
	if term > c.term {
		c.term, c.vote = term, Replica{}
	}
	if c.role == leader {
		c.endLeadership(now)
		c.resetElection(now)
	}
	c.role = follower
	c.leader = newLeader
	if newLeader != (Replica{}) {
		c.failedCampaign = ""
	}
}

// failInvariant records a violated invariant, which stops the replica: to
// continue could lose acknowledged data.
func (c *core) failInvariant(format string, args ...any) {
	if c.invariantErr == nil {
		c.invariantErr = fmt.Errorf("consensus: invariant violated: "+format, args...)
	}
}

// tick handles timeouts that have expired by now.
func (c *core) tick(now time.Time) {
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionAt) {
		return
	}
	if c.members().Role(c.self) != RoleVoter || c.isRecovering() {
		// A replica without a vote, or without the log that its vote relies on, can't
		// campaign. Resetting the leader makes ensureMembership ask to join again.
		c.leader = Replica{}
		c.resetElection(now)
		return
	}
	c.preCampaign(now)
}

// nextWake returns the time at which tick must be called next.
func (c *core) nextWake(now time.Time) time.Time {
	if c.role == leader {
		return c.nextLeaderWake(now)
	}
	return c.electionAt
}

// take returns the output collected since the last call and resets it.
func (c *core) take() output {
	c.emitCommitted()
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

// emitCommitted moves newly committed entries to the output.
func (c *core) emitCommitted() {
	if c.commit <= c.emitted {
		return
	}
	c.out.committed = append(c.out.committed, c.log.slice(c.emitted+1, c.commit)...)
	c.emitted = c.commit
}

// persisted records that every output up to job is durable. last is the last
// log index and hard the term and vote of that output.
func (c *core) persisted(now time.Time, job, last uint64, hard termVote) {
	c.stableHard = hard
	if job >= c.firstJobAfterTruncate {
		c.stable = max(c.stable, min(last, c.log.last()))
	}
	if c.role == candidate && hard == (termVote{c.term, c.self}) {
		c.countVote(now, c.self)
	}
	if c.role == leader {
		c.advanceCommit(now)
	}
}

// replyNeedsSync reports whether a reply that confirms the log up to match must
// wait until everything output so far is durable.
func (c *core) replyNeedsSync(match uint64) bool {
	if c.faults.replyWithoutSync {
		return false
	}
	return c.stableHard != (termVote{c.term, c.vote}) || match > c.stable
}
