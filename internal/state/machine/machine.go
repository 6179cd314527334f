package machine

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// Machine is the replicated state machine. It is safe for concurrent use. Callers
// must not modify the objects that accessors return.
type Machine struct {
	mu     sync.Mutex
	limits ledger.Limits

	index uint64
	clock time.Time
	begin Begin

	config *config.Store
	ledger *ledger.Ledger
	nodes  map[ident.NodeID]lease.Node
	pools  map[ident.PoolName]lease.Pool
	moves  map[ident.MoveName]move.Record
	orders []Order
	// rollouts holds the latest rollout of each pool.
	rollouts      map[ident.PoolName]rollout.Record
	rolloutNumber uint64
	// hotTeams are the teams that have used up most of their quotas, in order.
	hotTeams []ident.TeamName
	// poison holds the records of prompt parts on which upstreams end.
	poison []poison.Record
	// evacuations holds the evacuated data centres, in order.
	evacuations      []evacuation.Record
	evacuationNumber uint64
	// features is the feature level that all nodes support.
	features uint32
	// epoch is the highest scheduler epoch granted so far, over all pools, so that
	// a pool that is removed and added again never gets an old epoch.
	epoch   ident.Epoch
	fencing FencingNumber
	changes changeLog
	// changed is closed and replaced when something changes that nodes follow.
	changed chan struct{}
}

// New returns an empty machine. All replicas must use the same limits.
func New(limits ledger.Limits) *Machine {
	return &Machine{
		limits: limits,
		config: config.NewStore(),
		ledger: ledger.New(limits),
		nodes:  make(map[ident.NodeID]lease.Node),
		pools:  make(map[ident.PoolName]lease.Pool),
		moves:  make(map[ident.MoveName]move.Record),

		rollouts: make(map[ident.PoolName]rollout.Record),

		changed: make(chan struct{}),
	}
}

// Apply executes the log entry at index. It is deterministic: equal logs lead to
// equal states and results.
func (m *Machine) Apply(index uint64, command []byte) Result {
	c, err := DecodeCommand(command)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = index
	if err != nil {
		return Result{Invalid: true}
	}
	if c.At.After(m.clock) {
		m.clock = c.At.Round(0).UTC()
	}
	m.ledger.Advance(m.clock)
	revision, sequence := m.config.Revision, m.changes.Sequence
	result := m.execute(c)
	if m.config.Revision != revision || m.changes.Sequence != sequence {
		m.notifyChanged()
	}
	return result
}

// notifyChanged wakes the goroutines that wait on Changed. The caller must hold mu.
func (m *Machine) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the configuration,
// node leases, scheduler leases, moves, rollouts or evacuations.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *Machine) execute(c *Command) Result {
	switch {
	case c.Begin != nil:
		return m.applyBegin(*c.Begin)
	case c.Claim != nil:
		return m.applyClaim(*c.Claim)
	case c.Release != nil:
		c.Release.At = m.clock
		return Result{Ledger: m.ledger.Release(*c.Release)}
	case c.Complete != nil:
		c.Complete.At = m.clock
		return Result{Ledger: m.ledger.Complete(*c.Complete)}
	case c.Resolve != nil:
		c.Resolve.At = m.clock
		return Result{Ledger: m.ledger.Resolve(*c.Resolve)}
	case c.ApplyConfig != nil:
		return m.applyConfig(*c.ApplyConfig)
	case c.CommitMove != nil:
		return m.commitMove(*c.CommitMove)
	case c.StartRollout != nil:
		return m.startRollout(*c.StartRollout, c.RolloutBasis)
	case c.EndRollout != nil:
		return m.endRollout(*c.EndRollout)
	}
	if c.Term != m.begin.Term {
		return Result{Superseded: true}
	}
	switch {
	case c.SetHotTeams != nil:
		m.hotTeams = c.SetHotTeams.Teams
		return Result{}
	case c.SetPoison != nil:
		m.poison = c.SetPoison.Parts
		return Result{}
	case c.SetFeatures != nil:
		m.features = max(m.features, c.SetFeatures.Level)
		return Result{}
	case c.ForgetVersions != nil:
		return m.forgetVersions(*c.ForgetVersions)
	case c.Evacuate != nil:
		return m.evacuate(*c.Evacuate, c.EvacuationBasis)
	case c.RefreshConfig != nil:
		return m.applyConfig(*c.RefreshConfig)
	case c.GrantNode != nil:
		return m.grantNode(c.GrantNode.Node)
	case c.RevokeNodes != nil:
		for _, node := range c.RevokeNodes.Nodes {
			m.revokeNode(node)
		}
		return Result{}
	case c.GrantPools != nil:
		return m.grantPools(c.GrantPools.Changes)
	case c.IssueOrder != nil:
		return m.issueOrder(*c.IssueOrder)
	case c.CompleteOrder != nil:
		return m.completeOrder(*c.CompleteOrder)
	}
	return Result{Invalid: true}
}

