package pool

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// brokenSubmits is a caller whose submits fail and whose polls are answered.
type brokenSubmits struct{}

func (brokenSubmits) Call(_ context.Context, _, method string, _, _ any) error {
	if method == ServiceName+".Submit" {
		return errors.New("connection reset")
	}
	return nil
}

// TestClient_AnsweredPollBetweenFailures checks that a scheduler which answers a poll
// between two failed calls does not count as failed: only failures in a row do.
func TestClient_AnsweredPollBetweenFailures(t *testing.T) {
	c := NewClient(testPool, "g1", 1, brokenSubmits{}, nil)
	failed := 0
	c.SetFailureHandler(time.Second, func(string) { failed++ })
	ctx := context.Background()
	must.False(t, c.send(ctx, &SubmitArgs{}, "s"))
	must.True(t, c.pollOnce(ctx, Session{}, "s"))
	must.False(t, c.send(ctx, &SubmitArgs{}, "s"))
	must.Zero(t, failed)
	must.False(t, c.send(ctx, &SubmitArgs{}, "s"))
	must.Eq(t, 1, failed)
}
