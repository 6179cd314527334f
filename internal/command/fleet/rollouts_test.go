package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// watchOfRecord returns a watch of a pool with the given latest rollout.
func watchOfRecord(r rollout.Record) *rolloutWatch {
	w := &rolloutWatch{pool: r.Pool, events: timeline.NewRecorder("n", &timeline.Clock{}, 8), explained: make(map[ident.UpstreamName]time.Time)}
	w.update(r, r.At)
	return w
}

// TestRolloutWatch_SharesOfWithheldVersions guards against requests to a version that was rolled
// back, whatever else is listed, and against a share lost by one that was not.
func TestRolloutWatch_SharesOfWithheldVersions(t *testing.T) {
	type versions = []ident.VersionName
	withheld := []rollout.Withheld{{Version: "bad", Number: 1}, {Version: "worse", Number: 2}}
	const canary = 0.08
	for name, c := range map[string]struct {
		target   ident.VersionName
		state    rollout.State
		withheld []rollout.Withheld
		listed   versions
		want     map[ident.VersionName]float64
	}{
		"next version":                   {"v3", rollout.StateRunning, withheld, versions{"bad", "v1", "v3", "worse"}, map[ident.VersionName]float64{"v1": 1 - canary, "v3": canary}},
		"back to the former version":     {"v1", rollout.StateRunning, withheld, versions{"bad", "v1"}, map[ident.VersionName]float64{"v1": canary}},
		"former upstreams lost":          {"v3", rollout.StateRunning, withheld, versions{"bad", "v3"}, map[ident.VersionName]float64{"v3": canary}},
		"next upstreams not listed yet":  {"v3", rollout.StateRunning, withheld, versions{"bad", "v1"}, map[ident.VersionName]float64{"v1": 1}},
		"two former versions":            {"v3", rollout.StateRunning, nil, versions{"v0", "v1", "v3"}, map[ident.VersionName]float64{"v0": (1 - canary) / 2, "v1": (1 - canary) / 2, "v3": canary}},
		"two former versions and a bad":  {"v3", rollout.StateRunning, withheld, versions{"bad", "v0", "v1", "v3"}, map[ident.VersionName]float64{"v0": (1 - canary) / 2, "v1": (1 - canary) / 2, "v3": canary}},
		"completed":                      {"v3", rollout.StateCompleted, withheld, versions{"bad", "v1", "v3"}, map[ident.VersionName]float64{"v3": 1}},
		"rolled back as well":            {"v3", rollout.StateRolledBack, withheld, versions{"bad", "v0", "v1", "v3"}, map[ident.VersionName]float64{"v0": 0.5, "v1": 0.5}},
		"only versions that are no good": {"v3", rollout.StateRolledBack, withheld, versions{"bad", "v3", "worse"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			w := watchOfRecord(rollout.Record{Order: rollout.Order{Pool: "p", Target: c.target, Duration: time.Minute}, Number: 3, State: c.state, At: now, Withheld: c.withheld})
			shares := w.shares(c.listed, now)
			must.SliceLen(t, len(c.listed), shares)
			for i, s := range shares {
				must.Eq(t, c.listed[i], s.Version)
				must.InDelta(t, c.want[s.Version], s.Share, 1e-9, must.Sprint(s.Version))
				must.Eq(t, s.Share, s.NonIdempotentShare)
			}
		})
	}
}

// TestRolloutWatch_ExtraOfVersions guards against former versions that may not take over for one
// that is lost, against a target that takes over for them without an answer that shows that it
// serves, and against a version without a share that takes over.
func TestRolloutWatch_ExtraOfVersions(t *testing.T) {
	now := time.Now()
	record := rollout.Record{
		Order: rollout.Order{Pool: "p", Target: "v3", Duration: time.Minute}, Number: 3, State: rollout.StateRunning, At: now,
		Withheld: []rollout.Withheld{{Version: "bad", Number: 1}},
	}
	w := watchOfRecord(record)
	check := func(want map[ident.VersionName]int) {
		t.Helper()
		for _, s := range w.shares([]ident.VersionName{"bad", "v0", "v1", "v3"}, now) {
			must.Eq(t, want[s.Version], s.Extra, must.Sprint(s.Version))
		}
	}
	check(map[ident.VersionName]int{"v0": math.MaxInt, "v1": math.MaxInt, "v3": 4})
	outcomes := func(kind scheduler.ReportKind, ids ...ident.RequestID) {
		for _, id := range ids {
			w.Granted(scheduler.Ticket{ID: id, Route: "r"}, scheduler.Grant{Version: "v3"})
			w.Reported(scheduler.Report{Ticket: id, Kind: kind, Elapsed: 10 * time.Millisecond})
		}
	}
	outcomes(scheduler.ReportEnded, "a", "b", "c")
	check(map[ident.VersionName]int{"v0": math.MaxInt, "v1": math.MaxInt, "v3": 7})
	outcomes(scheduler.ReportFailed, "d", "e", "f", "g", "h")
	check(map[ident.VersionName]int{"v0": math.MaxInt, "v1": math.MaxInt})
	record.State = rollout.StateRolledBack
	w.update(record, now)
	check(map[ident.VersionName]int{"v0": math.MaxInt, "v1": math.MaxInt})
	record.State = rollout.StateCompleted
	w = watchOfRecord(record)
	for _, s := range w.shares([]ident.VersionName{"bad", "v0", "v3"}, now) {
		must.Eq(t, s.Version == "v3", s.Share > 0, must.Sprint(s.Version))
	}
}

// TestRolloutWatch_FailuresOfWithheldVersions guards against a target that is compared with the
// failures of a version that was rolled back before.
func TestRolloutWatch_FailuresOfWithheldVersions(t *testing.T) {
	now := time.Now()
	w := watchOfRecord(rollout.Record{
		Order: rollout.Order{Pool: "p", Target: "v3", Duration: time.Minute}, Number: 2, State: rollout.StateRunning, At: now,
		Withheld: []rollout.Withheld{{Version: "bad", Number: 1}},
	})
	report := func(id ident.RequestID, version ident.VersionName, kind scheduler.ReportKind) {
		w.Granted(scheduler.Ticket{ID: id, Route: "r"}, scheduler.Grant{Version: version})
		w.Reported(scheduler.Report{Ticket: id, Kind: kind, Elapsed: 10 * time.Millisecond})
	}
	for i := range 40 {
		report(ident.RequestID(rune('a'+i)), "bad", scheduler.ReportFailed)
		report(ident.RequestID(rune('A'+i)), "v1", scheduler.ReportEnded)
	}
	for i := range 8 {
		report(ident.RequestID(rune('0'+i)), "v3", scheduler.ReportFailed)
	}
	end := w.dueEnd(now)
	must.NotNil(t, end)
	must.Eq(t, rollout.StateRolledBack, end.State)
}
