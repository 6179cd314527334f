package moves_test

import (
	"os"
	"testing"

	"github.com/flamingohaven/flamingohaven/internal/state/testseed"
)

// TestMain fixes the random seed, so that every run tests the same cases.
func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}
