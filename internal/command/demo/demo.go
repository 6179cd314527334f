package demo

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/command/load"
	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// Options configures a demo run.
type Options struct {
	Duration time.Duration
	Seed     uint64
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Log is called with one line for each step, possibly from several
	// goroutines; nil disables logging.
	Log func(line string)
}

// DefaultRate is the default of Options.Rate, in arrivals per second.
const DefaultRate = 150

const (
	// leavingGrace is how long an upstream may still get new work after the
	// platform was told that it leaves. It includes platformLag.
	leavingGrace = 3 * time.Second
	// drainTimeout limits the wait until the drained node has stopped.
	drainTimeout = 20 * time.Second

	// lostAnswerFraction is the fraction of non-idempotent requests whose first
	// answer the caller drops within lostAfter.
	lostAnswerFraction = 0.2
	lostAfter          = 20 * time.Millisecond
	// burstFactor multiplies the arrival rate during the burst.
	burstFactor = 3
)

// Report holds the results of a demo run.
type Report struct {
	*load.Report
	Drained DrainReport   `json:"drained"`
	Leaving LeavingReport `json:"leaving"`
	Move    MoveReport    `json:"move"`
}

// DrainReport describes how the drained node stopped.
type DrainReport struct {
	Node ident.NodeID `json:"node"`
	// Ended reports whether the node stopped on its own within drainTimeout.
	Ended bool `json:"ended"`
	// Seconds is the time from the drain call until the node had stopped.
	Seconds float64 `json:"seconds"`
}

// LeavingReport counts the runs at the leaving upstream. A run is one execution of
// a request at an upstream.
type LeavingReport struct {
	Upstream string `json:"upstream"`
	// RunsBefore counts the runs that started before the platform was told that
	// the upstream leaves.
	RunsBefore int `json:"runs_before"`
	// RunsWithinGrace counts the runs that started up to GraceSeconds later.
	RunsWithinGrace int     `json:"runs_within_grace"`
	GraceSeconds    float64 `json:"grace_seconds"`
	// RunsAfterGrace counts the runs that started after that; any such run makes
	// the demo fail.
	RunsAfterGrace int `json:"runs_after_grace"`
}

// MoveReport describes the outcome of the move to a bad version.
type MoveReport struct {
	Name   ident.MoveName `json:"name"`
	State  move.State     `json:"state"`
	Reason string         `json:"reason,omitempty"`
	// Seconds is the time from the start of the load until the move was seen to
	// be taken back; zero if it was not.
	Seconds float64 `json:"seconds"`
	// PoolRuns counts all runs of the pool, BadRuns those on the bad version.
	PoolRuns int `json:"pool_runs"`
	BadRuns  int `json:"bad_runs"`
	// RunsAfterGrace counts the runs on the bad version that started more than
	// GraceSeconds after the move was taken back; any such run makes the demo
	// fail.
	RunsAfterGrace int     `json:"runs_after_grace"`
	GraceSeconds   float64 `json:"grace_seconds"`
}

// Failed reports whether the demo violated a guarantee.
func (r *Report) Failed() bool {
	return r.Report.Failed() || !r.Drained.Ended || r.Leaving.RunsAfterGrace > 0 || r.Move.RunsAfterGrace > 0
}

// Run runs a demo. It stops everything that it started and removes its files
// before it returns.
func Run(ctx context.Context, o Options) (report *Report, err error) {
	log := o.Log
	if log == nil {
		log = func(string) {}
	}
	log("starting 3 nodes, 3 engines of different speeds, 1 plain service")
	c, err := startCluster(ctx)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, c.close()) }()
	log("configuration in force at every node")
	return c.run(ctx, o, log)
}

func (c *cluster) run(ctx context.Context, o Options, log func(string)) (*Report, error) {
	report := &Report{}
	var steps, watcher sync.WaitGroup
	steps.Go(func() {
		sleep(ctx, o.Duration/4)
		report.Drained = c.drain(ctx, log)
	})
	var leftAt time.Time
	steps.Go(func() {
		sleep(ctx, o.Duration/2)
		log("engine slow is listed as leaving")
		leftAt = time.Now()
		c.upstreams.platform.SetLeaving(c.upstreams.slow.Addr())
	})
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	watcher.Go(func() { report.Move = c.watchMove(watchCtx, log) })
	result, err := load.Run(ctx, c.loadOptions(o, log))
	steps.Wait()
	stopWatching()
	watcher.Wait()
	if err := errors.Join(err, ctx.Err()); err != nil {
		return nil, err
	}
	report.Report = result.Report(load.NewUpstreams(c.upstreams.runs()...))
	c.countMoveRuns(&report.Move)
	report.Leaving = countLeavingRuns(c.upstreams.slow.Runs(), leftAt)
	return report, nil
}

func (c *cluster) loadOptions(o Options, log func(string)) load.Options {
	return load.Options{
		Addresses:   c.callerAddresses(),
		Workload:    Workload(),
		Rate:        o.Rate,
		Duration:    o.Duration,
		Bursts:      []load.Burst{{At: o.Duration * 5 / 8, Length: o.Duration / 8, Factor: burstFactor}},
		Seed:        o.Seed,
		LostAnswers: lostAnswerFraction,
		LostAfter:   lostAfter,
		VerifyEcho:  true,
		Progress: func(p load.Progress) {
			log(fmt.Sprintf("%4.1fs  sent %d, ended %d", p.Elapsed.Seconds(), p.Sent, p.Ended))
		},
	}
}

// drain drains the last node and waits up to drainTimeout until it has stopped.
func (c *cluster) drain(ctx context.Context, log func(string)) DrainReport {
	n := c.nodes[len(c.nodes)-1]
	drained := DrainReport{Node: n.settings.Node}
	log(fmt.Sprintf("draining %s", drained.Node))
	start := time.Now()
	if _, err := c.client.Drain(ctx, drained.Node); err != nil {
		log(fmt.Sprintf("drain failed: %v", err))
		return drained
	}
	select {
	case <-n.agent.Drained():
		drained.Ended = true
		drained.Seconds = time.Since(start).Seconds()
		log(fmt.Sprintf("%s stopped on its own after %.1fs", drained.Node, drained.Seconds))
	case <-time.After(drainTimeout):
	case <-ctx.Done():
	}
	return drained
}

// countLeavingRuns counts the runs of the leaving upstream by their start relative
// to at, when the platform was told that it leaves.
func countLeavingRuns(runs []fakes.Run, at time.Time) LeavingReport {
	l := LeavingReport{Upstream: "slow", GraceSeconds: leavingGrace.Seconds()}
	for _, r := range runs {
		switch after := r.StartedAt.Sub(at); {
		case after < 0:
			l.RunsBefore++
		case after <= leavingGrace:
			l.RunsWithinGrace++
		default:
			l.RunsAfterGrace++
		}
	}
	return l
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
