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

// nodeVariable is the environment variable that makes the test binary act as the
// program. It does not begin with FLAMINGOHAVEN_, because the program rejects
// unknown variables with that prefix.
const nodeVariable = "SOAK_TEST_NODE"

func TestMain(m *testing.M) {
	if os.Getenv(nodeVariable) != "" {
		os.Exit(command.Main(os.Args))
	}
	os.Exit(m.Run())
}

// TestSoak_Seeds performs short runs. Every seed that has violated a guarantee stays
// in the list with its cause. Lost requests are checked only in manual runs: on a
// busy machine the callers themselves are late and miss answers.
func TestSoak_Seeds(t *testing.T) {
	for seed, cause := range map[uint64]string{
		1:  "no known failure",
		9:  "a node restarted after SIGTERM drained again",
		14: "a caller's final answer was delayed by a silent service",
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

// TestGenerateFaults_OneNodeAtATime checks that each node has time to recover before
// another one gets a fault, and that equal seeds give equal faults.
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

// TestWritePage checks that the page shows each tier's line and each fault, and that
// Run rejects empty options.
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
