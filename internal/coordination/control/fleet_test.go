package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func newFleet() *fleet { return &fleet{changed: make(chan struct{})} }

// follow brings a node's spread up to date as a follower does, and reports whether
// it lacked anything.
func follow(t must.T, f *fleet, have *Spread) bool {
	t.Helper()
	delivery, err := f.spread(have.Version)
	must.NoError(t, err)
	update, err := delivery.Update()
	must.NoError(t, err)
	if update == nil {
		return false
	}
	next, err := update.Apply(*have)
	must.NoError(t, err)
	must.True(t, next.Version.Newer(have.Version))
	*have = next
	return true
}

// lacking returns the update that a node at a version gets.
func lacking(t must.T, f *fleet, have SpreadVersion) *SpreadUpdate {
	t.Helper()
	delivery, err := f.spread(have)
	must.NoError(t, err)
	update, err := delivery.Update()
	must.NoError(t, err)
	must.NotNil(t, update)
	return update
}

// packedSpread returns an update as a leader sends it.
func packedSpread(t must.T, from SpreadVersion, u SpreadUpdate) SpreadDelivery {
	t.Helper()
	packed, err := pack(u)
	must.NoError(t, err)
	return SpreadDelivery{From: from, Packed: packed}
}

// known returns all that the fleet spreads.
func known(t must.T, f *fleet) Spread {
	t.Helper()
	clear(f.updates) // as if the latest ones had been made long ago
	var s Spread
	must.True(t, follow(t, f, &s))
	return s
}

func discovered(name string, leaving bool) Discovered {
	return Discovered{Name: ident.UpstreamName(name), Leaving: leaving, Upstream: config.Upstream{Pool: "p", Address: "10.0.0.1:80"}}
}

// TestFleet_LeaseLostForAMoment lets a leader's lease run out for a moment, as when
// packets are lost or the processor is busy. It goes on with what it knew, and what
// it spreads from then on reaches nodes that have followed it.
func TestFleet_LeaseLostForAMoment(t *testing.T) {
	f := newFleet()
	now := time.Unix(1000, 0)
	s := &Service{fleet: f}
	f.begin(2, Spread{}, now)
	for i := range 9 {
		f.arrive(Member{ID: ident.NodeID(rune('a' + i)), Incarnation: 1}, now)
	}
	s.SetUpstreams([]Discovered{discovered("u", false)}, true)
	node := known(t, f)
	changed, _ := f.newer(node.Version)

	f.end(true)
	must.False(t, f.arrive(Member{ID: "z"}, now))
	select {
	case <-changed:
		t.Fatal("the lapse woke the waiting syncs")
	default:
	}
	now = now.Add(time.Second)
	must.True(t, f.resume(2, now))
	f.expire(now.Add(memberSilence))
	must.False(t, follow(t, f, &node))
	must.Len(t, 9, node.Members)
	s.SetUpstreams([]Discovered{discovered("u", true)}, true)
	must.True(t, follow(t, f, &node))
	must.True(t, node.Upstreams[0].Leaving)
	must.True(t, node.Listed)

	must.False(t, f.resume(3, now))
	for _, lapsedFirst := range []bool{false, true} {
		must.True(t, f.resume(2, now))
		changed, _ = f.newer(node.Version)
		if lapsedFirst {
			f.end(true)
		}
		f.end(false)
		select {
		case <-changed:
		default:
			t.Fatalf("syncs wait on although another replica may lead, lapsed first: %t", lapsedFirst)
		}
	}
}

// TestFleet_NewLeaderKeepsMembers checks that the nodes known before stay members
// until they had time to find the new leader, and not for longer.
func TestFleet_NewLeaderKeepsMembers(t *testing.T) {
	f := newFleet()
	now := time.Unix(1000, 0)
	f.begin(3, Spread{Members: []Member{{ID: "g1"}, {ID: "g2"}}}, now)
	f.arrive(Member{ID: "g1"}, now.Add(time.Second))
	f.leave(Member{ID: "g1"}, now.Add(2*time.Second))
	f.expire(now.Add(takeoverSilence - time.Millisecond))
	must.Len(t, 2, known(t, f).Members)
	f.expire(now.Add(takeoverSilence + time.Millisecond))
	spread := known(t, f)
	must.Len(t, 1, spread.Members)
	must.Eq(t, ident.NodeID("g1"), spread.Members[0].ID)
}

// TestFleet_OldIncarnationIsIgnored checks that a late sync of a node's former
// life does not replace the present one.
func TestFleet_OldIncarnationIsIgnored(t *testing.T) {
	f := newFleet()
	now := time.Unix(1000, 0)
	f.begin(1, Spread{}, now)
	f.arrive(Member{ID: "g1", Incarnation: 2, CallerAddress: "10.0.0.1:2"}, now)
	f.arrive(Member{ID: "g1", Incarnation: 1, CallerAddress: "10.0.0.1:1"}, now)
	must.Eq(t, "10.0.0.1:2", known(t, f).Members[0].CallerAddress)
}

// TestFleet_HotTeamsOutlastTheLeader checks that teams near their quotas stay
// known to the next leader for as long as a quota's window.
func TestFleet_HotTeamsOutlastTheLeader(t *testing.T) {
	f := newFleet()
	now := time.Unix(1000, 0)
	f.begin(1, Spread{}, now)
	f.reportHot([]ident.TeamName{"b", "a"}, now)
	hot := f.hotTeams(nil, now)
	must.Eq(t, []ident.TeamName{"a", "b"}, hot)

	f.end(false)
	f.begin(2, Spread{}, now.Add(time.Second))
	must.Eq(t, hot, f.hotTeams(hot, now.Add(time.Second)))
	must.SliceEmpty(t, f.hotTeams(nil, now.Add(time.Second+hotFor)))
}

// TestFollower_NeverGoesBack feeds a follower spreads in the wrong order.
func TestFollower_NeverGoesBack(t *testing.T) {
	var f FleetFollower
	newer := SpreadUpdate{To: SpreadVersion{Term: 2, Sequence: 1}, Members: []Member{{ID: "new"}}}
	older := SpreadUpdate{To: SpreadVersion{Term: 1, Sequence: 9}, Members: []Member{{ID: "old"}}}
	for _, u := range []SpreadUpdate{newer, older} {
		_, err := f.Take(time.Second, &SyncReply{Spread: packedSpread(t, SpreadVersion{}, u)})
		must.NoError(t, err)
	}
	must.Eq(t, ident.NodeID("new"), f.Spread().Members[0].ID)
}

// TestFollower_AgeCountsFromSending checks that the proof of fresh contact is as
// old as the call, and that an unserved one proves nothing.
func TestFollower_AgeCountsFromSending(t *testing.T) {
	var f FleetFollower
	_, known := f.Age(time.Second)
	must.False(t, known)
	_, err := f.Take(2*time.Second, &SyncReply{Status: Status{NotLeader: true}})
	must.NoError(t, err)
	_, known = f.Age(3 * time.Second)
	must.False(t, known)
	_, err = f.Take(2*time.Second, &SyncReply{})
	must.NoError(t, err)
	age, known := f.Age(5 * time.Second)
	must.True(t, known)
	must.Eq(t, 3*time.Second, age)
}
