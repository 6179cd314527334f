// Package soak runs real processes of the system on one machine, disturbs them
// from outside by a seeded schedule and checks what callers, upstreams and
// operators were promised.
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
	// Nodes is the number of processes, replicas included; at least replicas.
	Nodes int
	// Rate is the mean number of arrivals per second.
	Rate float64
	// Command starts the program, to which its arguments are added, and Environ
	// is added to the environment of its processes.
	Command []string
	Environ []string
	// Say is told of each step, in one line; nil means silence.
	Say func(line string)
}

// DefaultRate is the mean number of arrivals per second.
const DefaultRate = 60

// Report is the outcome of one run.
type Report struct {
	*load.Report
	Faults []Fault `json:"faults"`
	// Goodput holds the answers in time by tier and second of their arrival.
	Goodput []load.Series `json:"goodput"`
	// Violations tells of broken promises beside those that the load counts.
	Violations []string `json:"violations,omitempty"`
	// Changes counts the acknowledged changes of the configuration.
	Changes int `json:"config_changes"`
	// Folder holds the nodes' logs of a run that broke a promise.
	Folder string `json:"folder,omitempty"`
}

// Failed reports whether a promise was broken.
func (r *Report) Failed() bool { return r.Report.Failed() || len(r.Violations) > 0 }

const (
	// settleTime is how long load goes on after the last disturbance.
	settleTime = 6 * time.Second
	// changeInterval is the time between two changes of the configuration.
	changeInterval = 1500 * time.Millisecond
	// changeTimeout bounds one change; a node may be stopped for longer.
	changeTimeout = 5 * time.Second
)

// run is one soak while it goes on.
type run struct {
	*cluster
	options    *Options
	began      time.Time
	faults     []Fault
	mu         sync.Mutex
	violations []string
	changes    int
	disturbed  [][]*interval
}

// interval is a time in which a node was disturbed. To is zero while it is.
type interval struct{ from, to time.Time }

func (i *interval) overlaps(from, to time.Time) bool {
	return to.After(i.from) && (i.to.IsZero() || from.Before(i.to))
}

// Run plays one seed. It ends only processes that it started.
func Run(ctx context.Context, o Options) (report *Report, err error) {
	if o.Nodes < replicas || o.Duration <= 0 || o.Rate <= 0 || len(o.Command) == 0 {
		return nil, fmt.Errorf("soak: want a command, a duration, a rate and at least %d nodes", replicas)
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

// removeFolder removes the run's folder unless a promise was broken.
func (r *run) removeFolder(report *Report) error {
	if report != nil && report.Failed() {
		report.Folder = r.folder
		return nil
	}
	return os.RemoveAll(r.folder)
}

func (r *run) execute(ctx context.Context) (*Report, error) {
	r.began = time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var disturbing, changing sync.WaitGroup
	for _, f := range r.faults {
		disturbing.Go(func() { r.inject(ctx, f) })
	}
	changingCtx, stopChanging := context.WithCancel(ctx)
	defer stopChanging()
	changing.Go(func() { r.changeConfig(changingCtx) })
	result, err := load.Run(ctx, r.loadOptions())
	if err != nil {
		return nil, err
	}
	disturbing.Wait()
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
	if r.options.Say != nil {
		r.options.Say(line)
	}
}

func (r *run) addViolation(problem string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, problem)
}

// inject waits for a fault's time, makes it and mends it.
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
			return nil // It has ended by another disturbance.
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

// restart ends a node's process and starts it again.
func (r *run) restart(ctx context.Context, f Fault, n *node) error {
	if !n.process.beginRestart() {
		return nil // Another disturbance restarts it already.
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

// linkDelay is what a slow link adds to each piece of data.
const linkDelay = 150 * time.Millisecond

// condition is what a fault does to the links of its target.
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

// slowFactor is how much longer a slow upstream takes.
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

// changeConfig replaces the configuration again and again, as two operators who race.
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

// isDisturbed tells whether the node at an address was disturbed at a time.
func (r *run) isDisturbed(address string, from, to time.Time) bool {
	i := slices.IndexFunc(r.nodes, func(n *node) bool { return n.callers.address() == address })
	if i < 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.disturbed[i], func(d *interval) bool { return d.overlaps(from, to) })
}

// checkFinalState checks what must hold once all is mended: every node answers, no
// acknowledged configuration is lost, nothing ended by itself.
func (r *run) checkFinalState(ctx context.Context) {
	for i, n := range r.nodes {
		if err := r.retry(ctx, func(ctx context.Context) error { return sendLookup(ctx, n.callers.address()) }); err != nil {
			r.addViolation(fmt.Sprintf("%s does not serve %s after the last disturbance: %v", nodeName(i), startTimeout, err))
		}
	}
	current, err := r.client.Config(ctx)
	switch {
	case err != nil:
		r.addViolation(fmt.Sprintf("no configuration after the last disturbance: %v", err))
	case uint64(current.Revision) < r.acknowledged:
		r.addViolation(fmt.Sprintf("revision %d was acknowledged, %d is there", r.acknowledged, current.Revision))
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
