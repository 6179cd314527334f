package control

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// fleetCluster returns a cluster whose first replica leads, with members that state the
// given feature levels.
func fleetCluster(levels map[ident.NodeID]uint32) *cluster {
	c := newCluster("r1", "r2")
	for _, r := range c.replicas {
		r.service.EnableFleet(func() FleetState { return FleetState{} })
	}
	c.replicas[0].service.Tick()
	join(c.replicas[0], levels)
	c.replicas[0].service.Tick()
	return c
}

// join makes nodes live members at a leader.
func join(r *replica, levels map[ident.NodeID]uint32) {
	for id, level := range levels {
		r.service.fleet.startSync(Member{ID: id, Incarnation: 1, Features: level}, time.Now())
	}
}

func order(t must.T, r *replica, zone ident.Zone, end bool) EvacuateReply {
	t.Helper()
	var reply EvacuateReply
	must.NoError(t, r.service.Evacuate(&EvacuateArgs{Order: evacuation.Order{Zone: zone, End: end, By: "operator"}}, &reply))
	return reply
}

// TestEvacuate_NotBesideOlderBuilds guards against an acknowledged evacuation that is lost
// because a replica of an older build ignores it, and against gateways of older builds that
// go on sending.
func TestEvacuate_NotBesideOlderBuilds(t *testing.T) {
	c := fleetCluster(map[ident.NodeID]uint32{"r1": 1, "g1": 0})
	leader := c.replicas[0]
	must.Eq(t, machine.RefusedFeatures, order(t, leader, "a", false).Refusal)
	must.SliceEmpty(t, leader.machine.Evacuations())

	leader.service.fleet.startSync(Member{ID: "g1", Incarnation: 2, Features: 1}, time.Now())
	leader.service.Tick()
	must.Eq(t, EvacuateReply{}, order(t, leader, "a", false))
	must.Len(t, 1, fullState(t, leader.service.fleet).Evacuations)

	// The level never falls.
	join(leader, map[ident.NodeID]uint32{"g2": 0})
	leader.service.Tick()
	must.Eq(t, EvacuateReply{}, order(t, leader, "b", false))
}

// TestEvacuate_SurvivesLeaderChange guards against an acknowledged evacuation that a new
// leader, whose own fleet state is older, takes back for a moment.
func TestEvacuate_SurvivesLeaderChange(t *testing.T) {
	c := fleetCluster(map[ident.NodeID]uint32{"r1": 1, "r2": 1})
	must.Eq(t, EvacuateReply{}, order(t, c.replicas[0], "a", false))
	next := c.replicas[1]
	c.elect(next)
	must.True(t, order(t, c.replicas[0], "b", false).NotLeader)
	next.service.Tick()
	must.Len(t, 1, fullState(t, next.service.fleet).Evacuations)
	must.Eq(t, EvacuateReply{}, order(t, next, "a", true))
	must.SliceEmpty(t, fullState(t, next.service.fleet).Evacuations)
	must.Eq(t, EvacuateReply{}, order(t, next, "a", true))
}

// TestRefreshDocument_AfterUpgrade guards against a field of the configuration that stays
// without effect after an upgrade, because an older build has read the text.
func TestRefreshDocument_AfterUpgrade(t *testing.T) {
	c := fleetCluster(map[ident.NodeID]uint32{"r1": 1, "g1": 0})
	leader := c.replicas[0]
	reads := 0
	leader.service.SetDocumentReader(func(text []byte) (config.Numbered, error) {
		reads++
		return config.Numbered{Number: 3, Config: config.Config{Pools: map[ident.PoolName]config.Pool{"p": {Cold: &config.ColdLimit{PerSecond: 7}}}}, Document: text}, nil
	})
	var reply ApplyNumberedReply
	old := config.Numbered{Number: 3, Config: config.Config{Pools: map[ident.PoolName]config.Pool{"p": {}}}, Document: []byte("{}")}
	must.NoError(t, leader.service.ApplyNumbered(&ApplyNumberedArgs{Numbered: old}, &reply))
	leader.service.Tick()
	must.Eq(t, 0, reads)

	leader.service.fleet.startSync(Member{ID: "g1", Incarnation: 2, Features: 1}, time.Now())
	for range 3 {
		leader.service.Tick()
	}
	must.Eq(t, 1, reads)
	current, _, _ := leader.machine.Config()
	must.Eq(t, 7, current.Pools["p"].Cold.PerSecond)
	text, number := leader.machine.Document()
	must.Eq(t, 3, number)
	must.Eq(t, "{}", string(text))
}

// TestRefreshDocument_NothingDropped guards against a second revision of a configuration that
// has no field which an older build could have dropped: all nodes would get it once more.
func TestRefreshDocument_NothingDropped(t *testing.T) {
	c := fleetCluster(map[ident.NodeID]uint32{"r1": 1})
	leader := c.replicas[0]
	plain := config.Numbered{Number: 3, Config: config.Config{Pools: map[ident.PoolName]config.Pool{"p": {}}}, Document: []byte("{}")}
	reads := 0
	leader.service.SetDocumentReader(func([]byte) (config.Numbered, error) {
		reads++
		return plain, nil
	})
	var reply ApplyNumberedReply
	must.NoError(t, leader.service.ApplyNumbered(&ApplyNumberedArgs{Numbered: plain}, &reply))
	for range 3 {
		leader.service.Tick()
	}
	_, revision, _ := leader.machine.Config()
	must.Eq(t, 1, revision)
	must.Eq(t, 1, reads)
}

// TestRefreshDocument_EmptyListOfTeams covers a text whose list of teams is empty and that a build
// of level 1 has read, which takes it for no list and lets everyone in: after the upgrade of all
// nodes it went on doing so.
func TestRefreshDocument_EmptyListOfTeams(t *testing.T) {
	c := fleetCluster(map[ident.NodeID]uint32{"r1": 2, "g1": 1})
	leader := c.replicas[0]
	leader.service.Tick()
	must.Eq(t, 1, leader.machine.Features())
	leader.service.SetDocumentReader(func(text []byte) (config.Numbered, error) {
		keyless := map[ident.TeamName]config.Team{config.KeylessTeam: {Shares: 1}}
		return config.Numbered{Number: 3, Config: config.Config{Teams: keyless}, Document: text}, nil
	})
	var reply ApplyNumberedReply
	must.NoError(t, leader.service.ApplyNumbered(&ApplyNumberedArgs{Numbered: config.Numbered{Number: 3, Document: []byte("{}"), Level: 1}}, &reply))
	for range 3 {
		leader.service.Tick()
	}
	current, revision, _ := leader.machine.Config()
	must.MapEmpty(t, current.Teams)

	leader.service.fleet.startSync(Member{ID: "g1", Incarnation: 2, Features: 2}, time.Now())
	for range 3 {
		leader.service.Tick()
	}
	refreshed, latest, _ := leader.machine.Config()
	must.MapLen(t, 1, refreshed.Teams)
	must.Eq(t, revision+1, latest)
}
