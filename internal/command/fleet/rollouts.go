package fleet

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/rollouts"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// rolloutInterval is the interval between two checks of the running rollouts.
const rolloutInterval = 100 * time.Millisecond

// rolloutWatch tracks the latest rollout of one pool on a node. On the node that
// runs the pool's scheduler it also observes the outcomes of requests. It
// implements pool.Observer.
type rolloutWatch struct {
	pool   ident.PoolName
	events *timeline.Recorder

	mu        sync.Mutex
	record    rollout.Record
	evaluator *rollouts.Evaluator
	open      map[ident.RequestID]*openRequest
	// recentFailures holds the latest failed samples, and explained the upstreams
	// whose ends a part of a prompt explains, since when.
	recentFailures []failedSample
	explained      map[ident.UpstreamName]time.Time
}

// failedSample is a failure that its upstream's end may explain later.
type failedSample struct {
	rollouts.Sample
	upstream ident.UpstreamName
	at       time.Time
}

// failureRetention is how long a failed sample may be explained, and an end stays
// explained for reports that come late.
const failureRetention = 30 * time.Second

// openRequest is a granted request whose outcome is not known yet.
type openRequest struct {
	route ident.RouteName
	// objective is the time left for the answer to begin; 0 without one.
	objective time.Duration
	// onTarget is true if the request was granted on the rollout's target version.
	onTarget bool
	// limited is true if the upstream named a rate limit in its answer.
	limited bool
	// firstToken is the time from dispatch to the first token; 0 before it.
	firstToken time.Duration
}

// update records the pool's latest rollout.
func (w *rolloutWatch) update(r rollout.Record, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Number != w.record.Number {
		// Wall clocks of nodes may differ, so the elapsed time is limited to the
		// rollout's duration. It is long only on a node that was not running when
		// the rollout started; the others learn of a rollout at once.
		elapsed := min(max(0, now.Sub(r.At)), r.Duration)
		w.evaluator = rollouts.NewEvaluator(r.Order, now.Add(-elapsed))
		w.open = make(map[ident.RequestID]*openRequest)
		w.recentFailures = nil
	}
	former := w.record
	w.record = r
	if !slices.Equal(former.AllWithheld(), r.AllWithheld()) {
		w.recordWithheld()
	}
}

// withholds reports whether a version gets no requests because it was rolled back.
func (w *rolloutWatch) withholds(v ident.VersionName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.record.Withholds(v)
}

// recordWithheld records which versions get no requests, and why. The caller holds w.mu.
func (w *rolloutWatch) recordWithheld() {
	withheld := w.record.AllWithheld()
	texts := make([]string, len(withheld))
	for i, v := range withheld {
		texts[i] = fmt.Sprintf("%s (rollout %d was rolled back: %s)", v.Version, v.Number, v.Reason)
	}
	w.events.Record(timeline.Event{Kind: timeline.KindMove, Pool: w.pool, Detail: fmt.Sprintf("%d versions get no requests: %s", len(withheld), strings.Join(texts, ", "))})
}

// Granted implements pool.Observer.
func (w *rolloutWatch) Granted(t scheduler.Ticket, g scheduler.Grant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record.State == rollout.StateRunning && !w.record.Withholds(g.Version) {
		// What a version that was rolled back fails is no sample of the former versions.
		w.open[t.ID] = &openRequest{route: t.Route, objective: t.Objective, onTarget: g.Version == w.record.Target}
	}
}

