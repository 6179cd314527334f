package control

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

const (
	// MaxSyncHold bounds how long a sync waits for a change. The node's proof
	// of fresh contact is as old as the call, so this is a fraction of the time
	// in which a revoked key must stop working (5 s).
	MaxSyncHold = time.Second
	// memberSilence is how long a node without a sync under way counts as
	// live: a connection may have to be made anew in between.
	memberSilence = 700 * time.Millisecond
	// takeoverSilence is the same right after a term began, when nodes must
	// first find the new leader.
	takeoverSilence = 2 * time.Second
)

// fleet is the leader's knowledge of nodes and upstreams in its term.
type fleet struct {
	mu      sync.Mutex
	version SpreadVersion
	members map[ident.NodeID]*fleetMember
	listed  bool
	found   []Discovered
	// hot is when each team was last reported near its quota.
	hot map[ident.TeamName]time.Time
	// changed is closed and replaced at each change, and when the term ends.
	changed chan struct{}
}

// fleetMember is one node and when it was last heard.
type fleetMember struct {
	Member
	heard time.Time
	// syncs counts the calls under way.
	syncs int
}

// RunFleet makes the service keep soft members and upstreams in place of node
// and scheduler leases in the log. It is called before the service serves. Known
// returns what this node last learned as a follower; a new leader begins with it.
func (s *Service) RunFleet(known func() Spread) {
	s.fleet = &fleet{changed: make(chan struct{})}
	s.known = known
}

// begin starts a term with the members and upstreams known before. A leader
// whose lease had run out for a moment begins its term again; what it spreads
// then must still be newer than all before.
func (f *fleet) begin(term uint64, known Spread, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.version.Term != term {
		f.version = SpreadVersion{Term: term}
	}
	f.version.Sequence++
	f.members = make(map[ident.NodeID]*fleetMember, len(known.Members))
	for _, m := range known.Members {
		f.members[m.ID] = &fleetMember{Member: m, heard: now.Add(takeoverSilence - memberSilence)}
	}
	f.listed, f.found = known.Listed, known.Upstreams
	f.hot = make(map[ident.TeamName]time.Time)
	f.wake()
}

// end drops the state of a term.
func (f *fleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members == nil {
		return
	}
	f.members = nil
	f.wake()
}

// wake has all waiting syncs look again. The caller holds the lock.
func (f *fleet) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// note counts a change and wakes the syncs. The caller holds the lock.
func (f *fleet) note() {
	f.version.Sequence++
	f.wake()
}

// arrive notes that a node lives, and that its sync is under way.
func (f *fleet) arrive(m Member, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members == nil {
		return false
	}
	present := f.members[m.ID]
	if present != nil && present.Incarnation > m.Incarnation {
		return true
	}
	if present == nil || present.Incarnation < m.Incarnation {
		present = &fleetMember{}
		f.members[m.ID] = present
	}
	if present.Member != m {
		present.Member = m
		f.note()
	}
	present.heard = now
	present.syncs++
	return true
}

// leave notes that a node's sync has ended.
func (f *fleet) leave(m Member, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := f.members[m.ID]
	if present == nil || present.Incarnation != m.Incarnation || present.syncs == 0 {
		return
	}
	present.syncs--
	present.heard = now
}

// expire forgets the nodes that have been silent for too long.
func (f *fleet) expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	removed := false
	for id, m := range f.members {
		if m.syncs == 0 && now.Sub(m.heard) > memberSilence {
			delete(f.members, id)
			removed = true
		}
	}
	if removed {
		f.note()
	}
}

// SetUpstreams replaces the upstreams that the leader spreads. It does nothing
// at a replica that doesn't lead.
func (s *Service) SetUpstreams(found []Discovered) {
	f := s.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members == nil || f.listed && reflect.DeepEqual(f.found, found) {
		return
	}
	f.listed, f.found = true, found
	f.note()
}

// spread returns what a node at version have lacks, or nil, and a channel that
// is closed at the next change.
func (f *fleet) spread(have SpreadVersion) (*Spread, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members == nil || !f.version.Newer(have) {
		return nil, f.changed
	}
	spread := &Spread{Version: f.version, Listed: f.listed, Upstreams: f.found}
	for _, id := range slices.SortedFunc(maps.Keys(f.members), cmp.Compare[ident.NodeID]) {
		spread.Members = append(spread.Members, f.members[id].Member)
	}
	return spread, f.changed
}

