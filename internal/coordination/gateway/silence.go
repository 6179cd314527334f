package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

const (
	// silenceOfObjective is the part of its objective that a request which may go
	// elsewhere waits for the first sign of an answer: the rest is enough for
	// another upstream.
	silenceOfObjective = 0.5
	// silenceOfExpected keeps usual variation from counting as silence.
	silenceOfExpected = 4
)

// errSilent ends a dispatch that has shown no sign of life for too long.
var errSilent = errors.New("the upstream fell silent")

// silenceWatch ends a dispatch whose upstream shows no sign of an answer. A nil
// watch does nothing. A stream that has begun is never ended for its silence:
// the rest may still come, and no other upstream may be free.
type silenceWatch struct{ timer *time.Timer }

// silenceBound returns how long a request may wait for the first sign of an
// answer; zero for no bound. Only a request that may go elsewhere has one.
func silenceBound(r *Request, grant *scheduler.Grant, begun bool) time.Duration {
	elsewhere := (r.Repeatable || r.Resumable) && !begun && r.sends+1 < r.MaxAttempts
	if !elsewhere || r.Objective.IsZero() {
		return 0
	}
	return max(
		time.Duration(float64(r.ObjectiveSpan)*silenceOfObjective),
		time.Duration(float64(grant.First)*silenceOfExpected),
	)
}

// watchSilence starts a watch that cancels a dispatch, or returns nil.
func watchSilence(bound time.Duration, cancel context.CancelCauseFunc) *silenceWatch {
	if bound <= 0 {
		return nil
	}
	return &silenceWatch{timer: time.AfterFunc(bound, func() { cancel(errSilent) })}
}

// stop ends the watch: the answer has begun, or the dispatch has ended.
func (w *silenceWatch) stop() {
	if w != nil {
		w.timer.Stop()
	}
}
