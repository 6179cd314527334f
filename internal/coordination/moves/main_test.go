package moves_test

import (
	"flag"
	"os"
	"testing"
)

// seedVariable overrides the fixed seed of the generated histories.
const seedVariable = "FLAMINGOHAVEN_SEED"

// TestMain fixes the seed, so that every run tests the same histories.
func TestMain(m *testing.M) {
	seed := os.Getenv(seedVariable)
	if seed == "" {
		seed = "1"
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
