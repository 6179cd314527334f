package machine

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// roll starts a rollout and ends it.
func (l *loggedMachine) roll(pool ident.PoolName, target ident.VersionName, state rollout.State) rollout.Record {
	l.do(Command{StartRollout: &rollout.Order{Pool: pool, Target: target, Duration: time.Minute}})
	record, _ := l.Rollout(pool)
	if state.Final() {
		l.do(Command{EndRollout: &rollout.End{Pool: pool, Number: record.Number, State: state, Reason: "test"}})
		record, _ = l.Rollout(pool)
	}
	return record
}

func withheld(r rollout.Record) []ident.VersionName {
	var versions []ident.VersionName
	for _, w := range r.AllWithheld() {
		versions = append(versions, w.Version)
	}
	return versions
}

// TestRollout_WithheldVersions guards against a version that was rolled back and is forgotten with
// the next order, by a snapshot or because the record came from a build without withheld
// versions; and against withholding one that was not rolled back or was ordered again.
func TestRollout_WithheldVersions(t *testing.T) {
	l := newLoggedMachine()
	must.SliceEmpty(t, withheld(l.roll("p", "v2", rollout.StateRunning)))
	must.SliceEmpty(t, withheld(l.roll("p", "v3", rollout.StateCompleted)))
	must.Eq(t, []ident.VersionName{"v4"}, withheld(l.roll("p", "v4", rollout.StateRolledBack)))
	must.SliceEmpty(t, withheld(l.roll("q", "v4", rollout.StateRunning)))
	must.Eq(t, []ident.VersionName{"v4", "v5"}, withheld(l.roll("p", "v5", rollout.StateRolledBack)))
	must.Eq(t, []ident.VersionName{"v4", "v5"}, withheld(l.roll("p", "v3", rollout.StateRunning)))

	snapshot, err := l.Snapshot()
	must.NoError(t, err)
	restored := New(ledger.DefaultLimits())
	must.NoError(t, restored.Restore(snapshot))
	r, _ := restored.Rollout("p")
	must.Eq(t, []ident.VersionName{"v4", "v5"}, withheld(r))

	// The older order that is named again, and its second end.
	must.Eq(t, []ident.VersionName{"v5"}, withheld(l.roll("p", "v4", rollout.StateRunning)))
	must.Eq(t, []ident.VersionName{"v5", "v4"}, withheld(l.roll("p", "v4", rollout.StateRolledBack)))
	before := l.roll("p", "v6", rollout.StateRunning)
	must.Eq(t, "", l.do(Command{Term: 0, ForgetVersions: &rollout.Forget{Pool: "p", Versions: []ident.VersionName{"v5", "v9"}}}).Refusal)
	after, _ := l.Rollout("p")
	must.Eq(t, []ident.VersionName{"v4"}, withheld(after))
	must.Eq(t, []ident.VersionName{"v5", "v4"}, withheld(before))
	must.Eq(t, RefusedUnknown, l.do(Command{ForgetVersions: &rollout.Forget{Pool: "none"}}).Refusal)
}

// TestRollout_RecordOfEarlierBuild checks that records are read by builds without withheld
// versions, and that a rolled back one from such a build is withheld.
func TestRollout_RecordOfEarlierBuild(t *testing.T) {
	type earlier struct {
		rollout.Order
		Number      uint64
		State       rollout.State
		At, EndedAt time.Time
		Reason      string
	}
	data, err := cbor.Marshal(earlier{Order: rollout.Order{Pool: "p", Target: "v2"}, Number: 3, State: rollout.StateRolledBack})
	must.NoError(t, err)
	var ours rollout.Record
	must.NoError(t, cbor.Unmarshal(data, &ours))
	must.Eq(t, []rollout.Withheld{{Version: "v2", Number: 3}}, ours.WithheldAfter("v3"))
	ours.Withheld = ours.AllWithheld()
	data, err = cbor.Marshal(ours)
	must.NoError(t, err)
	var theirs earlier
	must.NoError(t, cbor.Unmarshal(data, &theirs))
	must.Eq(t, 3, theirs.Number)
}
