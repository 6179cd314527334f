// Package soak runs real processes of the system on one machine under load, injects
// faults from a seeded schedule and checks the guarantees given to callers,
// upstreams and operators.
package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/flamingohaven/flamingohaven/internal/command/demo"
	"github.com/flamingohaven/flamingohaven/internal/command/load"
	"github.com/flamingohaven/flamingohaven/internal/fakes"
)

// Options describes one run.
type Options struct {
	Seed     uint64
	Duration time.Duration
	// Nodes is the number of processes, including those with a replica of the
	// replicated log, of which there are three; it must be at least that.
	Nodes int
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Command is the program with its first arguments; the arguments of each node
	// are appended. Environ is added to the environment of the processes.
	Command []string
	Environ []string
	// Log, if not nil, is called with a line of progress for each step.
	Log func(line string)
}

// DefaultRate is the default of Options.Rate, in arrivals per second.
const DefaultRate = 60

// Report is the outcome of one run.
type Report struct {
	*load.Report
	Faults []Fault `json:"faults"`
	// Goodput holds the answers in time by tier and second of arrival.
	Goodput []load.Series `json:"goodput"`
	// Violations describes violated guarantees other than those that load.Report
	// counts.
	Violations []string `json:"violations,omitempty"`
	// Changes counts the acknowledged changes of the configuration.
	Changes int `json:"config_changes"`
	// Folder is the path of the nodes' logs, kept if the run violated a guarantee.
	Folder string `json:"folder,omitempty"`
}

// Failed reports whether the run violated a guarantee.
func (r *Report) Failed() bool { return r.Report.Failed() || len(r.Violations) > 0 }

const (
	// settleTime is the period at the end of the load in which no fault starts.
	settleTime = 6 * time.Second
	// changeInterval is the pause between two rounds of configuration changes.
	changeInterval = 1500 * time.Millisecond
	// changeTimeout limits one change, as the node that receives it may be stopped
	// for longer.
	changeTimeout = 5 * time.Second
)

// run is the state of one soak run.
type run struct {
	*cluster
	options    *Options
	began      time.Time
	faults     []Fault
	mu         sync.Mutex
	violations []string
	changes    int
	// disturbed holds the fault intervals of each node, by its index.
	disturbed [][]*interval
}

// interval is the time of one node fault with the recovery from it. to is zero
// until the fault has ended.
type interval struct{ from, to time.Time }

func (i *interval) overlaps(from, to time.Time) bool {
	return to.After(i.from) && (i.to.IsZero() || from.Before(i.to))
}

// Run performs one soak run and returns its report. It signals only processes that
// it started.
func Run(ctx context.Context, o Options) (report *Report, err error) {
	if o.Nodes < replicas || o.Duration <= 0 || o.Rate <= 0 || len(o.Command) == 0 {
		return nil, fmt.Errorf("soak: command %q must be set, duration %s and rate %g must be above zero, nodes %d must be at least %d",
			o.Command, o.Duration, o.Rate, o.Nodes, replicas)
	}
	c, err := startCluster(ctx, &o)
	if err != nil {
		return nil, err
	}
	r := &run{cluster: c, options: &o, disturbed: make([][]*interval, o.Nodes)}
	r.faults = GenerateFaults(o.Seed, o.Duration-settleTime, o.Nodes, len(c.upstreams))
	defer func() { err = errors.Join(err, c.close(), r.removeFolder(report)) }()
	return r.execute(ctx)
}

// removeFolder removes the run's folder, unless the run violated a guarantee: then
// it sets report.Folder, so that the nodes' logs can be read.
func (r *run) removeFolder(report *Report) error {
	if report != nil && report.Failed() {
		report.Folder = r.folder
		return nil
	}
	return os.RemoveAll(r.folder)
}

// execute runs the load, the faults and the configuration changes side by side,
// then checks the final state.
func (r *run) execute(ctx context.Context) (*Report, error) {
	r.began = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var injecting, changing sync.WaitGroup
	for _, f := range r.faults {
		injecting.Go(func() { r.inject(ctx, f) })
	}
	changingCtx, stopChanging := context.WithCancel(ctx)
	defer stopChanging()
	changing.Go(func() { r.changeConfig(changingCtx) })
	result, err := load.Run(ctx, r.loadOptions())
	if err != nil {
		return nil, err
	}
	injecting.Wait()
	stopChanging()
	changing.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	r.checkFinalState(ctx)
	return r.report(result), nil
}

func (r *run) loadOptions() load.Options {
	var addresses []string
	for _, n := range r.nodes {
		addresses = append(addresses, n.callers.address())
	}
	return load.Options{
		Addresses: addresses, Workload: demo.Workload(), Rate: r.options.Rate, Duration: r.options.Duration,
		Seed: r.options.Seed, LostAnswers: 0.1, LostAfter: 20 * time.Millisecond, VerifyEcho: true,
		Disturbed: r.isDisturbed,
		Progress: func(p load.Progress) {
			r.say(fmt.Sprintf("%5.1fs  sent %d, ended %d", p.Elapsed.Seconds(), p.Sent, p.Ended))
		},
	}
}

func (r *run) say(line string) {
	if r.options.Log != nil {
		r.options.Log(line)
	}
}

func (r *run) addViolation(problem string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, problem)
}

