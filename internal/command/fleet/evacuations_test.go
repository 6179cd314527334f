package fleet

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// listZones makes the leader distribute one upstream of the pool p in each data centre.
func (f *syncFleet) listZones(zones ...ident.Zone) {
	var found []control.Discovered
	for _, zone := range zones {
		found = append(found, control.Discovered{
			Name:     ident.UpstreamName("u" + string(zone)),
			Upstream: config.Upstream{Pool: "p", Address: "10.9.0.1:80", Version: "v-" + ident.VersionName(zone), Zone: zone, MaxConcurrent: 4},
		})
	}
	f.leader.SetUpstreams(found, true)
}

func (f *syncFleet) evacuate(zone ident.Zone, end bool) {
	var reply control.EvacuateReply
	must.NoError(f.t, f.leader.Evacuate(&control.EvacuateArgs{Order: evacuation.Order{Zone: zone, End: end}}, &reply))
	must.Eq(f.t, control.EvacuateReply{}, reply)
}

// usable returns which of the upstreams may get requests of a node, by data centre.
func usable(n *Node, zones ...ident.Zone) (usable []ident.Zone) {
	for _, zone := range zones {
		if _, ok := n.Upstream(ident.UpstreamName("u" + string(zone))); ok {
			usable = append(usable, zone)
		}
	}
	return usable
}

// TestEvacuate_InForceAtGateways guards against an evacuation that takes longer than its target to
// reach a gateway, and against a version that gets no traffic although it is the only one left, or
// gets a share although its upstreams are evacuated.
func TestEvacuate_InForceAtGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		nodes := []*Node{f.node(0), f.node(1)}
		defer f.stop(nodes...)
		f.listZones("a", "b", "c")
		time.Sleep(3 * time.Second)
		for _, zone := range []ident.Zone{"a", "b", "c"} {
			must.NoError(t, nodes[0].Evacuate(t.Context(), evacuation.Order{Zone: zone}, boottime.Now()))
			must.NoError(t, nodes[1].Evacuate(t.Context(), evacuation.Order{Zone: zone}, boottime.Now()))
			time.Sleep(time.Second)
			for _, n := range nodes {
				must.SliceNotContains(t, usable(n, "a", "b", "c"), zone)
				must.Len(t, 2, usable(n, "a", "b", "c"))
				must.SliceNotContains(t, n.versions("p"), "v-"+ident.VersionName(zone))
				must.Error(t, n.permitRelayTo(ident.UpstreamName("u"+string(zone))))
				names, all := n.Evacuated("p")
				must.Eq(t, []ident.UpstreamName{ident.UpstreamName("u" + string(zone))}, names)
				must.False(t, all)
				must.Eq(t, 1, n.evacuatedZones())
			}
			must.NoError(t, nodes[1].Evacuate(t.Context(), evacuation.Order{Zone: zone, End: true}, boottime.Now()))
			time.Sleep(time.Second)
			must.Len(t, 3, usable(nodes[0], "a", "b", "c"))
		}
		for _, zone := range []ident.Zone{"a", "b", "c"} {
			must.NoError(t, nodes[0].Evacuate(t.Context(), evacuation.Order{Zone: zone}, boottime.Now()))
		}
		time.Sleep(time.Second)
		_, all := nodes[0].Evacuated("p")
		must.True(t, all)
	})
}

// permitRelayTo is permitRelay for the address of an upstream.
func (n *Node) permitRelayTo(name ident.UpstreamName) error {
	d := n.upstreams.Load().byName[name]
	if _, evacuated := n.follower.Evacuation(d.Upstream.Zone); !evacuated {
		return nil
	}
	return n.permitRelay(d.Upstream.Address)
}

// TestEvacuate_CutOffGateway guards against a gateway that was cut off from the replicas during an
// evacuation, and by its next proof of contact sends to an upstream there.
func TestEvacuate_CutOffGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		n := f.node(0)
		defer f.stop(n)
		f.listZones("a", "b")
		time.Sleep(3 * time.Second)
		f.cut(true)
		f.evacuate("a", false)
		cutAt := boottime.Now()
		f.loops.Go(func() {
			sleep(f.ctx, 6*time.Second)
			f.cut(false)
		})
		renewed := false
		for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(time.Millisecond) {
			age, known, _ := n.proof.age(boottime.Now())
			if known && boottime.Now()-age > cutAt {
				renewed = true
				must.Eq(t, []ident.Zone{"b"}, usable(n, "a", "b"))
			}
		}
		must.True(t, renewed)
	})
}

// TestEvacuate_UnknownDataCentre guards against an order that is refused for good because the node
// that got it has not heard of the data centre yet, or no longer.
func TestEvacuate_UnknownDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		n := f.newNode(0)
		f.listZones("a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		err := n.Evacuate(ctx, evacuation.Order{Zone: "a"}, boottime.Now())
		must.Error(t, err)
		must.False(t, errors.Is(err, ErrUnknownZone))
		f.loops.Go(n.syncLoop)
		defer f.stop(n)
		time.Sleep(3 * time.Second)
		must.NoError(t, n.Evacuate(ctx, evacuation.Order{Zone: "a"}, boottime.Now()))
		for _, zone := range []ident.Zone{"", "b"} {
			must.ErrorIs(t, n.Evacuate(ctx, evacuation.Order{Zone: zone}, boottime.Now()), ErrUnknownZone)
			must.ErrorIs(t, n.Evacuate(ctx, evacuation.Order{Zone: zone, End: true}, boottime.Now()), ErrUnknownZone)
		}
		// Its last upstream has gone, and the evacuation can still be ended.
		f.listZones("c")
		time.Sleep(3 * time.Second)
		must.NoError(t, n.Evacuate(ctx, evacuation.Order{Zone: "a", End: true}, boottime.Now()))
		f.cut(true)
		time.Sleep(2 * zonesMaxAge)
		err = n.Evacuate(ctx, evacuation.Order{Zone: "b"}, boottime.Now())
		must.Error(t, err)
		must.False(t, errors.Is(err, ErrUnknownZone))
	})
}

// TestEvacuate_EightyFourGateways guards against an order that takes longer than a second until it is
// acknowledged, or until it is in force at each gateway of a usual fleet.
func TestEvacuate_EightyFourGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncFleet(t)
		var nodes []*Node
		for i := range 84 {
			nodes = append(nodes, f.node(i))
		}
		defer func() { f.stop(nodes...) }()
		f.listZones("a", "b")
		time.Sleep(5 * time.Second)
		for _, n := range nodes {
			must.Len(t, 2, usable(n, "a", "b"))
		}
		ordered := time.Now()
		must.NoError(t, nodes[0].Evacuate(t.Context(), evacuation.Order{Zone: "a"}, boottime.Now()))
		acknowledged := time.Now()
		must.Less(t, time.Second, acknowledged.Sub(ordered))
		for i := 0; i < len(nodes); {
			if len(usable(nodes[i], "a")) == 0 {
				i++
				continue
			}
			must.Less(t, time.Second, time.Since(acknowledged))
			time.Sleep(5 * time.Millisecond)
		}
		t.Logf("acknowledged after %s, in force at all after %s more", acknowledged.Sub(ordered), time.Since(acknowledged))
	})
}
