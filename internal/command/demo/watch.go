package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

const (
	moveWatchInterval = 100 * time.Millisecond
	// takenBackGrace is how long requests that were granted earlier may still
	// reach the bad version after the move was taken back.
	takenBackGrace = time.Second
)

// watchMove logs each change of the move until its state is final or ctx is done.
func (c *cluster) watchMove(ctx context.Context, log func(string)) MoveReport {
	watched := MoveReport{Name: moveName, GraceSeconds: takenBackGrace.Seconds()}
	start := time.Now()
	share := 0.0
	for ctx.Err() == nil && !watched.State.Final() {
		m, found := c.currentMove(ctx)
		if found && (m.State != watched.State || m.Share != share) {
			log(fmt.Sprintf("move %s: %s, %.1f%% of the traffic on %s  %s", m.Name, m.State, m.Share*100, m.To, m.Reason))
			watched.State, watched.Reason, share = m.State, m.Reason, m.Share
		}
		if watched.State == move.StateTakenBack {
			watched.Seconds = time.Since(start).Seconds()
			c.takenBackAt = m.At
		}
		sleep(ctx, moveWatchInterval)
	}
	return watched
}

func (c *cluster) currentMove(ctx context.Context) (opsapi.Move, bool) {
	reply, err := c.client.Moves(ctx)
	if err != nil {
		return opsapi.Move{}, false
	}
	i := slices.IndexFunc(reply.Moves, func(m opsapi.Move) bool { return m.Name == moveName })
	if i < 0 {
		return opsapi.Move{}, false
	}
	return reply.Moves[i], true
}

// countMoveRuns sets the run counts of m from the runs that the engines recorded.
func (c *cluster) countMoveRuns(m *MoveReport) {
	u := c.upstreams
	bad := u.bad.Runs()
	m.BadRuns = len(bad)
	m.PoolRuns = len(u.fast.Runs()) + len(u.middle.Runs()) + len(u.slow.Runs()) + len(bad)
	for _, r := range bad {
		if !c.takenBackAt.IsZero() && r.StartedAt.Sub(c.takenBackAt) > takenBackGrace {
			m.RunsAfterGrace++
		}
	}
}
