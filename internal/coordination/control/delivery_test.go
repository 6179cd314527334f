package control

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
)

// TestDelivery_ComputedOncePerVersion covers a version with many routes more at a leader of
// 300 nodes: while the update was computed for each node, the last ones got it seconds late.
func TestDelivery_ComputedOncePerVersion(t *testing.T) {
	service, _ := newLocalService()
	service.EnableFleet(func() FleetState { return FleetState{} })
	service.Tick()
	apply := func(number uint64, routes int) {
		var reply ApplyNumberedReply
		numbered := config.Numbered{Number: number, Config: manyRoutes(routes), Document: []byte("{}")}
		must.NoError(t, service.ApplyNumbered(&ApplyNumberedArgs{Numbered: numbered}, &reply))
		must.True(t, reply.OK())
	}
	apply(1, 4)
	_, have, _ := service.machine.Config()
	apply(2, 1556)
	first, err := service.configDelivery(have)
	must.NoError(t, err)
	var again ConfigDelivery
	must.Less(t, 5.0, testing.AllocsPerRun(20, func() { again, err = service.configDelivery(have) }))
	must.NoError(t, err)
	must.Eq(t, len(first.Packed), len(again.Packed))

	apply(3, 5)
	next, err := service.configDelivery(have)
	must.NoError(t, err)
	update, err := next.Update()
	must.NoError(t, err)
	must.Eq(t, have+2, update.To)
	_, current, _ := service.machine.Config()
	none, err := service.configDelivery(current)
	must.NoError(t, err)
	must.Nil(t, none.Packed)
}
