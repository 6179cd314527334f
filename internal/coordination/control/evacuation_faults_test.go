package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// gatewaySync sends one sync of a gateway to a replica and applies the reply.
func gatewaySync(t must.T, f *FleetFollower, r *replica, id ident.NodeID) bool {
	t.Helper()
	var reply SyncReply
	must.NoError(t, r.service.Sync(f.Args(Member{ID: id, Incarnation: 1, Features: 1}, Known{}, time.Millisecond), &reply))
	_, err := f.HandleReply(time.Second, &reply)
	must.NoError(t, err)
	return reply.OK()
}

func evacuatedAt(f *FleetFollower, zone ident.Zone) bool {
	_, evacuated := f.Evacuation(zone)
	return evacuated
}

// TestEvacuate_CutOffGateways guards against gateways that were cut off or frozen during an
// evacuation and send again by a contact that didn't tell them of it: half of the gateways miss the
// order, one of them the leader's change too.
func TestEvacuate_CutOffGateways(t *testing.T) {
	c := fleetCluster(map[ident.NodeID]uint32{"r1": 1, "r2": 1, "g1": 1, "g2": 1, "g3": 1, "g4": 1})
	ids := []ident.NodeID{"g1", "g2", "g3", "g4"}
	followers := make([]*FleetFollower, len(ids))
	for i, id := range ids {
		followers[i] = &FleetFollower{}
		must.True(t, gatewaySync(t, followers[i], c.replicas[0], id))
	}
	for _, zone := range []ident.Zone{"a", "b", "c"} {
		must.Eq(t, EvacuateReply{}, order(t, c.replicas[0], zone, false))
		for i := range 2 {
			must.True(t, gatewaySync(t, followers[i], c.replicas[0], ids[i]))
			must.True(t, evacuatedAt(followers[i], zone))
		}
		must.False(t, evacuatedAt(followers[2], zone))
		must.True(t, gatewaySync(t, followers[2], c.replicas[0], ids[2]))
		must.True(t, evacuatedAt(followers[2], zone))
		if zone != "c" {
			must.Eq(t, EvacuateReply{}, order(t, c.replicas[0], zone, true))
		}
	}
	next := c.replicas[1]
	c.elect(next)
	c.replicas[0].service.Tick()
	must.False(t, gatewaySync(t, followers[3], c.replicas[0], ids[3]))
	next.service.Tick()
	must.True(t, gatewaySync(t, followers[3], next, ids[3]))
	must.True(t, evacuatedAt(followers[3], "c"))
	must.False(t, evacuatedAt(followers[3], "a"))
}

// TestEvacuate_NotInCachedUpdates guards against a gateway whose renewed contact comes with an update
// that was packed just before an evacuation was acknowledged.
func TestEvacuate_NotInCachedUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fleetCluster(map[ident.NodeID]uint32{"r1": 1, "r2": 1, "g1": 1, "g2": 1})
		early, late := &FleetFollower{}, &FleetFollower{}
		must.True(t, gatewaySync(t, early, c.replicas[0], "g1"))
		must.Eq(t, EvacuateReply{}, order(t, c.replicas[0], "a", false))
		must.True(t, gatewaySync(t, late, c.replicas[0], "g2"))
		must.True(t, evacuatedAt(late, "a"))
	})
}

// TestEvacuate_SenderGone guards against a start that a slow leader commits after its sender has
// given it up, and has ended the evacuation through another call.
func TestEvacuate_SenderGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := fleetCluster(map[ident.NodeID]uint32{"r1": 1, "r2": 1})
		leader := c.replicas[0]
		slow := NewService("r1", &slowBarrier{replica: leader, delay: time.Second}, leader.machine)
		slow.EnableFleet(func() FleetState { return FleetState{} })
		slow.Tick()
		var reply EvacuateReply
		args := &EvacuateArgs{Order: evacuation.Order{Zone: "a"}, Patience: 950 * time.Millisecond}
		must.NoError(t, slow.Evacuate(args, &reply))
		must.False(t, reply.OK())
		must.SliceEmpty(t, leader.machine.Evacuations())
		args.Patience = 2 * time.Second
		reply = EvacuateReply{}
		must.NoError(t, slow.Evacuate(args, &reply))
		must.True(t, reply.OK())
		must.Len(t, 1, leader.machine.Evacuations())
	})
}

// slowBarrier is a replica that takes a while to confirm that it leads.
type slowBarrier struct {
	*replica
	delay time.Duration
}

// ReadBarrier implements consensus.Proposer.
func (s *slowBarrier) ReadBarrier(ctx context.Context) error {
	time.Sleep(s.delay)
	return s.replica.ReadBarrier(ctx)
}

// TestEvacuate_SurvivesRestartOfAll guards against an evacuation that a replica restored from a
// snapshot, as after a restart of all or as a replacement, doesn't have.
func TestEvacuate_SurvivesRestartOfAll(t *testing.T) {
	c := fleetCluster(map[ident.NodeID]uint32{"r1": 1, "r2": 1})
	must.Eq(t, EvacuateReply{}, order(t, c.replicas[0], "a", false))
	must.Eq(t, EvacuateReply{}, order(t, c.replicas[0], "b", false))
	must.Eq(t, EvacuateReply{}, order(t, c.replicas[0], "b", true))
	image, err := c.replicas[0].machine.Snapshot()
	must.NoError(t, err)
	next := c.replicas[1]
	must.NoError(t, next.machine.Restore(image))
	next.appliedIndex = len(c.log)
	c.elect(next)
	next.service.Tick()
	var reply ReadEvacuationsReply
	must.NoError(t, next.service.ReadEvacuations(&ReadEvacuationsArgs{}, &reply))
	must.True(t, reply.OK())
	must.Len(t, 1, reply.Evacuations)
	must.Eq(t, ident.Zone("a"), reply.Evacuations[0].Zone)
	must.Eq(t, "operator", reply.Evacuations[0].By)
	must.Len(t, 1, fullState(t, next.service.fleet).Evacuations)
}
