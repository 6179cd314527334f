package moves_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/moves"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

func TestMove_GoodVersionIsDoneInTime(t *testing.T) {
	m := defaultModel()
	res := m.simulate(newRand(1), newController(m))
	must.Eq(t, move.StateDone, res.record.State, must.Sprint(res.record.Reason))
	must.Eq(t, 1, res.record.Share)
	must.Eq(t, 1, res.record.NonIdempotentShare)
}

func TestMove_ImmediateFailureIsTakenBack(t *testing.T) {
	m := defaultModel()
	m.fault = fault{failRate: 0.9}
	res := m.simulate(newRand(2), newController(m))
	must.Eq(t, move.StateTakenBack, res.record.State)
	must.LessEq(t, moves.MaxCanaryShare, res.badShare)
	must.Less(t, 0.05, res.worstHarm())
	must.Less(t, 2*time.Minute, res.endedAt)
}

func TestMove_NeverReadyIsTakenBackAtDeadline(t *testing.T) {
	m := defaultModel()
	m.deadline = 5 * time.Minute
	m.readyAt = time.Hour
	res := m.simulate(newRand(3), newController(m))
	must.Eq(t, move.StateTakenBack, res.record.State)
	must.StrContains(t, res.record.Reason, "no upstream with v2 was ready")
	must.Zero(t, res.maxShare)
}
