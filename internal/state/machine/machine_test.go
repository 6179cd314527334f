package machine

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

var startTime = time.UnixMilli(1_800_000_000_000).UTC()

// loggedMachine is a machine that records the entries applied to it.
type loggedMachine struct {
	*Machine
	entries [][]byte
}

func newLoggedMachine() *loggedMachine { return &loggedMachine{Machine: New(ledger.DefaultLimits())} }

func (l *loggedMachine) do(c Command) Result {
	if c.At.IsZero() {
		c.At = startTime
	}
	l.entries = append(l.entries, c.Encode())
	return l.Apply(uint64(len(l.entries)), l.entries[len(l.entries)-1])
}

// apply commits the configuration next on top of the current one.
func (l *loggedMachine) apply(id config.OperationID, next config.Config) config.Outcome {
	current, revision, _ := l.Config()
	delta := config.Diff(current, next)
	op := &config.Operation{ID: id, Base: revision, Who: "w", Delta: &delta, Digest: next.Digest()}
	return *l.do(Command{ApplyConfig: op}).Config
}

// ledgerKey returns the n-th ledger key. Its idempotency key is a UUIDv7 with the
// timestamp startTime.
func ledgerKey(n int) ledger.Key {
	stamp := fmt.Sprintf("%012x", startTime.UnixMilli())
	return ledger.Key{Team: "t", Route: "r", Idempotency: fmt.Sprintf("%s-%s-7000-8000-%012x", stamp[:8], stamp[8:], n)}
}

// drawCommand generates a command. It uses few names, so that commands often affect
// the same objects.
func drawCommand(t *rapid.T, l *loggedMachine) Command {
	c := Command{At: startTime.Add(time.Duration(rapid.IntRange(-5, 40).Draw(t, "minutes")) * time.Minute / 8)}
	c.Term = rapid.Uint64Range(0, 2).Draw(t, "term")
	node := rapid.SampledFrom([]ident.NodeID{"n1", "n2"}).Draw(t, "node")
	incarnation := ident.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))
	request := ident.RequestID(rapid.SampledFrom([]string{"q1", "q2"}).Draw(t, "request"))
	k := ledgerKey(rapid.IntRange(1, 3).Draw(t, "key"))
	pool, _ := l.Pool("p")
	current, revision, _ := l.Config()
	switch rapid.IntRange(0, 15).Draw(t, "kind") {
	case 0:
		c.Begin = &Begin{Leader: node, Term: c.Term}
	case 1:
		c.GrantNode = &GrantNode{Node: lease.Node{ID: node, Incarnation: incarnation, Draining: rapid.Bool().Draw(t, "draining")}}
	case 2:
		c.RevokeNodes = &RevokeNodes{Nodes: []RevokedNode{{node, incarnation}}}
	case 3:
		change := PoolChange{Pool: "p", Epoch: pool.Epoch, Holder: node, HolderIncarnation: incarnation}
		c.GrantPools = &GrantPools{Changes: []PoolChange{change, {Pool: "p", Epoch: pool.Epoch + 1}}[:rapid.IntRange(1, 2).Draw(t, "n")]}
	case 4:
		next := current
		next.Moves = map[ident.MoveName]config.Move{"m": {Pool: "p", From: "a", To: ident.VersionName(request), Deadline: startTime}}
		delta := config.Diff(current, next)
		c.ApplyConfig = &config.Operation{ID: config.OperationID(request), Base: revision, Delta: &delta, Digest: next.Digest()}
	case 5:
		c.Claim = &ledger.Claim{Key: k, Gateway: node, Incarnation: incarnation, Request: request}
	case 6:
		c.Release = &ledger.Release{Key: k, Request: request}
	case 7:
		c.Complete = &ledger.Complete{Key: k, Request: request, Answer: &ledger.Answer{Status: 200, Body: []byte(request)}}
	case 8:
		c.Resolve = &ledger.Resolve{Key: k, Answer: ledger.Answer{Status: 200}}
	case 9:
		r, _ := l.Move("m")
		r.State, r.Epoch = move.StateCanary, pool.Epoch
		c.CommitMove = &r
	case 10:
		c.IssueOrder = &IssueOrder{ID: OrderID(request), Upstream: "u", Kind: OrderLoad}
	case 11:
		c.CompleteOrder = &CompleteOrder{Number: FencingNumber(rapid.IntRange(0, 3).Draw(t, "number"))}
	case 12:
		part := poison.Record{Pool: "p", ID: 7, Since: startTime, Updated: startTime.Add(time.Nanosecond), Upstreams: []ident.UpstreamName{"u"}}
		c.SetPoison = &SetPoison{Parts: []poison.Record{part}}
	case 13:
		c.SetFeatures = &SetFeatures{Level: uint32(rapid.IntRange(0, 2).Draw(t, "level"))}
	case 14:
		zone := rapid.SampledFrom([]ident.Zone{"a", "b", ""}).Draw(t, "zone")
		c.Evacuate = &evacuation.Order{Zone: zone, End: rapid.Bool().Draw(t, "end"), By: string(node)}
	case 15:
		numbered := &config.Numbered{Number: uint64(rapid.IntRange(0, 2).Draw(t, "number")), Document: []byte("{}"), Level: FeatureLevel}
		c.RefreshConfig = &config.Operation{Numbered: numbered, Refresh: rapid.Bool().Draw(t, "refresh")}
	}
	return c
}

