package membership

import (
	"os"
	"testing"

	"github.com/flamingohaven/flamingohaven/internal/state/testseed"
)

// TestMain fixes the seed, so that every run generates the same test cases.
func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}
