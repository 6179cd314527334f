package control

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// maxHeartbeatSilence is how long a leader may hear from no other node before it hands
// over. It is less than a node's lease, so that no lease ends meanwhile.
const maxHeartbeatSilence = NodeTTL - HeartbeatInterval

// Resigner is a proposer that can hand over its leadership.
type Resigner interface {
	// Resign returns when the leadership is gone or can't be handed over.
	Resign(ctx context.Context)
}

// resignIfUnreachable hands over the leadership when no other node's heartbeat has
// come for a while although the log still commits: the others live, but can't
// reach this replica. It tries once a term, and reports whether it tried.
func (s *Service) resignIfUnreachable(term uint64) bool {
	resigner, ok := s.proposer.(Resigner)
	if !ok || !s.markUnreachable(term, time.Now()) {
		return false
	}
	klog.InfoS("no other node reaches this leader, handing over", "replica", s.self, "term", term)
	resigner.Resign(context.Background())
	return true
}

// markUnreachable reports whether no other node's heartbeat has come for too long,
// once a term. A heartbeat counts whatever becomes of it: after a restart the
// leases are still those of former incarnations.
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
