package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// Heartbeat grants or renews a node lease and returns the updates that the node
// lacks.
//
// The node's lease counts from when it sent the heartbeat. This replica led after
// that, and a later leader gives every lease a full TTL from the start of its own
// term, so that a renewal is safe even if the leadership ends before the reply is
// sent.
func (s *Service) Heartbeat(args *HeartbeatArgs, reply *HeartbeatReply) error {
	s.clock.Observe(args.Stamp)
	reply.Stamp = s.clock.Now(time.Now())
	term, status := s.serving()
	if !status.OK() {
		reply.Status = status
		return nil
	}
	decision := s.receive(args, term)
	if decision.commit {
		status = s.grant(term, args.Node)
		decision.leased = status.OK()
	}
	reply.Status = status
	reply.Superseded = decision.superseded
	if !status.OK() || decision.superseded {
		return nil
	}
	if decision.leased {
		reply.TTL = NodeTTL
	}
	reply.Update = s.machine.ConfigUpdate(args.HaveRevision)
	reply.Revision = args.HaveRevision
	if reply.Update != nil {
		reply.Revision = reply.Update.To
	}
	reply.View = s.machine.ViewFrom(args.HaveView)
	if args.WantLoads {
		reply.Loads = s.loads()
	}
	return nil
}

// heartbeatDecision is the leader's decision on a heartbeat: leased means that
// the node holds a lease, commit that a grant must be committed first, and
// superseded that a later incarnation of the node is known.
type heartbeatDecision struct {
	leased     bool
	commit     bool
	superseded bool
}

// receive records a heartbeat in the leader's memory and decides how to
// answer it.
//
// The committed lease is read under the lock: if the node is not marked as
// revoking, no revocation of its lease is in progress.
func (s *Service) receive(args *HeartbeatArgs, term uint64) heartbeatDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Heartbeats++
	if s.term != term {
		return heartbeatDecision{}
	}
	if args.Node.ID != s.self {
		s.lastOtherHeartbeat = time.Now()
	}
	committed, leased := s.machine.Node(args.Node.ID)
	state := s.nodes[args.Node.ID]
	if state == nil {
		state = &nodeState{incarnation: args.Node.Incarnation, lastHeartbeat: time.Now()}
		s.nodes[args.Node.ID] = state
	}
	switch {
	case state.revoking || state.granting:
		return heartbeatDecision{}
	case leased && committed.Incarnation > args.Node.Incarnation:
		return heartbeatDecision{superseded: true}
	case leased && committed.Incarnation < args.Node.Incarnation:
		state.superseded = true
		return heartbeatDecision{}
	case leased && state.superseded:
		return heartbeatDecision{superseded: true}
	case !leased:
		*state = nodeState{incarnation: args.Node.Incarnation, lastHeartbeat: time.Now(), granting: true}
		state.update(args)
		return heartbeatDecision{commit: true}
	}
	state.lastHeartbeat = time.Now()
	state.update(args)
	wanted := keepDraining(args.Node, committed)
	state.granting = wanted != committed
	return heartbeatDecision{leased: true, commit: state.granting}
}

// keepDraining keeps the draining mark of the committed lease, which an operator
// may have set at the leader.
func keepDraining(asked, committed lease.Node) lease.Node {
	asked.Draining = asked.Draining || committed.Draining
	return asked
}

func (n *nodeState) update(args *HeartbeatArgs) {
	n.reported = true
	n.revision = args.HaveRevision
	n.view = args.HaveView
	n.load = args.Load
	n.features = args.Features
}

// grant commits a node lease or its new attributes.
func (s *Service) grant(term uint64, node lease.Node) Status {
	if committed, leased := s.machine.Node(node.ID); leased && committed.Incarnation == node.Incarnation {
		node = keepDraining(node, committed)
	}
	result, status := s.proposeIn(term, &machine.Command{GrantNode: &machine.GrantNode{Node: node}})
	s.mu.Lock()
	defer s.mu.Unlock()
	if state := s.nodes[node.ID]; state != nil {
		state.granting = false
	}
	if status.OK() && result.Refusal != "" {
		return Status{NotLeader: true, Redirect: s.self, Detail: string(result.Refusal)}
	}
	s.counters.Grants++
	return status
}

// expireNodes revokes leases that have certainly ended. While the outcome of the
// revocation is unknown, the nodes get no renewal and the next tick retries it.
func (s *Service) expireNodes(term uint64) {
	ended := s.expired(time.Now())
	if len(ended) == 0 {
		return
	}
	command := &machine.Command{RevokeNodes: &machine.RevokeNodes{Nodes: ended}}
	if _, status := s.proposeIn(term, command); !status.OK() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, node := range ended {
		s.counters.Revocations++
		delete(s.nodes, node.ID)
	}
}

// expired returns the nodes whose lease has ended at the time now, and marks them
// as revoking.
func (s *Service) expired(now time.Time) []machine.RevokedNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes == nil {
		return nil
	}
	nodes := s.machine.Nodes()
	var ended []machine.RevokedNode
	for _, node := range nodes {
		state := s.nodes[node.ID]
		if state == nil {
			state = &nodeState{incarnation: node.Incarnation, lastHeartbeat: now}
			s.nodes[node.ID] = state
		}
		if state.granting || now.Sub(state.lastHeartbeat) <= NodeTTL+s.margin {
			continue
		}
		state.revoking = true
		ended = append(ended, machine.RevokedNode{ID: node.ID, Incarnation: node.Incarnation})
	}
	return ended
}

// loads returns the loads that live nodes reported.
func (s *Service) loads() []NodeLoad {
	nodes := s.machine.Nodes()
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make([]NodeLoad, 0, len(nodes))
	for _, node := range nodes {
		if state := s.nodes[node.ID]; state != nil && state.reported {
			loads = append(loads, NodeLoad{Node: node.ID, Load: state.load})
		}
	}
	return loads
}

// Drain marks a node as draining at an operator's request. It refuses an unknown
// node and one whose replica is needed for a quorum.
func (s *Service) Drain(args *DrainArgs, reply *DrainReply) error {
	if _, status := s.readBarrier(); !status.OK() {
		reply.Status = status
		return nil
	}
	node, leased := s.machine.Node(args.Node)
	if !leased {
		reply.Refusal = machine.RefusedUnknown
		return nil
	}
	if s.neededForQuorum(args.Node) {
		reply.Refusal = machine.RefusedQuorum
		return nil
	}
	node.Draining = true
	result, status := s.propose(&machine.Command{GrantNode: &machine.GrantNode{Node: node}})
	reply.Status = status
	reply.Refusal = result.Refusal
	return nil
}

// nodeStatus returns the status of the live nodes.
func (s *Service) nodeStatus() []NodeStatus {
	nodes := s.machine.Nodes()
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]NodeStatus, 0, len(nodes))
	for _, node := range nodes {
		status := NodeStatus{Node: node}
		if state := s.nodes[node.ID]; state != nil {
			status.Revision = state.revision
			status.Load = state.load
			status.Silent = now.Sub(state.lastHeartbeat)
		}
		list = append(list, status)
	}
	return list
}
