package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/shard"
)

func gatewayFleet(count int) []control.Member {
	var members []control.Member
	for i := range count {
		s := Settings{IP: fmt.Sprintf("10.%d.0.%d", 1+i%5, i/5), InternalPort: 7600}
		members = append(members, control.Member{ID: s.ID(), InternalAddress: s.address(s.ID()), CallerAddress: "c"})
	}
	return members
}

// TestSchedulerAddress_LargeFleet lets each of 291 gateways choose its scheduler: eight
// share the work, and when one of them doesn't answer, drains or is gone, only the
// gateways of its shard turn to another one, all to the same.
func TestSchedulerAddress_LargeFleet(t *testing.T) {
	now := time.Now()
	members := gatewayFleet(291)
	choose := func(members []control.Member, suspect string) map[string]string {
		chosen := make(map[string]string)
		for _, m := range members {
			n := &Node{settings: Settings{IP: string(m.ID), InternalPort: 7600}, shards: shard.Count(len(members), 0)}
			n.suspects = map[string]time.Time{suspect: now.Add(suspectDuration)}
			chosen[m.InternalAddress] = n.schedulerAddress(members, now)
		}
		return chosen
	}
	before := choose(members, "")
	served := make(map[string]int)
	for _, scheduler := range before {
		served[scheduler]++
	}
	must.MapLen(t, 8, served)
	for scheduler, gateways := range served {
		must.Between(t, 25, gateways, 48, must.Sprint(scheduler))
		must.Eq(t, scheduler, before[scheduler], must.Sprint("a scheduler uses itself"))
		var without, draining []control.Member
		for _, m := range members {
			if m.InternalAddress != scheduler {
				without, draining = append(without, m), append(draining, m)
				continue
			}
			m.Draining = true
			draining = append(draining, m)
		}
		for cause, after := range map[string]map[string]string{
			"silent": choose(members, scheduler), "draining": choose(draining, ""), "gone": choose(without, ""),
		} {
			next := make(map[string]bool)
			for gateway, chosen := range after {
				if before[gateway] == scheduler {
					next[chosen] = true
				} else {
					must.Eq(t, before[gateway], chosen, must.Sprint(cause))
				}
			}
			must.MapLen(t, 1, next, must.Sprint(cause))
			must.MapNotContainsKey(t, next, scheduler, must.Sprint(cause))
		}
	}
}

// TestSchedulerAddress_SmallFleet checks that one scheduler serves all gateways of a small
// fleet.
func TestSchedulerAddress_SmallFleet(t *testing.T) {
	members := gatewayFleet(70)
	chosen := make(map[string]bool)
	for _, m := range members {
		n := &Node{settings: Settings{IP: string(m.ID), InternalPort: 7600}, shards: shard.Count(len(members), 0)}
		chosen[n.schedulerAddress(members, time.Now())] = true
	}
	must.MapLen(t, 1, chosen)
}