// TestMachine_RestoreAtAnyPoint applies the same log to two machines, one of which
// is restored from a snapshot at arbitrary points. Their results and states must
// stay equal.
func TestMachine_RestoreAtAnyPoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, replica := newLoggedMachine(), New(ledger.DefaultLimits())
		epoch := ident.Epoch(0)
		members := Members{}
		t.Repeat(map[string]func(*rapid.T){
			"command": func(t *rapid.T) {
				result := l.do(drawCommand(t, l))
				must.Eq(t, result, replica.Apply(uint64(len(l.entries)), l.entries[len(l.entries)-1]))
			},
			"restore": func(t *rapid.T) {
				snapshot, err := replica.Snapshot()
				must.NoError(t, err)
				replica = New(ledger.DefaultLimits())
				must.NoError(t, replica.Restore(snapshot))
			},
			"view": func(t *rapid.T) {
				if v := replica.ViewFrom(members.Sequence); v != nil {
					next, err := members.Apply(v)
					must.NoError(t, err)
					members = next
				}
				must.Eq(t, replica.Nodes(), sortedValues(members.Nodes))
				must.Eq(t, replica.Pools(), sortedValues(members.Pools))
				must.Eq(t, replica.Moves(), sortedValues(members.Moves))
				must.Eq(t, append([]evacuation.Record{}, replica.Evacuations()...), sortedValues(members.Evacuations))
			},
			"": func(t *rapid.T) {
				a, err := l.Snapshot()
				must.NoError(t, err)
				b, err := replica.Snapshot()
				must.NoError(t, err)
				must.True(t, bytes.Equal(a, b))
				must.Eq(t, l.PoisonParts(), replica.PoisonParts())
				must.Eq(t, l.Evacuations(), replica.Evacuations())
				must.Eq(t, l.Features(), replica.Features())
				pool, _ := l.Pool("p")
				must.LessEq(t, pool.Epoch, epoch)
				epoch = max(epoch, pool.Epoch)
				if pool.Holder != "" {
					node, leased := l.Node(pool.Holder)
					must.True(t, leased && node.Incarnation == pool.HolderIncarnation)
				}
			},
		})
	})
}

// TestMachine_FormerTermHasNoEffect commits commands of a former leader after the
// term of its successor has begun.
func TestMachine_FormerTermHasNoEffect(t *testing.T) {
	l := newLoggedMachine()
	l.do(Command{Begin: &Begin{Leader: "r1", Term: 1}})
	l.do(Command{Term: 1, GrantNode: &GrantNode{Node: lease.Node{ID: "n", Incarnation: 2}}})
	l.do(Command{Begin: &Begin{Leader: "r2", Term: 2}})
	must.True(t, l.do(Command{Term: 1, RevokeNodes: &RevokeNodes{Nodes: []RevokedNode{{"n", 2}}}}).Superseded)
	must.True(t, l.do(Command{Term: 1, IssueOrder: &IssueOrder{ID: "o"}}).Superseded)
	must.True(t, l.do(Command{Begin: &Begin{Leader: "r1", Term: 1}}).Superseded)
	must.Len(t, 1, l.Nodes())
	must.SliceEmpty(t, l.OpenOrders())
	later := &GrantNode{Node: lease.Node{ID: "n", Incarnation: 3}}
	must.Eq(t, RefusedIncarnation, l.do(Command{Term: 2, GrantNode: later}).Refusal)
}

// TestMachine_PoolLeaseHasOneHolder tries to grant a scheduler lease that another
// node holds, with an old and with the current epoch.
func TestMachine_PoolLeaseHasOneHolder(t *testing.T) {
	l := newLoggedMachine()
	for _, id := range []ident.NodeID{"n1", "n2"} {
		l.do(Command{GrantNode: &GrantNode{Node: lease.Node{ID: id, Incarnation: 1}}})
	}
	grant := func(id ident.NodeID, epoch ident.Epoch) Refusal {
		change := PoolChange{Pool: "p", Epoch: epoch, Holder: id, HolderIncarnation: 1}
		return l.do(Command{GrantPools: &GrantPools{Changes: []PoolChange{change}}}).Refusal
	}
	must.Eq(t, "", grant("n1", 0))
	must.Eq(t, RefusedEpoch, grant("n2", 0))
	must.Eq(t, RefusedHolder, grant("n2", 1))
	l.do(Command{RevokeNodes: &RevokeNodes{Nodes: []RevokedNode{{"n1", 1}}}})
	must.Eq(t, RefusedHolder, grant("n1", 2))
	must.Eq(t, "", grant("n2", 2))
}

// TestMachine_RestoreKeepsAllChanges restores a snapshot taken after 700
// configuration changes. A truncated snapshot must leave the state unchanged.
func TestMachine_RestoreKeepsAllChanges(t *testing.T) {
	l := newLoggedMachine()
	next := config.Config{}
	for i := range 700 {
		next.Teams = map[ident.TeamName]config.Team{ident.TeamName(strings.Repeat("x", 1+i%50)): {Shares: i + 1}}
		id := config.OperationID(fmt.Sprint(i))
		must.Eq(t, config.Outcome{Verdict: config.VerdictAccepted, Revision: ident.Revision(i + 1), Who: "w"}, l.apply(id, next))
	}
	snapshot, err := l.Snapshot()
	must.NoError(t, err)
	restored := newLoggedMachine()
	must.NoError(t, restored.Restore(snapshot))
	got, revision, _ := restored.Config()
	must.Eq(t, 700, revision)
	must.Eq(t, next, got)
	must.Len(t, 700, restored.History(1000))
	must.ErrorContains(t, restored.Restore(snapshot[:len(snapshot)/2]), "decode snapshot")
	_, revision, _ = restored.Config()
	must.Eq(t, 700, revision)
}
