package control

import (
	"os"
	"testing"

	"github.com/flamingohaven/flamingohaven/internal/state/testseed"
)

// TestMain fixes the seed of the randomized tests; FLAMINGOHAVEN_SEED overrides
// it.
func TestMain(m *testing.M) {
	testseed.Fix(
		testseed.Setting{Flag: "rapid.checks", Value: "200"},
		testseed.Setting{Flag: "rapid.steps", Value: "120"},
	)
	os.Exit(m.Run())
}
