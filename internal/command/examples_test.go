package command

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/command/load"
)

// TestExamples_NoMistakesOrWarnings runs the check of config check on every
// example folder.
func TestExamples_NoMistakesOrWarnings(t *testing.T) {
	folders, err := os.ReadDir("../../examples")
	must.NoError(t, err)
	must.Positive(t, len(folders))
	for _, f := range folders {
		path := filepath.Join("../../examples", f.Name())
		_, report, err := checkFolder(path)
		must.NoError(t, err)
		must.SliceEmpty(t, report.Mistakes, must.Sprint(path))
		must.SliceEmpty(t, report.Warnings, must.Sprint(path))
	}
	_, err = load.ReadWorkload("../../examples/quickstart/load/workload.yaml")
	must.NoError(t, err)
}
