package control

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// evacuationInput is one operation on the evacuations; an empty zone stands for a read.
type evacuationInput struct {
	zone ident.Zone
	end  bool
}

// evacuationModel has the bits of the evacuated data centres in evacuatedZones as its state.
var evacuationModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		set, in := state.(int), input.(evacuationInput)
		if in.zone == "" {
			return output == "?" || output == fmt.Sprint(set), set
		}
		for i, zone := range evacuatedZones {
			switch {
			case zone != in.zone:
			case in.end:
				set &^= 1 << i
			default:
				set |= 1 << i
			}
		}
		return output == "?" || output == "", set
	},
}

var evacuatedZones = []ident.Zone{"a", "b", "c"}

func zoneSet(records []evacuation.Record) int {
	set := 0
	for i, zone := range evacuatedZones {
		if _, evacuated := evacuation.Find(records, zone); evacuated {
			set |= 1 << i
		}
	}
	return set
}

// runEvacuations orders evacuations, repeats the orders unchanged until they are acknowledged, and
// reads the evacuated data centres.
func (h *history) runEvacuations(n *network, client int) {
	for range 8 {
		time.Sleep(time.Duration(n.intN(200)) * time.Millisecond)
		in := evacuationInput{zone: evacuatedZones[n.intN(len(evacuatedZones))], end: n.intN(2) == 0}
		for known, try := false, 0; !known && try < 4; try++ {
			_, known = h.record(n, client, in, func() (Status, string) {
				var reply EvacuateReply
				_ = n.leaderService().Evacuate(&EvacuateArgs{Order: evacuation.Order{Zone: in.zone, End: in.end}}, &reply)
				return reply.Status, string(reply.Refusal)
			})
		}
		h.record(n, client, evacuationInput{}, func() (Status, string) {
			var reply ReadEvacuationsReply
			_ = n.leaderService().ReadEvacuations(&ReadEvacuationsArgs{}, &reply)
			return reply.Status, fmt.Sprint(zoneSet(reply.Evacuations))
		})
	}
}

// TestEvacuations_LinearizableUnderFaults has operators start and end evacuations and repeat the orders
// after lost replies while leaders change. It guards against an order that takes effect after a later
// one was acknowledged, and against a read of an older set.
func TestEvacuations_LinearizableUnderFaults(t *testing.T) {
	for _, seed := range seeds(t, 10) {
		synctest.Test(t, func(t *testing.T) {
			b := newBackground(t)
			n := newNetwork(seed)
			for _, r := range n.replicas {
				r.service.EnableFleet(func() FleetState { return FleetState{} })
			}
			n.append((&machine.Command{SetFeatures: &machine.SetFeatures{Level: machine.FeatureLevel}}).Encode())
			n.start(t, b)
			time.Sleep(2 * time.Second)
			h := &history{}
			var operators sync.WaitGroup
			for i := range 4 {
				operators.Go(func() { h.runEvacuations(n, i) })
			}
			operators.Wait()
			b.stop()
			acknowledged := 0
			for _, op := range h.ops {
				if op.Output != "?" {
					acknowledged++
				}
			}
			must.Greater(t, 20, acknowledged)
			must.True(t, porcupine.CheckOperations(evacuationModel, h.ops), must.Sprint("seed ", seed))
		})
	}
}
