package machine

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of random tests; FLAMINGOHAVEN_SEED overrides it.
func TestMain(m *testing.M) {
	seed, set := os.LookupEnv("FLAMINGOHAVEN_SEED")
	if !set {
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
