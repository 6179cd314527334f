package fakes

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// VersionFault is what is wrong with a bad version.
type VersionFault struct {
	// FailRate is the fraction of requests that fail, 0 to 1.
	FailRate float64
	// FailMidStream breaks failing requests halfway instead of refusing them.
	FailMidStream bool
	// SlowFactor multiplies the time of every step; zero means 1.
	SlowFactor float64
	// After delays the fault from the version's first request.
	After time.Duration
	// AboveRunning shows the fault only while more sequences run.
	AboveRunning int
	// Path shows the fault on this path only; empty means all.
	Path string
	// Model shows the fault on this model only; empty means all.
	Model string
}

// shows reports whether the fault applies to a request.
func (f VersionFault) applies(path, model string, age time.Duration, running int) bool {
	return age >= f.After &&
		running >= f.AboveRunning &&
		(f.Path == "" || f.Path == path) &&
		(f.Model == "" || f.Model == model)
}

// versionFault returns the fault that a request on a version meets now, if any.
func (e *Engine) versionFault(v ident.VersionName, path, model string) (VersionFault, bool) {
	f, bad := e.options.Faults[v]
	if !bad {
		return VersionFault{}, false
	}
	running, waiting := e.batch.sizes()
	return f, f.applies(path, model, e.versions.age(v), running+waiting)
}

// stepTime returns the duration of one step of the batch. A slow version slows
// the whole batch.
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
