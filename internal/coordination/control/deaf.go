package control

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// deafAfter is how long a leader may hear from no other node before it hands
// over. It is less than a node's lease, so that no lease ends meanwhile.
const deafAfter = NodeTTL - HeartbeatInterval

// Resigner is a proposer that can hand over its leadership.
type Resigner interface {
	// Resign returns when the leadership is gone or can't be handed over.
	Resign(ctx context.Context)
}

// resignIfDeaf hands over the leadership when no other node's heartbeat has
// come for a while although the log still commits: the others live, but can't
// reach this replica. It tries once a term, and reports whether it tried.
func (s *Service) resignIfDeaf(term uint64) bool {
	resigner, ok := s.proposer.(Resigner)
	if !ok || !s.becameDeaf(term, time.Now()) {
		return false
	}
	klog.InfoS("no other node reaches this leader, handing over", "replica", s.self, "term", term)
	resigner.Resign(context.Background())
	return true
}

// becameDeaf reports whether no other node's heartbeat has come for too long,
// once a term. A heartbeat counts whatever becomes of it: after a restart the
// leases are still those of former incarnations.
func (s *Service) becameDeaf(term uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.term != term || s.resigned == term || now.Sub(s.heardOther) <= deafAfter {
		return false
	}
	others := slices.ContainsFunc(s.machine.Nodes(), func(n lease.Node) bool { return n.ID != s.self })
	if others {
		s.resigned = term
	}
	return others
}
