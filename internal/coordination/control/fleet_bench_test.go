package control

import (
	"fmt"
	"net/rpc"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// benchFleet returns the service of a leader with the given numbers of upstreams
// and teams.
func benchFleet(b *testing.B, upstreams, teams int) *Service {
	b.Helper()
	service, _ := newLocalService()
	service.EnableFleet(func() FleetState { return FleetState{} })
	service.Tick()
	found := make([]Discovered, upstreams)
	for i := range found {
		found[i] = discovered(fmt.Sprintf("i-%08x@%08x", i*7919, i*104729), false)
	}
	service.SetUpstreams(found, true)
	c := config.Config{Teams: make(map[ident.TeamName]config.Team)}
	for i := range teams {
		c.Teams[ident.TeamName(fmt.Sprintf("team%d", i))] = config.Team{Shares: 1}
	}
	var reply ApplyNumberedReply
	if err := service.ApplyNumbered(&ApplyNumberedArgs{Numbered: config.Numbered{Number: 1, Config: c, Document: []byte("{}")}}, &reply); err != nil || !reply.OK() {
		b.Fatalf("%v, %+v", err, reply)
	}
	return service
}

// BenchmarkSync_First measures a node's first sync over a new connection, as
// after a restart of all nodes: the node lacks the configuration, members and
// upstreams. The processor time is that of both ends together.
func BenchmarkSync_First(b *testing.B) {
	for _, size := range []struct{ upstreams, teams int }{{15, 5}, {1000, 5}, {3000, 5}, {760, 5400}} {
		b.Run(fmt.Sprintf("upstreams=%d/teams=%d", size.upstreams, size.teams), func(b *testing.B) {
			address := serveLoopback(b, benchFleet(b, size.upstreams, size.teams))
			before := processorTime()
			for b.Loop() {
				client, err := rpc.Dial("tcp", address)
				if err != nil {
					b.Fatal(err)
				}
				var reply SyncReply
				var follower FleetFollower
				args := follower.Args(Member{ID: "g1", Incarnation: 1}, Known{}, time.Second)
				if err := client.Call(ServiceName+".Sync", args, &reply); err != nil {
					b.Fatal(err)
				}
				if _, err := follower.HandleReply(time.Second, &reply); err != nil || len(follower.State().Upstreams) != size.upstreams {
					b.Fatalf("%v, %d upstreams", err, len(follower.State().Upstreams))
				}
				_ = client.Close()
			}
			b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

// manyRoutes returns a configuration with the given number of routes.
func manyRoutes(routes int) config.Config {
	c := config.Config{
		Pools:  map[ident.PoolName]config.Pool{"p": {Kind: config.KindEngine}},
		Tiers:  map[ident.TierName]config.Tier{"priority-1": {Rank: -1}},
		Routes: make(map[ident.RouteName]config.Route),
	}
	for i := range routes {
		c.Routes[ident.RouteName(fmt.Sprintf("r-%07x", i*104729))] = config.Route{
			Host: fmt.Sprintf("h%04x.example", i*7919%5000), Prefix: fmt.Sprintf("/p%06x/", i*15485863), Pool: "p", Tier: "priority-1",
			Splits: []config.Split{{Pool: "p", Weight: 1}}, Streams: true, Timeout: time.Second, Objective: time.Second, MaxAttempts: 2,
		}
	}
	return c
}

// BenchmarkDelivery_ManyRoutes measures what a version with 1,556 routes more costs the leader
// for each node, encoding included, and each node.
func BenchmarkDelivery_ManyRoutes(b *testing.B) {
	service := benchFleet(b, 245, 40)
	before, _, _ := service.machine.Config()
	_, have, _ := service.machine.Config()
	var reply ApplyNumberedReply
	numbered := config.Numbered{Number: 2, Config: manyRoutes(1556), Document: []byte("{}")}
	numbered.Config.Teams = before.Teams
	if err := service.ApplyNumbered(&ApplyNumberedArgs{Numbered: numbered}, &reply); err != nil || !reply.OK() {
		b.Fatalf("%v, %+v", err, reply)
	}
	var delivery ConfigDelivery
	b.Run("leader", func(b *testing.B) {
		for b.Loop() {
			var err error
			if delivery, err = service.configDelivery(have); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(delivery.Packed)), "bytes")
	})
	b.Run("node", func(b *testing.B) {
		for b.Loop() {
			follower := FleetFollower{config: before, revision: have}
			if change, err := follower.HandleReply(time.Second, &SyncReply{Config: delivery}); err != nil || !change.Config {
				b.Fatalf("%v, %+v", err, change)
			}
		}
	})
}
