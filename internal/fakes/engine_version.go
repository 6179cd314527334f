package fakes

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// VersionFault describes the fault of a version. The fault applies only when all
// its conditions hold.
type VersionFault struct {
	// FailRate is the fraction of requests that fail, 0 to 1.
	FailRate float64
	// FailMidStream lets requests fail halfway through their output instead of at
	// once.
	FailMidStream bool
	// SlowFactor multiplies the time of every step; zero means 1. It does not
	// depend on Model.
	SlowFactor float64
	// After is the time from the version's first request until the fault begins.
	After time.Duration
	// MinRunning limits the fault to times at which at least this many sequences
	// are in the batch or, for SlowFactor, decode.
	MinRunning int
	// Path limits the fault to this path; empty means all paths.
	Path string
	// Model limits the fault to this model; empty means all models.
	Model string
}

// applies reports whether the fault applies to a request, given the time since the
// version's first request and the number of running sequences.
func (f VersionFault) applies(path, model string, age time.Duration, running int) bool {
	return age >= f.After &&
		running >= f.MinRunning &&
		(f.Path == "" || f.Path == path) &&
		(f.Model == "" || f.Model == model)
}

// versionFault returns the version's fault and whether it applies to a request on
// the path and model at present.
func (e *Engine) versionFault(v ident.VersionName, path, model string) (VersionFault, bool) {
	f, bad := e.options.Faults[v]
	if !bad {
		return VersionFault{}, false
	}
	running, waiting := e.batch.sizes()
	return f, f.applies(path, model, e.versions.age(v), running+waiting)
}

// stepTime returns the duration of one step of the batch. If the version of the
// oldest sequence is slow, the whole batch is.
func (e *Engine) stepTime(work stepWork) time.Duration {
	prefill := float64(work.prefillTokens) / e.options.PrefillTokensPerSecond * float64(time.Second)
	decode := float64(e.options.StepBase) + float64(work.decoding)*float64(e.options.StepPerSequence)
	factor := e.faults.slowFactor()
	f, bad := e.options.Faults[work.version]
	if bad && f.SlowFactor > 0 && f.applies(work.path, f.Model, e.versions.age(work.version), work.decoding) {
		factor *= f.SlowFactor
	}
	return time.Duration((prefill + decode) * factor)
}
