package demo

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestDemo_NodeDrainsAndUpstreamLeaves runs a short demo. No request may be lost or
// executed twice while a node drains and an upstream leaves, and no temporary file
// may remain.
func TestDemo_NodeDrainsAndUpstreamLeaves(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	report, err := Run(t.Context(), Options{Duration: 2 * time.Second, Seed: 1, Rate: 60, Log: func(l string) { t.Log(l) }})
	must.NoError(t, err)
	t.Logf("%+v %+v %+v", report.Counts, report.Refused, report.Broken)
	must.Zero(t, report.Lost)
	must.Zero(t, report.Doubled)
	must.Zero(t, report.Redispatched)
	must.Zero(t, report.Wrong)
	must.Zero(t, report.FalseNotRun)
	must.True(t, report.Drained.Ended)
	must.False(t, report.Failed())
	must.Positive(t, report.Answered)
	leftover, err := filepath.Glob(filepath.Join(os.TempDir(), "*"))
	must.NoError(t, err)
	must.SliceEmpty(t, leftover)
}
