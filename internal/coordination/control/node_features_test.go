package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// beat sends a heartbeat of a node in data centre "a" that states a feature level.
func beat(t *testing.T, r *replica, id ident.NodeID, incarnation ident.Incarnation, level uint32, have uint64) HeartbeatReply {
	t.Helper()
	args := &HeartbeatArgs{Node: lease.Node{ID: id, Incarnation: incarnation, Zone: "a"}, Features: level, HaveView: have}
	var reply HeartbeatReply
	must.NoError(t, r.service.Heartbeat(args, &reply))
	return reply
}

// TestUnsupporting guards against a level that is raised beside a node or voter of an older
// build, or one whose build isn't known.
func TestUnsupporting(t *testing.T) {
	live := []lease.Node{{ID: "n1"}, {ID: "n2"}, {ID: "n3"}}
	voter := func(id ident.NodeID, role consensus.Role) consensus.Member {
		return consensus.Member{Replica: consensus.Replica{ID: id}, Role: role}
	}
	replicas := []consensus.Member{voter("n1", consensus.RoleVoter), voter("r4", consensus.RoleVoter), voter("r5", consensus.RoleLearner)}
	stated := map[ident.NodeID]uint32{"n1": 1, "n2": 0}
	must.Eq(t, []ident.NodeID{"n2", "n3", "r4"}, unsupporting(live, replicas, stated, 1))
	must.SliceEmpty(t, unsupporting(live, replicas, map[ident.NodeID]uint32{"n1": 1, "n2": 2, "n3": 1, "r4": 1}, 1))
}

// TestIsKnownZone guards against an order for a mistyped name that is accepted, and against
// an evacuation that can't be ended because its data centre has no upstreams any more.
func TestIsKnownZone(t *testing.T) {
	cfg := &config.Config{Upstreams: map[ident.UpstreamName]config.Upstream{"u": {Zone: "b"}, "v": {}}}
	live := []lease.Node{{ID: "n1", Zone: "a"}, {ID: "n2"}}
	evacuated := []evacuation.Record{{Zone: "gone"}}
	for zone, known := range map[ident.Zone]bool{"a": true, "b": true, "gone": true, "": false, "c": false, "B": false} {
		must.Eq(t, known, isKnownZone(cfg, live, evacuated, zone), must.Sprint(zone))
	}
}

// TestEvacuate_BeforeAllNodesStateTheLevel guards against an evacuation beside a node of an
// older build, which would go on sending, and against one that a node learns of only after
// its lease is renewed.
func TestEvacuate_BeforeAllNodesStateTheLevel(t *testing.T) {
	c := newCluster("r1")
	leader := c.replicas[0]
	leader.service.Tick()
	must.Eq(t, machine.RefusedUnknown, order(t, leader, "a", false).Refusal)
	leader.service.Tick()
	must.Zero(t, leader.machine.Features())

	beat(t, leader, "n1", 1, 1, 0)
	beat(t, leader, "n2", 1, 0, 0)
	leader.service.Tick()
	refused := order(t, leader, "a", false)
	must.Eq(t, machine.RefusedFeatures, refused.Refusal)
	must.Eq(t, []ident.NodeID{"n2"}, refused.Waiting)
	must.SliceEmpty(t, leader.machine.Evacuations())

	beat(t, leader, "n2", 1, 1, 0)
	leader.service.Tick()
	must.Eq(t, evacuationLevel, leader.machine.Features())
	have := leader.machine.ViewSequence()
	must.Nil(t, beat(t, leader, "n1", 1, 1, have).View)
	must.Eq(t, EvacuateReply{}, order(t, leader, "a", false))
	renewed := beat(t, leader, "n1", 1, 1, have)
	must.Positive(t, renewed.TTL)
	must.Eq(t, leader.machine.Evacuations(), renewed.View.Evacuations)

	// The level never falls, and unknown names change nothing at that level either.
	beat(t, leader, "n3", 1, 0, 0)
	leader.service.Tick()
	must.Eq(t, evacuationLevel, leader.machine.Features())
	must.Eq(t, machine.RefusedUnknown, order(t, leader, "c", false).Refusal)
	must.Eq(t, machine.RefusedUnknown, order(t, leader, "c", true).Refusal)
	var status StatusReply
	must.NoError(t, leader.service.Status(&StatusArgs{}, &status))
	must.Len(t, 1, status.Evacuations)
	must.Eq(t, EvacuateReply{}, order(t, leader, "a", true))
	must.SliceEmpty(t, leader.machine.Evacuations())
}
