package consensus

import (
	"flag"
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
)

// failSyncs makes every disk sync fail.
var failSyncs = disk.Faults{FailSyncs: true}

// Environment variables that set the seed and the number of generated
// histories.
const (
	seedVariable      = "FLAMINGOHAVEN_SEED"
	historiesVariable = "FLAMINGOHAVEN_HISTORIES"
)

// defaultHistories is the number of generated histories in a run without
// historiesVariable.
const defaultHistories = "60"

// TestMain sets the seed and the number of generated histories and silences the
// log.
func TestMain(m *testing.M) {
	klog.InitFlags(nil)
	setFlag("logtostderr", "false")
	setFlag("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
	setFlag("rapid.seed", orElse(os.Getenv(seedVariable), "1"))
	setFlag("rapid.checks", orElse(os.Getenv(historiesVariable), defaultHistories))
	setFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func orElse(value, fallback string) string {
	if value == "" {
		return fallback
	}
	return value
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