// Reported implements pool.Observer.
func (w *rolloutWatch) Reported(r scheduler.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.open[r.Ticket]
	if o == nil {
		return
	}
	sample := rollouts.Sample{Target: o.onTarget, Route: o.route, Objective: o.objective, First: cmp.Or(o.firstToken, r.Elapsed)}
	switch r.Kind {
	case scheduler.ReportDispatched:
		return
	case scheduler.ReportNotice:
		o.limited = o.limited || r.Notice != nil && (r.Notice.RateLimit == scheduler.NoticeNamed ||
			r.Notice.Brittle == scheduler.NoticeNamed || r.Notice.Pause == scheduler.NoticeNamed)
		return
	case scheduler.ReportFirstToken:
		o.firstToken = r.Elapsed
		return
	case scheduler.ReportEnded:
	case scheduler.ReportFailed, scheduler.ReportUnknown, scheduler.ReportOverdue, scheduler.ReportRetryable:
		sample.Failed = true
	default:
		delete(w.open, r.Ticket)
		return
	}
	delete(w.open, r.Ticket)
	if o.limited {
		// An upstream that asks for less load is no sample of its version.
		return
	}
	now := time.Now()
	if sample.Failed && now.Sub(w.explained[r.Upstream]) < failureRetention {
		return
	}
	w.evaluator.Observe(sample)
	if sample.Failed {
		w.recentFailures = slices.DeleteFunc(w.recentFailures, func(f failedSample) bool { return now.Sub(f.at) > failureRetention })
		w.recentFailures = append(w.recentFailures, failedSample{Sample: sample, upstream: r.Upstream, at: now})
	}
}

// PoisonChanged implements pool.Observer. What broke off at the end of an upstream
// that a part of a prompt explains is no sample of the upstream's version.
func (w *rolloutWatch) PoisonChanged(c scheduler.PoisonChange) {
	w.events.Record(timeline.Event{Kind: timeline.KindPoison, Pool: w.pool, Detail: c.String()})
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(w.explained, func(_ ident.UpstreamName, at time.Time) bool { return now.Sub(at) > failureRetention })
	for _, upstream := range c.Explained {
		w.explained[upstream] = now
	}
	w.recentFailures = slices.DeleteFunc(w.recentFailures, func(f failedSample) bool {
		explained := slices.Contains(c.Explained, f.upstream)
		if explained {
			w.evaluator.Retract(f.Sample)
		}
		return explained
	})
}

// Rotated implements pool.Observer.
func (w *rolloutWatch) Rotated(r scheduler.Rotation) {
	w.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: w.pool, Detail: r.String()})
}

// RateLimited implements pool.Observer.
func (w *rolloutWatch) RateLimited(c scheduler.RateLimitChange) {
	w.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: w.pool, Detail: c.String()})
}

// Leaving implements pool.Observer.
func (w *rolloutWatch) Leaving(name ident.UpstreamName) {
	w.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: w.pool, Detail: string(name) + " says that it leaves, gets no new work"})
}

// Paused implements pool.Observer.
func (w *rolloutWatch) Paused(c scheduler.PauseChange) {
	w.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: w.pool, Detail: c.String()})
}

// ColdChanged implements pool.Observer.
func (w *rolloutWatch) ColdChanged(c scheduler.ColdChange) {
	w.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: w.pool, Detail: c.String()})
}

// RetryChanged implements pool.Observer.
func (w *rolloutWatch) RetryChanged(c scheduler.RetryChange) {
	w.events.Record(timeline.Event{Kind: timeline.KindRetryBudget, Request: c.Ticket, Pool: w.pool, Detail: c.String()})
}

// shares returns the traffic shares of the given versions; nil if the pool has had
// no rollout or no version is given. Versions that were rolled back have no share, also
// if no others are left: what they would fail may be lost, and a refusal is true. The
// other former versions share what the target doesn't get, and take over for any version
// that is lost; the target takes over for them as far as its answers allow.
func (w *rolloutWatch) shares(versions []ident.VersionName, now time.Time) []scheduler.VersionShare {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.evaluator == nil || len(versions) == 0 {
		return nil
	}
	target, extra := 0.0, 0
	if slices.Contains(versions, w.record.Target) {
		switch w.record.State {
		case rollout.StateRunning:
			target, extra = w.evaluator.Share(now), w.evaluator.Extra()
		case rollout.StateCompleted:
			target = 1
		}
	}
	others := 0
	for _, v := range versions {
		if v != w.record.Target && !w.record.Withholds(v) {
			others++
		}
	}
	var shares []scheduler.VersionShare
	for _, v := range versions {
		share, extra := target, extra
		switch {
		case w.record.Withholds(v):
			share, extra = 0, 0
		case v != w.record.Target:
			share, extra = (1-target)/float64(others), math.MaxInt
		}
		shares = append(shares, scheduler.VersionShare{Version: v, Share: share, NonIdempotentShare: share, Extra: extra})
	}
	return shares
}

