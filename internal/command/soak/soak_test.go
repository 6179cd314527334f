package soak_test

import (
	"bytes"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/command"
	"github.com/flamingohaven/flamingohaven/internal/command/soak"
)

// nodeVariable makes the test binary act as the program. It has another prefix
// than the variables of settings, which the program checks.
const nodeVariable = "SOAK_TEST_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(nodeVariable) != "" {
		os.Exit(command.Main(os.Args))
	}
	os.Exit(m.Run())
}

// TestSoak_Seeds plays short runs. Each seed that ever broke a promise stays here
// with its cause. Whether callers got their final words in time is left to runs by
// hand: on a busy machine it is the callers that are late.
func TestSoak_Seeds(t *testing.T) {
	for seed, cause := range map[uint64]string{
		1:  "an ordinary run",
		9:  "a node ended by SIGTERM and started again drained once more",
		14: "a caller's final word waited for a silent service",
	} {
		t.Run(cause, func(t *testing.T) {
			report, err := soak.Run(t.Context(), soak.Options{
				Seed: seed, Duration: 14 * time.Second, Nodes: 4, Rate: 30,
				Command: []string{os.Args[0]}, Environ: []string{nodeVariable + "=1"},
			})
			must.NoError(t, err)
			broken := report.Doubled + report.Wrong + report.FalseNotRun + report.Redispatched + len(report.Violations)
			must.Zero(t, broken, must.Sprintf("%v %+v, logs in %s", report.Violations, report.Broken, report.Folder))
			must.Positive(t, report.InTime)
			must.Positive(t, len(report.Faults))
			must.Positive(t, report.Changes)
		})
	}
}

// TestGenerateFaults_OneNodeAtATime leaves each node time to recover before another is
// disturbed, and draws the same for the same seed.
func TestGenerateFaults_OneNodeAtATime(t *testing.T) {
	for seed := range uint64(100) {
		faults := soak.GenerateFaults(seed, time.Minute, 5, 3)
		must.Eq(t, faults, soak.GenerateFaults(seed, time.Minute, 5, 3))
		target, until := -1, time.Duration(0)
		for _, f := range faults {
			must.Less(t, time.Minute, f.At)
			if f.TargetsUpstream() {
				continue
			}
			if target >= 0 && f.Target != target {
				must.GreaterEq(t, until+soak.RecoveryTime, f.At)
			}
			target, until = f.Target, max(until, f.At+f.For)
		}
	}
}

// TestWritePage draws each tier's line and each disturbance.
func TestWritePage(t *testing.T) {
	report, err := soak.Run(t.Context(), soak.Options{})
	must.Error(t, err)
	must.Nil(t, report)
	var page bytes.Buffer
	must.NoError(t, soak.WritePage(&page, []*soak.Report{soak.SampleReport()}))
	for _, part := range []string{"<polyline", "pause of node 1", "urgent", "all promises kept"} {
		must.StrContains(t, page.String(), part)
	}
}
