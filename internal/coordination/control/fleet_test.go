package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

func newFleet() *fleet { return &fleet{changed: make(chan struct{})} }

func discovered(name string, leaving bool) Discovered {
	return Discovered{Name: ident.UpstreamName(name), Leaving: leaving, Upstream: config.Upstream{Pool: "p", Address: "10.0.0.1:80"}}
}

// TestFleet_LeaseLostForAMoment has a leader begin its term again, as after a
// lost packet: what it spreads from then on must reach nodes that have followed it.
func TestFleet_LeaseLostForAMoment(t *testing.T) {
	f := newFleet()
	now := time.Unix(1000, 0)
	s := &Service{fleet: f}
	f.begin(2, Spread{}, now)
	for i := range 9 {
		f.arrive(Member{ID: ident.NodeID(rune('a' + i)), Incarnation: 1}, now)
	}
	s.SetUpstreams([]Discovered{discovered("u", false)})
	known, _ := f.spread(SpreadVersion{})
	must.NotNil(t, known)

	f.end()
	f.begin(2, *known, now.Add(time.Second))
	s.SetUpstreams([]Discovered{discovered("u", true)})
	next, _ := f.spread(known.Version)
	must.NotNil(t, next)
	must.True(t, next.Upstreams[0].Leaving)
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
	spread, _ := f.spread(SpreadVersion{})
	must.Len(t, 2, spread.Members)
	f.expire(now.Add(takeoverSilence + time.Millisecond))
	spread, _ = f.spread(SpreadVersion{})
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
	spread, _ := f.spread(SpreadVersion{})
	must.Eq(t, "10.0.0.1:2", spread.Members[0].CallerAddress)
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

	f.end()
	f.begin(2, Spread{}, now.Add(time.Second))
	must.Eq(t, hot, f.hotTeams(hot, now.Add(time.Second)))
	must.SliceEmpty(t, f.hotTeams(nil, now.Add(time.Second+hotFor)))
}

// TestFollower_NeverGoesBack feeds a follower spreads in the wrong order.
func TestFollower_NeverGoesBack(t *testing.T) {
	var f FleetFollower
	newer := Spread{Version: SpreadVersion{Term: 2, Sequence: 1}, Members: []Member{{ID: "new"}}}
	older := Spread{Version: SpreadVersion{Term: 1, Sequence: 9}, Members: []Member{{ID: "old"}}}
	for _, s := range []Spread{newer, older} {
		_, err := f.Take(time.Second, &SyncReply{Spread: &s})
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
