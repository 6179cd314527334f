package ledger

import (
	"os"
	"testing"

	"github.com/flamingohaven/flamingohaven/internal/state/testseed"
)

// TestMain fixes the seed of the property-based tests; FLAMINGOHAVEN_SEED
// overrides it.
func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}