// inject waits for the start of a fault, injects it and ends it.
func (r *run) inject(ctx context.Context, f Fault) {
	sleep(ctx, f.At-time.Since(r.began))
	if ctx.Err() != nil {
		return
	}
	r.say(fmt.Sprintf("%5.1fs  %s", time.Since(r.began).Seconds(), f))
	var err error
	if f.TargetsUpstream() {
		r.injectUpstreamFault(ctx, f, r.upstreams[f.Target])
	} else {
		d := &interval{from: time.Now()}
		r.mu.Lock()
		r.disturbed[f.Target] = append(r.disturbed[f.Target], d)
		r.mu.Unlock()
		err = r.injectNodeFault(ctx, f, r.nodes[f.Target])
		r.mu.Lock()
		d.to = time.Now().Add(RecoveryTime)
		r.mu.Unlock()
	}
	if err != nil {
		r.addViolation(fmt.Sprintf("%s: %v", f, err))
	}
}

func (r *run) injectNodeFault(ctx context.Context, f Fault, n *node) error {
	switch f.Kind {
	case FaultPause:
		if err := n.process.signal(syscall.SIGSTOP); err != nil {
			return nil // Another fault has already ended the process.
		}
		sleep(ctx, f.For)
		_ = n.process.signal(syscall.SIGCONT)
		return nil
	case FaultKill, FaultEmptyDisk, FaultTornLog, FaultTerminate:
		return r.restart(ctx, f, n)
	}
	for _, p := range n.proxies() {
		p.setCondition(f.condition())
	}
	sleep(ctx, f.For)
	for _, p := range n.proxies() {
		p.setCondition(condition{})
	}
	return nil
}

// restart stops a node's process and starts it again after the length of the fault.
// On a replica, FaultEmptyDisk and FaultTornLog damage the data folder in between.
func (r *run) restart(ctx context.Context, f Fault, n *node) error {
	if !n.process.beginRestart() {
		return nil // Another fault is already restarting the process.
	}
	defer n.process.endRestart()
	if f.Kind == FaultTerminate {
		r.stop(n)
	} else {
		n.process.stop(syscall.SIGKILL, stopTimeout)
	}
	sleep(ctx, f.For)
	var err error
	switch {
	case f.Target >= replicas:
	case f.Kind == FaultEmptyDisk:
		err = n.emptyDisk()
	case f.Kind == FaultTornLog:
		err = n.tearLog()
	}
	return errors.Join(err, n.process.start())
}

// linkDelay is the delay of each piece of data on a slow link.
const linkDelay = 150 * time.Millisecond

// condition returns the network fault that f causes on the links to its target.
func (f Fault) condition() condition {
	switch f.Kind {
	case FaultSilence, FaultUpstreamSilence:
		return condition{Silent: [2]bool{true, true}}
	case FaultOneWay:
		return condition{Silent: [2]bool{toClient: true}}
	case FaultReset, FaultUpstreamReset:
		return condition{Reset: true}
	case FaultDelay:
		return condition{Delay: linkDelay}
	default:
		return condition{}
	}
}

// slowFactor is the factor by which a slow upstream takes longer.
const slowFactor = 8

func (r *run) injectUpstreamFault(ctx context.Context, f Fault, u *upstream) {
	switch f.Kind {
	case FaultUpstreamSlow:
		u.fake.SetSlow(slowFactor)
		sleep(ctx, f.For)
		u.fake.SetSlow(1)
	case FaultUpstreamErrors:
		u.fake.SetFail(fakes.FailStatus)
		sleep(ctx, f.For)
		u.fake.SetFail(fakes.FailNone)
	default:
		u.proxy.setCondition(f.condition())
		sleep(ctx, f.For)
		u.proxy.setCondition(condition{})
	}
}

// changeConfig replaces the configuration repeatedly until ctx ends. In each round
// two operators race with the same change.
func (r *run) changeConfig(ctx context.Context) {
	for round := 1; ctx.Err() == nil; round++ {
		sleep(ctx, changeInterval)
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, changeTimeout)
				defer cancel()
				if r.apply(ctx, round, uuid.NewString()) == nil {
					r.mu.Lock()
					defer r.mu.Unlock()
					r.changes++
				}
			})
		}
		both.Wait()
	}
}

// isDisturbed reports whether the node at an address had a fault, or was recovering
// from one, at some time between from and to.
func (r *run) isDisturbed(address string, from, to time.Time) bool {
	i := slices.IndexFunc(r.nodes, func(n *node) bool { return n.callers.address() == address })
	if i < 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.disturbed[i], func(d *interval) bool { return d.overlaps(from, to) })
}

// checkFinalState checks what must hold once all faults have ended: every node
// serves requests, no acknowledged configuration was lost, no process exited
// unexpectedly, and every process sent SIGTERM exited in time.
func (r *run) checkFinalState(ctx context.Context) {
	for i, n := range r.nodes {
		if err := r.retry(ctx, func(ctx context.Context) error { return sendLookup(ctx, n.callers.address()) }); err != nil {
			r.addViolation(fmt.Sprintf("%s does not serve requests %s after the last fault: %v", nodeName(i), startTimeout, err))
		}
	}
	current, err := r.client.Config(ctx)
	switch {
	case err != nil:
		r.addViolation(fmt.Sprintf("reading the configuration after the last fault failed: %v", err))
	case uint64(current.Revision) < r.acknowledged:
		r.addViolation(fmt.Sprintf("revision %d was acknowledged, but the current revision is %d", r.acknowledged, current.Revision))
	}
	for _, n := range r.nodes {
		for _, end := range n.process.unexpectedExits() {
			r.addViolation(end)
		}
	}
	for _, late := range r.overdue {
		r.addViolation(late)
	}
}

func (r *run) report(result *load.Result) *Report {
	var runs [][]fakes.Run
	for _, u := range r.upstreams {
		runs = append(runs, u.fake.Runs())
	}
	return &Report{
		Report: result.Report(load.NewUpstreams(runs...)), Faults: r.faults,
		Goodput: result.Goodput(time.Second), Violations: r.violations, Changes: r.changes,
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