// dueEnd returns the end that is due for a running rollout, or nil if it should
// continue.
func (w *rolloutWatch) dueEnd(now time.Time) *rollout.End {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record.State != rollout.StateRunning {
		return nil
	}
	formerRunning := 0
	for _, o := range w.open {
		if !o.onTarget {
			formerRunning++
		}
	}
	state, reason := w.evaluator.Verdict(now, formerRunning)
	if !state.Final() {
		return nil
	}
	return &rollout.End{Pool: w.record.Pool, Number: w.record.Number, State: state, Reason: reason}
}

// watchOf returns the rolloutWatch of a pool, creating it if necessary. The caller
// holds n.mu.
func (n *Node) watchOf(name ident.PoolName) *rolloutWatch {
	w := n.watches[name]
	if w == nil {
		w = &rolloutWatch{pool: name, events: n.events, explained: make(map[ident.UpstreamName]time.Time)}
		n.watches[name] = w
	}
	return w
}

// updateRollouts applies the rollouts last reported by the leader. The caller holds
// n.mu.
func (n *Node) updateRollouts(now time.Time) {
	for _, r := range n.follower.State().Rollouts {
		n.watchOf(r.Pool).update(r, now)
	}
}

// versions returns the sorted versions of a pool's upstreams.
func (n *Node) versions(name ident.PoolName) []ident.VersionName {
	var versions []ident.VersionName
	for _, d := range n.upstreams.Load().byPool[name] {
		if _, evacuated := n.follower.Evacuation(d.Upstream.Zone); !evacuated && !slices.Contains(versions, d.Upstream.Version) {
			versions = append(versions, d.Upstream.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// rolloutLoop updates the traffic shares of running rollouts. On the node that runs
// the schedulers, and so has observed the outcomes, it also ends them.
func (n *Node) rolloutLoop() {
	for n.ctx.Err() == nil {
		sleep(n.ctx, rolloutInterval)
		running := slices.ContainsFunc(n.follower.State().Rollouts, func(r rollout.Record) bool {
			return r.State == rollout.StateRunning
		})
		if !running {
			continue
		}
		n.applyPools()
		for _, end := range n.dueEnds(time.Now()) {
			n.endRollout(end)
		}
	}
}

// dueEnds returns the rollouts that are due to end; none if another node runs the
// schedulers of this shard. Evidence of any shard can take a version back, but only the
// first shard completes a rollout: the others then had the same time to find a fault.
func (n *Node) dueEnds(now time.Time) []*rollout.End {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.schedulerAddress(n.gateways(), now) != n.settings.address(n.settings.ID()) {
		return nil
	}
	var ends []*rollout.End
	for _, w := range n.watches {
		end := w.dueEnd(now)
		if end == nil || end.State == rollout.StateCompleted && n.shard() != 0 {
			continue
		}
		ends = append(ends, end)
	}
	return ends
}

// endRollout commits the end of a rollout.
func (n *Node) endRollout(end *rollout.End) {
	ctx, cancel := context.WithTimeout(n.ctx, controlTimeout)
	defer cancel()
	reply, err := control.Call[control.RolloutReply](ctx, n.control, "EndRollout", &control.EndRolloutArgs{End: *end})
	if err != nil {
		klog.ErrorS(err, "committing the end of a rollout failed, will retry", "pool", end.Pool, "state", end.State)
		return
	}
	if reply.Record != nil {
		n.mu.Lock()
		n.watchOf(end.Pool).update(*reply.Record, time.Now())
		n.mu.Unlock()
	}
	n.events.Record(timeline.Event{Kind: timeline.KindMove, Pool: end.Pool, Detail: string(end.State) + ": " + end.Reason})
	klog.InfoS("rollout ended", "pool", end.Pool, "number", end.Number, "state", end.State, "reason", end.Reason)
}