// applyBegin starts a leader term. A lower term, or the same term with another
// leader, is refused as superseded.
func (m *Machine) applyBegin(b Begin) Result {
	if b.Term < m.begin.Term || (b.Term == m.begin.Term && b.Leader != m.begin.Leader) {
		return Result{Superseded: true}
	}
	m.begin = b
	return Result{}
}

// applyClaim passes a claim to the ledger, which refuses it if the gateway has no
// live node lease.
func (m *Machine) applyClaim(c ledger.Claim) Result {
	c.At = m.clock
	node, leased := m.nodes[c.Gateway]
	live := leased && node.Incarnation == c.Incarnation
	result := m.ledger.Claim(c, live)
	return Result{Claim: &result}
}

// applyConfig applies an operation and updates the move records if the configuration
// changed.
func (m *Machine) applyConfig(op config.Operation) Result {
	op.At = m.clock
	if op.Numbered != nil && !op.Refresh {
		// Before the level was reached, replicas of older builds have dropped the fields that
		// came with it, and the level of the text too. All replicas must agree on it, so that
		// the next leader reads the text again whichever build it ran.
		numbered := *op.Numbered
		numbered.Level = min(numbered.Level, m.features)
		op.Numbered = &numbered
	}
	before := m.config.Revision
	outcome := m.config.Apply(op)
	if m.config.Revision != before {
		m.syncMoves()
	}
	return Result{Config: &outcome}
}

// Index returns the index of the last applied command.
func (m *Machine) Index() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.index
}

// Clock returns the machine's time, which is the latest time of any applied command.
func (m *Machine) Clock() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock
}

// Term returns the current leader term and its leader.
func (m *Machine) Term() (uint64, ident.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begin.Term, m.begin.Leader
}

// Config returns the current configuration with its revision and digest.
func (m *Machine) Config() (config.Config, ident.Revision, config.Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Config, m.config.Revision, m.config.Digest
}

// HotTeams returns the teams that have used up most of their quotas, in order.
func (m *Machine) HotTeams() []ident.TeamName {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hotTeams
}

// PoisonParts returns the records of prompt parts on which upstreams end.
func (m *Machine) PoisonParts() []poison.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.poison
}

// Document returns the submitted text and the number of the latest accepted numbered
// configuration. The number is 0 if there was none.
func (m *Machine) Document() (document []byte, number uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.Document, m.config.Number
}

// ConfigUpdate returns the update from revision have to the current revision, or nil
// if have is up to date.
func (m *Machine) ConfigUpdate(have ident.Revision) *config.Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.config.UpdateFrom(have)
}

// History returns the latest accepted changes, at most limit, oldest first.
func (m *Machine) History(limit int) []config.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	history := m.config.History
	if len(history) > limit {
		history = history[len(history)-limit:]
	}
	return append([]config.Change(nil), history...)
}

// Lookup returns the ledger's record of a key. Found is false if no claim holds the
// key.
func (m *Machine) Lookup(k ledger.Key) (result ledger.ClaimResult, found bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Lookup(k)
}

// LedgerSize returns the number of keys in the ledger and their accounted memory in
// bytes.
func (m *Machine) LedgerSize() (entries int, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Len(), m.ledger.Bytes()
}
