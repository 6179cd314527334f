package control

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// TestEvacuationOrders_LateCopies guards against an order about a data centre that was held up and
// undoes one that was accepted after it was sent, and against refusing one that was sent since.
func TestEvacuationOrders_LateCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOrderModel(t)
		type heldOrder struct {
			evacuation.Order
			sentAfter time.Duration
			changes   int
		}
		zones := []ident.Zone{"a", "b"}
		// changes counts the effective orders of each data centre.
		changes := make(map[ident.Zone]int)
		var held []heldOrder
		state := func(zone ident.Zone) bool {
			m.c.leader.catchUp()
			_, evacuated := m.c.leader.machine.Evacuation(zone)
			return evacuated
		}
		give := func(o heldOrder, r *replica) error {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			before := state(o.Zone)
			_, err := Evacuate(ctx, m.client, EvacuateArgs{Order: o.Order, Basis: r.service.EvacuationBasis(o.Zone, o.sentAfter)}, o.sentAfter)
			if state(o.Zone) != before {
				must.Eq(t, o.changes, changes[o.Zone], must.Sprintf("%+v has changed something", o))
				changes[o.Zone]++
			}
			return err
		}
		newOrder := func() heldOrder {
			zone := rapid.SampledFrom(zones).Draw(t, "zone")
			return heldOrder{Order: evacuation.Order{Zone: zone, End: rapid.Bool().Draw(t, "end")}, sentAfter: boottime.Now(), changes: changes[zone]}
		}
		for range rapid.IntRange(5, 50).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "kind") {
			case 0:
				held = append(held, newOrder())
			case 1, 2:
				if len(held) > 0 {
					_ = give(held[rapid.IntRange(0, len(held)-1).Draw(t, "at")], m.receiver())
				}
			case 3, 4:
				o := newOrder()
				must.NoError(t, give(o, m.receiver()))
				must.Eq(t, !o.End, state(o.Zone))
			case 5:
				r := m.receiver()
				r.catchUp()
				r.service.noteEvacuations()
			case 6:
				m.elect()
			}
		}
	})
}

// TestFleet_RolloutsOfNewLeader guards against a version that was rolled back and gets requests
// again for a moment after a change of the leader: the new leader has followed less than it has
// applied.
func TestFleet_RolloutsOfNewLeader(t *testing.T) {
	c := fleetCluster(map[ident.NodeID]uint32{"r1": machine.FeatureLevel, "r2": machine.FeatureLevel})
	var reply RolloutReply
	must.NoError(t, c.replicas[0].service.StartRollout(&StartRolloutArgs{Order: rollout.Order{Pool: "p", Target: "v2", Duration: time.Minute}, Basis: rollout.Basis{Known: true}}, &reply))
	must.NoError(t, c.replicas[0].service.EndRollout(&EndRolloutArgs{End: rollout.End{Pool: "p", Number: 1, State: rollout.StateRolledBack}}, &reply))
	next := c.replicas[1]
	c.elect(next)
	next.catchUp()
	must.True(t, next.service.beginTerm(next.Leadership()))
	known := fullState(t, next.service.fleet).Rollouts
	must.SliceLen(t, 1, known)
	must.Eq(t, rollout.StateRolledBack, known[0].State)
}
