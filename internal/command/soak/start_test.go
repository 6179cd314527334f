package soak

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestRun_FailedStartNamesItsFolder checks that a run which can't start its nodes says where
// their logs are: they hold the reason.
func TestRun_FailedStartNamesItsFolder(t *testing.T) {
	parent := t.TempDir()
	t.Setenv("TMPDIR", parent)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	_, err := Run(ctx, Options{Nodes: replicas, Duration: 10 * time.Second, Rate: 1, Command: []string{"false"}})
	must.Error(t, err)
	folders, globErr := filepath.Glob(filepath.Join(parent, "*"))
	must.NoError(t, globErr)
	must.Len(t, 1, folders)
	must.StrContains(t, err.Error(), folders[0])
	_, statErr := os.Stat(filepath.Join(folders[0], nodeName(0)+".log"))
	must.NoError(t, statErr)
}
