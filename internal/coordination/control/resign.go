package control

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// maxHeartbeatSilence is how long a leader may receive no heartbeat from any
// other node before it hands over its leadership. It is shorter than a node's
// lease, so that no lease ends before the handover.
const maxHeartbeatSilence = NodeTTL - HeartbeatInterval

// Resigner is a proposer that can hand over its leadership.
type Resigner interface {
	// Resign returns once the leadership is handed over or cannot be handed over.
	Resign(ctx context.Context)
}

// resignIfUnreachable hands over the leadership if no other node's heartbeat has
// arrived for longer than maxHeartbeatSilence. As the log still commits, the
// other nodes are alive but cannot connect to this replica. It tries once per
// term, and reports whether it tried.
func (s *Service) resignIfUnreachable(term uint64) bool {
	resigner, ok := s.proposer.(Resigner)
	if !ok || !s.markUnreachable(term, time.Now()) {
		return false
	}
	klog.InfoS("no heartbeats from other nodes, handing over leadership", "replica", s.self, "term", term)
	resigner.Resign(context.Background())
	return true
}

// markUnreachable reports whether no other node's heartbeat has arrived for
// longer than maxHeartbeatSilence, and does so once per term. Every heartbeat
// counts, even one that renews no lease: after a restart of all nodes the leases
// are still those of former incarnations.
func (s *Service) markUnreachable(term uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term || s.resignedTerm == term || now.Sub(s.lastOtherHeartbeat) <= maxHeartbeatSilence {
		return false
	}
	others := slices.ContainsFunc(s.machine.Nodes(), func(n lease.Node) bool { return n.ID != s.self })
	if others {
		s.resignedTerm = term
	}
	return others
}
