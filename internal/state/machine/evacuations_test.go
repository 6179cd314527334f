package machine

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

func evacuate(zone ident.Zone, term uint64, end bool) Command {
	return Command{Term: term, Evacuate: &evacuation.Order{Zone: zone, End: end, By: "operator"}}
}

func zonesOf(records []evacuation.Record) []ident.Zone {
	var zones []ident.Zone
	for _, r := range records {
		zones = append(zones, r.Zone)
	}
	return zones
}

// TestEvacuate_RepeatedAndLateOrders guards against an order that takes effect twice, and
// against one that was decided under a former leader and is committed after the next one's.
func TestEvacuate_RepeatedAndLateOrders(t *testing.T) {
	l := newLoggedMachine()
	l.do(Command{Term: 1, Begin: &Begin{Leader: "n1", Term: 1}})
	must.Eq(t, Result{}, l.do(evacuate("b", 1, false)))
	must.Eq(t, Result{}, l.do(evacuate("a", 1, false)))
	first, _ := l.Evacuation("b")
	must.Eq(t, Result{}, l.do(evacuate("b", 1, false)))
	again, known := l.Evacuation("b")
	must.True(t, known)
	must.Eq(t, first, again)
	must.Eq(t, []ident.Zone{"a", "b"}, zonesOf(l.Evacuations()))

	must.Eq(t, Result{}, l.do(evacuate("b", 1, true)))
	must.Eq(t, Result{}, l.do(evacuate("b", 1, true)))
	l.do(Command{Term: 2, Begin: &Begin{Leader: "n2", Term: 2}})
	must.True(t, l.do(evacuate("b", 1, false)).Superseded)
	must.Eq(t, []ident.Zone{"a"}, zonesOf(l.Evacuations()))
}

// TestEvacuate_BoundsOfTheState guards against orders that fill the replicated state.
func TestEvacuate_BoundsOfTheState(t *testing.T) {
	l := newLoggedMachine()
	must.Eq(t, RefusedUnknown, l.do(evacuate("", 0, false)).Refusal)
	must.Eq(t, RefusedUnknown, l.do(evacuate(ident.Zone(make([]byte, evacuation.MaxNameBytes+1)), 0, false)).Refusal)
	for i := range evacuation.MaxEvacuations {
		must.Eq(t, Result{}, l.do(evacuate(ident.Zone(fmt.Sprint(i)), 0, false)))
	}
	must.Eq(t, RefusedFull, l.do(evacuate("one more", 0, false)).Refusal)
	must.Eq(t, Result{}, l.do(evacuate("0", 0, false)))
	must.Eq(t, Result{}, l.do(evacuate("0", 0, true)))
	must.Eq(t, Result{}, l.do(evacuate("one more", 0, false)))
}

// TestEvacuate_InTheViewOfNodes guards against nodes that never learn of an evacuation or of
// its end: one that follows each change, one that missed both, and one whose state is older
// than the change log.
func TestEvacuate_InTheViewOfNodes(t *testing.T) {
	l := newLoggedMachine()
	l.do(Command{GrantNode: &GrantNode{Node: lease.Node{ID: "n1", Incarnation: 1}}})
	full, err := Members{}.Apply(l.ViewFrom(0))
	must.NoError(t, err)
	must.MapEmpty(t, full.Evacuations)

	changed := l.Changed()
	l.do(evacuate("b", 0, false))
	<-changed
	started, err := full.Apply(l.ViewFrom(full.Sequence))
	must.NoError(t, err)
	must.Eq(t, ident.Zone("b"), started.Evacuations["b"].Zone)
	must.MapEmpty(t, full.Evacuations)
	l.do(evacuate("b", 0, false))
	must.Nil(t, l.ViewFrom(started.Sequence))

	l.do(evacuate("b", 0, true))
	for _, before := range []Members{full, started} {
		view := l.ViewFrom(before.Sequence)
		must.False(t, view.Full)
		ended, err := before.Apply(view)
		must.NoError(t, err)
		must.MapEmpty(t, ended.Evacuations)
	}
	l.do(evacuate("c", 0, false))
	for i := range 2 * minKeptChanges {
		l.do(Command{GrantNode: &GrantNode{Node: lease.Node{ID: "n1", Incarnation: 1, Draining: i%2 == 0}}})
	}
	view := l.ViewFrom(started.Sequence)
	must.True(t, view.Full)
	late, err := started.Apply(view)
	must.NoError(t, err)
	must.Eq(t, map[ident.Zone]evacuation.Record{"c": l.Evacuations()[0]}, late.Evacuations)
}

// TestRefresh_ReachesNodesThatLackFields guards against a field that an older build has
// dropped at a node and that the node never gets, because the leader's own configuration had
// it: the node's update is then an empty difference.
func TestRefresh_ReachesNodesThatLackFields(t *testing.T) {
	whole := config.Config{Pools: map[ident.PoolName]config.Pool{"p": {Kind: config.KindService, Cold: &config.ColdLimit{PerSecond: 7}}}}
	reduced := config.Config{Pools: map[ident.PoolName]config.Pool{"p": {Kind: config.KindService}}}
	l := newLoggedMachine()
	l.do(Command{ApplyConfig: &config.Operation{Numbered: &config.Numbered{Number: 4, Config: whole, Document: []byte("text")}}})
	_, revision, digest := l.Config()
	must.Eq(t, reduced.Digest(), digest)
	must.Eq(t, 0, l.DocumentLevel())

	refresh := &config.Operation{Refresh: true, Numbered: &config.Numbered{Number: 4, Config: whole, Document: []byte("text"), Level: 1}}
	must.Eq(t, config.VerdictAccepted, l.do(Command{RefreshConfig: refresh}).Config.Verdict)
	must.Eq(t, 1, l.DocumentLevel())
	update := l.ConfigUpdate(revision)
	must.NotNil(t, update.Full)
	next, err := update.Apply(reduced)
	must.NoError(t, err)
	must.Eq(t, whole.Pools, next.Pools)
	_, number := l.Document()
	must.Eq(t, 4, number)

	refresh.Numbered.Number = 3
	must.Eq(t, config.VerdictOvertaken, l.do(Command{RefreshConfig: refresh}).Config.Verdict)
}

// TestDocumentLevel_TextReadBeforeTheLevel guards against replicas that disagree on whether the text
// has to be read again, because some ran an older build when it was committed: those have dropped
// its new fields and its level.
func TestDocumentLevel_TextReadBeforeTheLevel(t *testing.T) {
	l := newLoggedMachine()
	apply := func(number uint64) {
		l.do(Command{ApplyConfig: &config.Operation{Numbered: &config.Numbered{Number: number, Document: []byte("text"), Level: 1}}})
	}
	apply(1)
	must.Eq(t, 0, l.DocumentLevel())
	l.do(Command{SetFeatures: &SetFeatures{Level: 1}})
	must.Eq(t, 0, l.DocumentLevel())
	apply(2)
	must.Eq(t, 1, l.DocumentLevel())
}
