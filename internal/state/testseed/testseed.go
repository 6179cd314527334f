// Package testseed fixes the seed of property-based tests, so that every run
// generates the same operations. Only tests use it.
package testseed

import (
	"flag"
	"fmt"
	"os"
)

// EnvVar is the environment variable that overrides the default seed.
const EnvVar = "FLAMINGOHAVEN_SEED"

// defaultSeed is the seed used if EnvVar is unset or empty.
const defaultSeed = "1"

// Setting is a command-line flag of the rapid library and its value.
type Setting struct {
	Flag  string
	Value string
}

// Fix sets the seed and the given flags of rapid. It panics if rapid does not
// define a flag or is not linked into the test binary.
func Fix(settings ...Setting) {
	seed := os.Getenv(EnvVar)
	if seed == "" {
		seed = defaultSeed
	}
	setFlag(Setting{Flag: "rapid.seed", Value: seed})
	setFlag(Setting{Flag: "rapid.nofailfile", Value: "true"})
	for _, s := range settings {
		setFlag(s)
	}
}

func setFlag(s Setting) {
	if err := flag.Set(s.Flag, s.Value); err != nil {
		panic(fmt.Sprintf("testseed: -%s=%s: %v", s.Flag, s.Value, err))
	}
}
