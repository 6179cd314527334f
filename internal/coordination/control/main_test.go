package control

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
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.checks": "200", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
