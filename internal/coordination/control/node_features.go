package control

import (
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// nodesWithout returns the nodes with a lease, and the voters, that have not stated to this
// leader that they support a feature level.
func (s *Service) nodesWithout(level uint32) []ident.NodeID {
	live, replicas := s.machine.Nodes(), s.members()
	s.mu.Lock()
	defer s.mu.Unlock()
	stated := make(map[ident.NodeID]uint32, len(live))
	for _, node := range live {
		if state := s.nodes[node.ID]; state != nil && state.reported && state.incarnation == node.Incarnation {
			stated[node.ID] = state.features
		}
	}
	return unsupporting(live, replicas, stated, level)
}

// unsupporting returns the live nodes and the voters that have not stated a feature level,
// in order. A voter without a lease is one of them, whatever it has stated before: it may
// have been replaced by an older build since.
func unsupporting(live []lease.Node, replicas []consensus.Member, stated map[ident.NodeID]uint32, level uint32) []ident.NodeID {
	var missing []ident.NodeID
	for _, node := range live {
		if stated[node.ID] < level {
			missing = append(missing, node.ID)
		}
	}
	for _, r := range replicas {
		if r.Role == consensus.RoleVoter && stated[r.Replica.ID] < level {
			missing = append(missing, r.Replica.ID)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}

// knowsZone reports whether a data centre is known to the daemon's nodes.
func (s *Service) knowsZone(zone ident.Zone) bool {
	cfg, _, _ := s.machine.Config()
	return isKnownZone(&cfg, s.machine.Nodes(), s.machine.Evacuations(), zone)
}

// isKnownZone reports whether a data centre has configured upstreams or live nodes, or is
// evacuated, so that its evacuation can be ended when they are gone.
func isKnownZone(c *config.Config, live []lease.Node, evacuations []evacuation.Record, zone ident.Zone) bool {
	if zone == "" {
		return false
	}
	if _, evacuated := evacuation.Find(evacuations, zone); evacuated {
		return true
	}
	for _, u := range c.Upstreams {
		if u.Zone == zone {
			return true
		}
	}
	return slices.ContainsFunc(live, func(n lease.Node) bool { return n.Zone == zone })
}
