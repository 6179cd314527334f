package moves_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/moves"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

func setConfig(specs map[ident.MoveName]config.Move) config.Config {
	return config.Config{
		Pools: map[ident.PoolName]config.Pool{"model": {Version: oldVersion}},
		Moves: specs,
	}
}

func firstRecord(name ident.MoveName, spec config.Move, revision ident.Revision) move.Record {
	return moves.Pending(name, spec, revision, 0, origin)
}

var onlyOld = []scheduler.VersionShare{{Version: oldVersion, Share: 1, NonIdempotentShare: 1}}

func TestSet_SecondOpenMoveIsRefused(t *testing.T) {
	spec := defaultModel().spec()
	other := spec
	other.To = "v3"
	c := setConfig(map[ident.MoveName]config.Move{"a": spec, "b": other})
	s := moves.NewSet("model", moves.Options{})
	s.Configure(c, []move.Record{firstRecord("a", spec, 2), firstRecord("b", other, 1)}, origin)
	rs := s.Tick(origin)
	must.SliceLen(t, 1, rs)
	must.Eq(t, "a", rs[0].Name)
	must.Eq(t, move.StateTakenBack, rs[0].State)
	must.StrContains(t, rs[0].Reason, "move b of pool model is not finished")
	must.True(t, s.Committed(rs[0], origin))
	must.SliceEmpty(t, s.Tick(origin))
	must.Eq(t, onlyOld, s.Shares())
}

func TestSet_RemovedMoveEndsAtOnce(t *testing.T) {
	spec := defaultModel().spec()
	c := setConfig(map[ident.MoveName]config.Move{"a": spec})
	r := firstRecord("a", spec, 1)
	r.State, r.Share = move.StateRamping, 0.4
	s := moves.NewSet("model", moves.Options{})
	s.SetReadiness([]moves.Readiness{{Version: newVersion, Ready: 1, Capacity: 8}}, origin)
	s.Configure(c, []move.Record{r}, origin)
	must.Eq(t, 0.2, s.Shares()[1].Share)
	s.Configure(setConfig(nil), []move.Record{r}, origin)
	must.Eq(t, onlyOld, s.Shares())
	must.SliceLen(t, 1, s.Events())
}

func TestSet_RecordWithLostCommitAnswerIsApplied(t *testing.T) {
	spec := defaultModel().spec()
	c := setConfig(map[ident.MoveName]config.Move{"a": spec})
	s := moves.NewSet("model", moves.Options{})
	first := firstRecord("a", spec, 1)
	s.Configure(c, []move.Record{first}, origin)
	back := first
	back.State, back.At = move.StateTakenBack, origin.Add(time.Second)
	s.Configure(c, []move.Record{back}, origin.Add(2*time.Second))
	s.Configure(c, []move.Record{first}, origin.Add(3*time.Second))
	must.SliceEmpty(t, s.Tick(origin.Add(4*time.Second)))
	must.Eq(t, move.StateTakenBack, s.Records()[0].State)
}

func TestSet_DoneMoveServesAndNextMoveFollows(t *testing.T) {
	spec := defaultModel().spec()
	done := firstRecord("a", spec, 1)
	done.State, done.Share = move.StateDone, 1
	next := config.Move{Pool: "model", From: newVersion, To: "v3", Deadline: spec.Deadline}
	c := setConfig(map[ident.MoveName]config.Move{"a": spec, "b": next})
	s := moves.NewSet("model", moves.Options{})
	s.Configure(c, []move.Record{firstRecord("b", next, 2), done}, origin)
	must.Eq(t, newVersion, s.Serving())
	must.SliceEmpty(t, s.Tick(origin))
}
