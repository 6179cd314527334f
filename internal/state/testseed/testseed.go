// Package testseed fixes the seeds of generated tests, so that every run tests
// the same histories. Only tests use it.
package testseed

import (
	"flag"
	"fmt"
	"os"
)

// EnvVar is the environment variable that overrides the fixed seed.
const EnvVar = "FLAMINGOHAVEN_SEED"

// defaultSeed is the seed of an ordinary run.
const defaultSeed = "1"

// Setting is the value of one flag of the library that generates histories.
type Setting struct {
	Flag  string
	Value string
}

// Fix sets the seed and further settings of rapid. It panics if the test binary
// does not link rapid.
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
