package operator

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/command/agent"
	"github.com/flamingohaven/flamingohaven/internal/command/settings"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

func TestLeaderCollector_OnlyTheLeaderExports(t *testing.T) {
	status := control.StatusReply{Leader: "a", Revision: 7, Moves: []move.Record{{Name: "m", Pool: "p", State: move.StateCanary, Share: 0.02}}}
	familyCount := func(self ident.NodeID, fail error) int {
		r := prometheus.NewRegistry()
		r.MustRegister(newLeaderCollector(self, func(context.Context) (control.StatusReply, error) { return status, fail }))
		families, err := r.Gather()
		must.NoError(t, err)
		return len(families)
	}
	must.Eq(t, 10, familyCount("a", nil))
	must.Zero(t, familyCount("b", nil))
	must.Zero(t, familyCount("a", errors.New("no leader")))
}

// testNode implements Node and serves the RPC methods Node.Events and Node.InFlight.
type testNode struct {
	events   []timeline.Event
	inFlight map[ident.Zone]int
}

func (n *testNode) Fresh() bool                      { return false }
func (n *testNode) Addresses() callerapi.AddressList { return callerapi.AddressList{} }

func (n *testNode) Events(_ *agent.EventsArgs, reply *agent.EventsReply) error {
	reply.Events = n.events
	return nil
}

func (n *testNode) InFlight(_ *agent.InFlightArgs, reply *agent.InFlightReply) error {
	reply.Zones = n.inFlight
	return nil
}

func serveNode(t *testing.T, n *testNode) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := rpcnet.NewServer(l)
	must.NoError(t, server.Register("Node", n))
	go server.Serve()
	t.Cleanup(server.Close)
	return l.Addr().String()
}

// TestTimeline_NoLeaderAndOneNodeDown checks that the timeline merges the events of
// the reachable nodes and names the unreachable one.
func TestTimeline_NoLeaderAndOneNodeDown(t *testing.T) {
	later := &testNode{events: []timeline.Event{{Node: "b", Stamp: timeline.Stamp{Wall: 2}}}}
	earlier := &testNode{events: []timeline.Event{{Node: "c", Stamp: timeline.Stamp{Wall: 1}}}}
	s := &settings.Settings{
		Node:              "c",
		InternalAdvertise: serveNode(t, earlier),
		Replicas:          []settings.Replica{{ID: "a", Address: "127.0.0.1:1"}, {ID: "b", Address: serveNode(t, later)}},
	}
	rpcClient := rpcnet.NewClient()
	defer rpcClient.Close()
	b := &backend{settings: s, node: earlier, rpcClient: rpcClient}
	caller := newReplicaCaller(rpcClient, s.Replicas)
	b.Client = control.NewClient(caller, caller.ids())
	events, missing := b.Timeline(t.Context(), timeline.Filter{})
	must.Eq(t, []ident.NodeID{"a"}, missing)
	must.Len(t, 2, events)
	must.Eq(t, "c", events[0].Node)
	must.Error(t, b.Ready())
}

// TestInFlight_OneNodeDown guards against a sum that counts a node twice, which is a replica
// and live, or that passes over a node without naming it.
func TestInFlight_OneNodeDown(t *testing.T) {
	replica := serveNode(t, &testNode{inFlight: map[ident.Zone]int{"z1": 2, "z2": 1}})
	gateway := serveNode(t, &testNode{inFlight: map[ident.Zone]int{"z1": 5}})
	s := &settings.Settings{Node: "b", InternalAdvertise: replica, Replicas: []settings.Replica{{ID: "a", Address: "127.0.0.1:1"}, {ID: "b", Address: replica}}}
	rpcClient := rpcnet.NewClient()
	defer rpcClient.Close()
	live := []control.NodeStatus{{Node: lease.Node{ID: "b", InternalAddress: replica}}, {Node: lease.Node{ID: "g", InternalAddress: gateway}}}
	sum, missing := (&backend{settings: s, rpcClient: rpcClient}).InFlight(t.Context(), live)
	must.Eq(t, map[ident.Zone]int{"z1": 7, "z2": 1}, sum)
	must.Eq(t, []ident.NodeID{"a"}, missing)
}
