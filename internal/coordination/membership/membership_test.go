package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

func snapshot(version uint64, state State, addresses ...string) Snapshot {
	s := Snapshot{Version: version}
	for _, a := range addresses {
		s.VMs = append(s.VMs, VM{Address: a, State: state})
	}
	return s
}

func TestTracker_StaleListNeitherRemovesNorRestores(t *testing.T) {
	tr := NewTracker(Options{})
	tr.Poll(snapshot(1, StateLive, "10.0.0.1", "10.0.0.2"), 0)
	tr.Poll(Snapshot{Version: 2, VMs: []VM{{"10.0.0.1", StateLeaving}, {"10.0.0.2", StateLive}}}, time.Second)
	for range 100 {
		must.SliceEmpty(t, tr.Poll(snapshot(1, StateLive, "10.0.0.1", "10.0.0.2"), 2*time.Second))
	}
	must.True(t, tr.Stale(time.Hour))
	must.False(t, tr.MayServe("10.0.0.1:80"))
	must.True(t, tr.MayServe("10.0.0.2:80"))
	must.True(t, tr.MayServe("10.0.0.3:80"), must.Sprint("unlisted VMs may serve: the list lags behind new ones"))
	tr.Poll(snapshot(3, StateLive, "10.0.0.1", "10.0.0.2"), time.Hour)
	must.True(t, tr.MayServe("10.0.0.1:80"))
}

func TestTracker_EmptyListRemovesNothing(t *testing.T) {
	tr := NewTracker(Options{})
	tr.Poll(snapshot(1, StateLive, "a", "b", "c"), 0)
	must.SliceEmpty(t, tr.Poll(Snapshot{Version: 2}, 0))
	must.True(t, tr.MayServe("a"))
	tr.Poll(snapshot(3, StateLive, "a", "b"), 0)
	must.False(t, tr.MayServe("c"))
}

// TestTracker_LeavingPersistsUntilNewerLive compares the tracker with an oracle
// that keeps, per VM, the newest version that named it in each state.
func TestTracker_LeavingPersistsUntilNewerLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker(Options{})
		live := map[string]uint64{}
		leaving := map[string]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "polls") {
			s := Snapshot{Version: rapid.Uint64Range(1, 12).Draw(t, "version")}
			for _, a := range []string{"a", "b", "c"} {
				switch rapid.IntRange(0, 2).Draw(t, a) {
				case 0:
					s.VMs = append(s.VMs, VM{a, StateLive})
					live[a] = max(live[a], s.Version)
				case 1:
					s.VMs = append(s.VMs, VM{a, StateLeaving})
					leaving[a] = max(leaving[a], s.Version)
				}
			}
			tr.Poll(s, 0)
			for a, v := range leaving {
				if v >= live[a] && tr.MayServe(a) {
					t.Fatalf("%s may serve although list %d marks it as leaving", a, v)
				}
			}
		}
	})
}

func TestAddresses_LeavesOutDrainingAndCutOff(t *testing.T) {
	nodes := []Candidate{
		{Node: lease.Node{ID: "far", Zone: "z2", CallerAddress: "10.0.0.1:80"}},
		{Node: lease.Node{ID: "busy", Zone: "z1", CallerAddress: "10.0.0.2:80"}, Load: 0.9},
		{Node: lease.Node{ID: "near", Zone: "z1", CallerAddress: "10.0.0.3:80"}, Load: 0.1},
		{Node: lease.Node{ID: "drain", Zone: "z1", CallerAddress: "10.0.0.4:80", Draining: true}},
		{Node: lease.Node{ID: "cut", Zone: "z1", CallerAddress: "10.0.0.5:80"}, CutOff: true},
	}
	got := Addresses(nodes, "z1", 7, time.Minute)
	var ids []ident.NodeID
	for _, a := range got.Addresses {
		ids = append(ids, a.Node)
	}
	must.Eq(t, []ident.NodeID{"near", "busy", "far"}, ids)
	must.Eq(t, time.Minute, got.TTL)
}

func TestAddresses_DistributesCallers(t *testing.T) {
	nodes := []Candidate{
		{Node: lease.Node{ID: "a", CallerAddress: "10.0.0.1:80"}},
		{Node: lease.Node{ID: "b", CallerAddress: "10.0.0.2:80"}},
	}
	first := map[ident.NodeID]int{}
	for caller := range uint64(200) {
		first[Addresses(nodes, "z", caller, time.Minute).Addresses[0].Node]++
	}
	must.Greater(t, 50, first["a"])
	must.Greater(t, 50, first["b"])
}

func TestDrain_WaitsForListExpiryAndWork(t *testing.T) {
	d := NewDrain(30*time.Second, 5*time.Second)
	d.MarkCommitted(0)
	must.False(t, d.MayExit(time.Hour, 0), must.Sprint("the drain has not begun"))
	d.Begin()
	d.MarkCommitted(10 * time.Second)
	d.MarkCommitted(40 * time.Second)
	must.False(t, d.MayExit(44*time.Second, 0))
	must.False(t, d.MayExit(time.Hour, 1))
	must.True(t, d.MayExit(45*time.Second, 0))
}
