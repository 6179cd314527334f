package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
)

const (
	// silenceObjectiveFraction is the fraction of its objective that a request
	// which may be retried elsewhere waits for the answer to begin. The rest is
	// enough for another upstream.
	silenceObjectiveFraction = 0.5
	// silenceExpectedFactor is the multiple of the expected time to the first
	// token that counts as silence. It is high enough for normal variation.
	silenceExpectedFactor = 4
)

// errSilent ends a dispatch whose answer did not begin within the silence
// timeout.
var errSilent = errors.New("the upstream fell silent")

// silenceTimer cancels a dispatch whose answer does not begin in time. A nil
// timer does nothing. A stream that has begun is never canceled for silence: the
// rest may still arrive, and no other upstream may be free.
type silenceTimer struct{ timer *time.Timer }

// silenceTimeout returns how long a request may wait for its answer to begin;
// zero for no limit. Only a request that may be retried elsewhere has a limit.
func silenceTimeout(r *Request, grant *scheduler.Grant, begun bool) time.Duration {
	if begun || !r.mayFailOnce() || r.Objective.IsZero() {
		return 0
	}
	return max(
		time.Duration(float64(r.ObjectiveDuration)*silenceObjectiveFraction),
		time.Duration(float64(grant.First)*silenceExpectedFactor),
	)
}

// startSilenceTimer starts a timer that cancels a dispatch. It returns nil if the
// timeout is not positive.
func startSilenceTimer(timeout time.Duration, cancel context.CancelCauseFunc) *silenceTimer {
	if timeout <= 0 {
		return nil
	}
	return &silenceTimer{timer: time.AfterFunc(timeout, func() { cancel(errSilent) })}
}

// stop stops the timer, because the answer has begun or the dispatch has ended.
func (w *silenceTimer) stop() {
	if w != nil {
		w.timer.Stop()
	}
}
