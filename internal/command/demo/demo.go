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

// Options describes one demo.
type Options struct {
	Duration time.Duration
	Seed     uint64
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Log is told of each step, in one line; nil means silence.
	Log func(line string)
}

// DefaultRate is the mean number of arrivals per second.
const DefaultRate = 150

const (
	// leavingGrace is how long after the platform's word a leaving upstream
	// may still get new work.
	leavingGrace = 3 * time.Second
	// drainTimeout bounds the wait for the drained node's end.
	drainTimeout = 20 * time.Second

	lostAnswerFraction = 0.2
	lostAfter          = 20 * time.Millisecond
	burstFactor        = 3
)

// Report is the outcome of a demo.
type Report struct {
	*load.Report
	Drained DrainReport   `json:"drained"`
	Leaving LeavingReport `json:"leaving"`
	Move    MoveReport    `json:"move"`
}

// DrainReport tells how the drained node left.
type DrainReport struct {
	Node ident.NodeID `json:"node"`
	// Ended means that the node ended by itself.
	Ended bool `json:"ended"`
	// Seconds run from the operator's call to the node's end.
	Seconds float64 `json:"seconds"`
}

// LeavingReport tells what the leaving upstream got.
type LeavingReport struct {
	Upstream string `json:"upstream"`
	// RunsBefore counts its runs before it was named as leaving.
	RunsBefore int `json:"runs_before"`
	// RunsWithinGrace counts new runs within GraceSeconds of that.
	RunsWithinGrace int     `json:"runs_within_grace"`
	GraceSeconds    float64 `json:"grace_seconds"`
	// RunsAfterGrace counts later ones; it must be zero.
	RunsAfterGrace int `json:"runs_after_grace"`
}

// MoveReport tells what became of the move to a bad version.
type MoveReport struct {
	Name   ident.MoveName `json:"name"`
	State  move.State     `json:"state"`
	Reason string         `json:"reason,omitempty"`
	// Seconds run from the start of the load to the taking back.
	Seconds float64 `json:"seconds"`
	// PoolRuns counts all runs of the pool, BadRuns those on the bad version.
	PoolRuns int `json:"pool_runs"`
	BadRuns  int `json:"bad_runs"`
	// RunsAfterGrace counts runs on the bad version that began more than
	// GraceSeconds after it was taken back; it must be zero.
	RunsAfterGrace int     `json:"runs_after_grace"`
	GraceSeconds   float64 `json:"grace_seconds"`
}

// Failed reports whether the demo broke a promise.
func (r *Report) Failed() bool {
	return r.Report.Failed() || !r.Drained.Ended || r.Leaving.RunsAfterGrace > 0 || r.Move.RunsAfterGrace > 0
}

// Run runs a demo. It leaves nothing behind.
func Run(ctx context.Context, o Options) (report *Report, err error) {
	log := o.Log
	if log == nil {
		log = func(string) {}
	}
	log("starting 3 nodes, 3 engines of unlike speed, 1 plain service")
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
		log("engine slow is named as leaving")
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

// drain makes the last node leave and waits for its end.
func (c *cluster) drain(ctx context.Context, log func(string)) DrainReport {
	n := c.nodes[len(c.nodes)-1]
	drained := DrainReport{Node: n.settings.Node}
	log(fmt.Sprintf("%s is drained", drained.Node))
	began := time.Now()
	if _, err := c.client.Drain(ctx, drained.Node); err != nil {
		log(fmt.Sprintf("drain failed: %v", err))
		return drained
	}
	select {
	case <-n.agent.Drained():
		drained.Ended = true
		drained.Seconds = time.Since(began).Seconds()
		log(fmt.Sprintf("%s ended by itself after %.1fs", drained.Node, drained.Seconds))
	case <-time.After(drainTimeout):
	case <-ctx.Done():
	}
	return drained
}

// countLeavingRuns counts what the countLeavingRuns upstream got before and after its countLeavingRuns.
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