// Sync tells that a node lives, waits for a change and brings the node up to
// date. Every reply that is served proves that this replica led after the call
// was sent.
func (s *Service) Sync(args *SyncArgs, reply *SyncReply) error {
	term, status := s.serving()
	if !status.OK() {
		reply.Status = status
		return nil
	}
	if !s.fleet.arrive(args.Member, time.Now()) {
		reply.Status = Status{NotLeader: true, Redirect: s.self, Detail: "the term is beginning"}
		return nil
	}
	s.fleet.reportHot(args.HotTeams, time.Now())
	timer := time.NewTimer(min(args.Hold, MaxSyncHold))
	defer timer.Stop()
	for !s.syncOnce(args, reply) {
		if !s.awaitSync(args, timer.C) {
			break
		}
	}
	s.fleet.leave(args.Member, time.Now())
	reply.Status = s.stillServing(term)
	return nil
}

// syncOnce fills in what the node lacks and reports whether that is anything.
func (s *Service) syncOnce(args *SyncArgs, reply *SyncReply) bool {
	reply.Update = s.machine.ConfigUpdate(args.HaveRevision)
	reply.Spread, _ = s.fleet.spread(args.HaveSpread)
	if reply.Spread != nil {
		reply.Spread.Rollouts = s.machine.Rollouts()
		reply.Spread.HotTeams = s.machine.HotTeams()
	}
	return reply.Update != nil || reply.Spread != nil
}

// awaitSync waits for a change; it returns false when there was none in time.
func (s *Service) awaitSync(args *SyncArgs, timeout <-chan time.Time) bool {
	machineChanged := s.machine.Changed()
	spread, fleetChanged := s.fleet.spread(args.HaveSpread)
	if spread != nil || s.machine.ConfigUpdate(args.HaveRevision) != nil {
		return true
	}
	select {
	case <-machineChanged:
	case <-fleetChanged:
	case <-timeout:
		return false
	}
	if _, status := s.serving(); !status.OK() {
		return false
	}
	return true
}

// ApplyNumbered commits a configuration under the policy that the highest
// number wins. It is acknowledged once a quorum has it on disk.
func (s *Service) ApplyNumbered(args *ApplyNumberedArgs, reply *ApplyNumberedReply) error {
	if _, status := s.read(); !status.OK() {
		reply.Status = status
		return nil
	}
	if _, number := s.machine.Document(); args.Numbered.Number <= number {
		reply.Number = number
		reply.Outcome.Verdict = config.VerdictOvertaken
		return nil
	}
	numbered := args.Numbered
	result, status := s.propose(&machine.Command{ApplyConfig: &config.Operation{Numbered: &numbered}})
	reply.Status = status
	if status.OK() && result.Config != nil {
		reply.Outcome = *result.Config
		_, reply.Number = s.machine.Document()
	}
	return nil
}

// ReadDocument returns the newest numbered configuration's own text.
func (s *Service) ReadDocument(_ *ReadDocumentArgs, reply *ReadDocumentReply) error {
	term, status := s.read()
	if !status.OK() {
		reply.Status = status
		return nil
	}
	reply.Document, reply.Number = s.machine.Document()
	reply.Status = s.stillServing(term)
	return nil
}

// StartRollout commits an operator's order.
func (s *Service) StartRollout(args *StartRolloutArgs, reply *RolloutReply) error {
	order := args.Order
	return s.changeRollout(&machine.Command{StartRollout: &order}, reply)
}

// EndRollout commits the end of a rollout.
func (s *Service) EndRollout(args *EndRolloutArgs, reply *RolloutReply) error {
	end := args.End
	return s.changeRollout(&machine.Command{EndRollout: &end}, reply)
}

func (s *Service) changeRollout(command *machine.Command, reply *RolloutReply) error {
	result, status := s.propose(command)
	reply.Status = status
	reply.Refusal = string(result.Refusal)
	reply.Record = result.Rollout
	if status.OK() {
		s.fleet.mu.Lock()
		s.fleet.note()
		s.fleet.mu.Unlock()
	}
	return nil
}

// ReadRollout returns a pool's latest rollout.
func (s *Service) ReadRollout(args *ReadRolloutArgs, reply *RolloutReply) error {
	term, status := s.read()
	if !status.OK() {
		reply.Status = status
		return nil
	}
	if record, known := s.machine.Rollout(args.Pool); known {
		reply.Record = &record
	}
	reply.Status = s.stillServing(term)
	return nil
}
