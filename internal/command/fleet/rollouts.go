package fleet

import (
	"cmp"
	"context"
	"slices"
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

// rolloutInterval is the time between two looks at running rollouts.
const rolloutInterval = 100 * time.Millisecond

// rolloutWatch follows the rollouts of one pool at a node. Where the pool's
// scheduler runs it also sees the outcomes. It implements pool.Observer.
type rolloutWatch struct {
	pool   ident.PoolName
	events *timeline.Recorder

	mu     sync.Mutex
	record rollout.Record
	judge  *rollouts.Judge
	open   map[ident.RequestID]*openRequest
}

// openRequest is a granted request whose outcome is not known yet.
type openRequest struct {
	route      ident.RouteName
	onTarget   bool
	firstToken time.Duration
}

// update takes in the pool's latest rollout.
func (w *rolloutWatch) update(r rollout.Record, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Number != w.record.Number {
		// Wall clocks may be off; a node that was there saw the order begin.
		elapsed := min(max(0, now.Sub(r.At)), r.Duration)
		w.judge = rollouts.NewJudge(r.Order, now.Add(-elapsed))
		w.open = make(map[ident.RequestID]*openRequest)
	}
	w.record = r
}

// Granted implements pool.Observer.
func (w *rolloutWatch) Granted(t scheduler.Ticket, g scheduler.Grant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record.State == rollout.StateRunning {
		w.open[t.ID] = &openRequest{route: t.Route, onTarget: g.Version == w.record.Target}
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
	sample := rollouts.Sample{Target: o.onTarget, Route: o.route, First: cmp.Or(o.firstToken, r.Elapsed)}
	switch r.Kind {
	case scheduler.ReportDispatched:
		return
	case scheduler.ReportFirstToken:
		o.firstToken = r.Elapsed
		return
	case scheduler.ReportEnded:
	case scheduler.ReportFailed, scheduler.ReportUnknown, scheduler.ReportOverdue, scheduler.ReportRepeat:
		sample.Failed = true
	default:
		delete(w.open, r.Ticket)
		return
	}
	delete(w.open, r.Ticket)
	w.judge.Observe(sample)
}

// Rotated implements pool.Observer.
func (w *rolloutWatch) Rotated(r scheduler.Rotation) {
	w.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: w.pool, Detail: r.String()})
}

// shares splits the pool's requests between the listed versions. It returns nil
// where no rollout rules them.
func (w *rolloutWatch) shares(versions []ident.VersionName, now time.Time) []scheduler.VersionShare {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.judge == nil || len(versions) == 0 {
		return nil
	}
	target := 0.0
	switch w.record.State {
	case rollout.StateRunning:
		target = w.judge.Share(now)
	case rollout.StateCompleted:
		target = 1
	}
	others := len(versions)
	listed := slices.Contains(versions, w.record.Target)
	if listed {
		others--
	}
	if !listed {
		target = 0
	}
	var shares []scheduler.VersionShare
	for _, v := range versions {
		share := target
		if v != w.record.Target {
			share = (1 - target) / float64(others)
		}
		shares = append(shares, scheduler.VersionShare{Version: v, Share: share, NonIdempotentShare: share})
	}
	return shares
}

// dueEnd returns the end that a running rollout should have now, or nil.
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
	state, reason := w.judge.Verdict(now, formerRunning)
	if !state.Final() {
		return nil
	}
	return &rollout.End{Pool: w.record.Pool, Number: w.record.Number, State: state, Reason: reason}
}

// watchOf returns the watch of a pool's rollouts. The caller holds the lock.
func (n *Node) watchOf(name ident.PoolName) *rolloutWatch {
	w := n.watches[name]
	if w == nil {
		w = &rolloutWatch{pool: name, events: n.events}
		n.watches[name] = w
	}
	return w
}

// updateRollouts takes in the rollouts that the leader told. The caller holds the lock.
func (n *Node) updateRollouts(now time.Time) {
	for _, r := range n.follower.Spread().Rollouts {
		n.watchOf(r.Pool).update(r, now)
	}
}

// versions returns the versions that a pool's upstreams have, in order.
func (n *Node) versions(name ident.PoolName) []ident.VersionName {
	var versions []ident.VersionName
	for _, d := range n.upstreams.Load().byPool[name] {
		if !slices.Contains(versions, d.Upstream.Version) {
			versions = append(versions, d.Upstream.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// rolloutLoop moves the shares of running rollouts and ends them where the
// scheduler runs that saw their outcomes.
func (n *Node) rolloutLoop() {
	for n.ctx.Err() == nil {
		sleep(n.ctx, rolloutInterval)
		running := slices.ContainsFunc(n.follower.Spread().Rollouts, func(r rollout.Record) bool {
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

// dueEnds returns the ends that this node's schedulers call for.
func (n *Node) dueEnds(now time.Time) []*rollout.End {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.schedulerAddress(now) != n.settings.address(n.settings.ID()) {
		return nil
	}
	var ends []*rollout.End
	for _, w := range n.watches {
		if end := w.dueEnd(now); end != nil {
			ends = append(ends, end)
		}
	}
	return ends
}

func (n *Node) endRollout(end *rollout.End) {
	ctx, cancel := context.WithTimeout(n.ctx, controlTimeout)
	defer cancel()
	reply, err := control.Call[control.RolloutReply](ctx, n.control, "EndRollout", &control.EndRolloutArgs{End: *end})
	if err != nil {
		klog.ErrorS(err, "end of a rollout not committed, trying again", "pool", end.Pool, "state", end.State)
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
