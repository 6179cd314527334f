package machine

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// Sizes of the deployment that the system is designed for.
const (
	targetTeams     = 5400
	targetUpstreams = 760
	targetPools     = 8
)

// targetConfig returns a configuration of the target size.
func targetConfig() config.Config {
	c := config.Config{
		Tiers:     map[ident.TierName]config.Tier{},
		Teams:     map[ident.TeamName]config.Team{},
		Pools:     map[ident.PoolName]config.Pool{},
		Upstreams: map[ident.UpstreamName]config.Upstream{},
		Routes:    map[ident.RouteName]config.Route{},
	}
	for i := range targetTeams {
		c.Teams[ident.TeamName(fmt.Sprintf("team-%04d", i))] = config.Team{Shares: 1 + i%9}
	}
	for i := range targetPools {
		name := ident.PoolName(fmt.Sprintf("pool-%d", i))
		c.Pools[name] = config.Pool{Kind: config.KindEngine, Model: string(name), Version: "v1"}
		c.Routes[ident.RouteName(name)] = config.Route{Path: "/v1/chat/completions", Pool: name, Tier: "t0"}
		c.Tiers[ident.TierName(fmt.Sprintf("t%d", i%4))] = config.Tier{Rank: i % 4, Deadline: time.Second}
	}
	for i := range targetUpstreams {
		name := ident.UpstreamName(fmt.Sprintf("upstream-%03d", i))
		address := fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250)
		pool := ident.PoolName(fmt.Sprintf("pool-%d", i%targetPools))
		c.Upstreams[name] = config.Upstream{Pool: pool, Version: "v1", Address: address, MaxConcurrent: 64}
	}
	return c
}

// changeTeam returns c with the shares of the i-th team changed, counting modulo
// targetTeams.
func changeTeam(c config.Config, i int) config.Config {
	team := ident.TeamName(fmt.Sprintf("team-%04d", i%targetTeams))
	delta := config.Delta{}
	delta.Teams.Set = map[ident.TeamName]config.Team{team: {Shares: 10 + i}}
	return c.Apply(delta)
}

func gobBytes(value any) float64 {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(value); err != nil {
		panic(err)
	}
	return float64(b.Len())
}

// BenchmarkMachine_ConfigChange measures the commit of a change to one team at the
// target size, and the size in bytes of the update that a node gets for it.
func BenchmarkMachine_ConfigChange(b *testing.B) {
	l := newLoggedMachine()
	next := targetConfig()
	l.apply("first", next)
	i := 0
	for b.Loop() {
		next = changeTeam(next, i)
		i++
		l.apply(config.OperationID(fmt.Sprint(i)), next)
	}
	b.ReportMetric(gobBytes(l.ConfigUpdate(ident.Revision(i))), "delta-gob-B")
	b.ReportMetric(gobBytes(l.ConfigUpdate(0)), "whole-gob-B")
}

// BenchmarkMachine_Claim measures a claim command from its encoding to its result.
func BenchmarkMachine_Claim(b *testing.B) {
	l := &loggedMachine{Machine: New(ledger.Limits{Retention: time.Hour, MaxSkew: time.Minute, MaxEntries: 1 << 30, MaxBytes: 1 << 40})}
	l.do(Command{GrantNode: &GrantNode{Node: lease.Node{ID: "n", Incarnation: 1}}})
	size, i := 0, 0
	for b.Loop() {
		c := Command{At: startTime, Claim: &ledger.Claim{Key: ledgerKey(i), Gateway: "n", Incarnation: 1, Request: ident.RequestID(ledgerKey(i).Idempotency)}}
		entry := c.Encode()
		size = len(entry)
		l.Apply(uint64(i), entry)
		i++
	}
	b.ReportMetric(float64(size), "command-B")
}

// BenchmarkMachine_SnapshotRestore measures taking and restoring a snapshot at the
// target size after 10,000 configuration changes, with 100,000 ledger entries. The
// sub-benchmark "locked" measures the part that holds the machine's lock.
func BenchmarkMachine_SnapshotRestore(b *testing.B) {
	l := newLoggedMachine()
	l.do(Command{GrantNode: &GrantNode{Node: lease.Node{ID: "n", Incarnation: 1}}})
	next := targetConfig()
	l.apply("first", next)
	for i := range 10_000 {
		next = changeTeam(next, i)
		l.apply(config.OperationID(fmt.Sprint(i)), next)
	}
	for i := range 100_000 {
		l.do(Command{Claim: &ledger.Claim{Key: ledgerKey(i), Gateway: "n", Incarnation: 1, Request: "q"}})
	}
	l.entries = nil
	var snapshot []byte
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			snapshot, _ = l.Snapshot()
		}
		b.ReportMetric(float64(len(snapshot)), "snapshot-B")
	})
	b.Run("locked", func(b *testing.B) {
		for b.Loop() {
			l.image()
		}
	})
	b.Run("restore", func(b *testing.B) {
		for b.Loop() {
			if err := New(ledger.DefaultLimits()).Restore(snapshot); err != nil {
				b.Fatal(err)
			}
		}
	})
}
