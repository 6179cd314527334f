package pool

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/moves"
	"github.com/flamingohaven/flamingohaven/internal/coordination/nodeview"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// MoveInterval is the interval at which the moves of a pool are evaluated.
	MoveInterval = 100 * time.Millisecond
	// ReportInterval is the interval at which an engine is polled for its
	// reports.
	ReportInterval = 500 * time.Millisecond
	// ReportTimeout bounds one poll of an engine.
	ReportTimeout = 2 * time.Second
	// CommitTimeout bounds the commit of one move record.
	CommitTimeout = 3 * time.Second
)

// Reports fetches reports from engines.
type Reports interface {
	// Load returns an engine's load report.
	Load(ctx context.Context, name ident.UpstreamName, u config.Upstream) (scheduler.LoadReport, error)
	// Cache returns an engine's cache events with sequence numbers above after.
	Cache(ctx context.Context, name ident.UpstreamName, u config.Upstream, after uint64) ([]scheduler.CacheEvent, error)
}

// MoveLog commits move records.
type MoveLog interface {
	// CommitMove commits a record and returns the record in force after the call.
	CommitMove(ctx context.Context, r move.Record) (move.Record, error)
}

// Runner operates one pool on the node that holds its lease: the scheduler, the
// moves between versions, and the polling of the engines.
type Runner struct {
	master  *Master
	view    *nodeview.View
	reports Reports
	log     MoveLog
	events  *timeline.Recorder
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	refresh chan struct{}

	mu      sync.Mutex
	set     *moves.Set
	samples sampler
	pollers map[ident.UpstreamName]context.CancelFunc
	// unloaded holds the engines whose latest report does not list the version
	// configured for them.
	unloaded map[ident.UpstreamName]struct{}
}

// Dependencies holds the services that a Runner uses.
type Dependencies struct {
	View    *nodeview.View
	Reports Reports
	Moves   MoveLog
	Events  *timeline.Recorder
}

// StartRunner starts scheduling a pool under a lease.
func StartRunner(l lease.Pool, d Dependencies) *Runner {
	ctx, cancel := context.WithCancel(context.Background())
	cfg, _ := d.View.Config()
	options := moves.Options{Epoch: l.Epoch, Routes: routeCount(&cfg, l.Pool)}
	r := &Runner{
		view:    d.View,
		reports: d.Reports,
		log:     d.Moves,
		events:  d.Events,
		ctx:     ctx,
		cancel:  cancel,
		refresh: make(chan struct{}, 1),
		set:     moves.NewSet(l.Pool, options),
		samples: newSampler(),
		pollers: make(map[ident.UpstreamName]context.CancelFunc),

		unloaded: make(map[ident.UpstreamName]struct{}),
	}
	r.set.Configure(cfg, recordsOf(r.view), time.Now())
	build := func(now time.Duration) scheduler.Scheduler {
		p := scheduler.New(l.Epoch, d.View.SchedulerView(l.Pool, r.set.Shares()), now)
		p.SetOrigin(time.Now().Add(-now))
		return p
	}
	r.master = NewMaster(l.Pool, l.Epoch, build, r)
	r.done.Go(func() { r.run(ctx) })
	r.done.Go(func() { r.refreshLoop(ctx) })
	r.Update()
	return r
}

func recordsOf(v *nodeview.View) []move.Record {
	var records []move.Record
	for _, r := range v.Members().Moves {
		records = append(records, r)
	}
	return records
}

func routeCount(c *config.Config, pool ident.PoolName) int {
	n := 0
	for _, route := range c.Routes {
		if route.Pool == pool {
			n++
		}
	}
	return n
}

// Master returns the pool's scheduler.
func (r *Runner) Master() *Master { return r.master }

// Stop ends the scheduling; nothing is granted after it returns.
func (r *Runner) Stop() {
	r.master.Stop()
	r.cancel()
	r.done.Wait()
}

// Update applies a changed node view.
func (r *Runner) Update() {
	cfg, _ := r.view.Config()
	r.mu.Lock()
	r.set.Configure(cfg, recordsOf(r.view), time.Now())
	r.set.SetReadiness(r.readiness(&cfg), time.Now())
	r.samples.dropDeparted(r.view.Members().Nodes)
	r.mu.Unlock()
	r.setView()
	r.updatePollers(&cfg)
}

// setView passes the current node view and version shares to the scheduler.
func (r *Runner) setView() {
	r.mu.Lock()
	shares := r.set.Shares()
	r.mu.Unlock()
	r.master.SetView(r.view.SchedulerView(r.master.Pool(), shares))
}

// readiness returns the versions of the pool that have upstreams ready to serve.
// The caller holds the lock.
func (r *Runner) readiness(c *config.Config) []moves.Readiness {
	byVersion := make(map[ident.VersionName]*moves.Readiness)
	for name, u := range c.Upstreams {
		_, unloaded := r.unloaded[name]
		if u.Pool != r.master.Pool() || unloaded || r.view.Leaving(u.Address) || r.view.Evacuated(u.Zone) {
			continue
		}
		ready := byVersion[u.Version]
		if ready == nil {
			ready = &moves.Readiness{Version: u.Version}
			byVersion[u.Version] = ready
		}
		ready.Ready++
		ready.Capacity += u.MaxConcurrent
	}
	list := make([]moves.Readiness, 0, len(byVersion))
	for _, ready := range byVersion {
		list = append(list, *ready)
	}
	return list
}

// run evaluates the moves periodically and commits their records. Since a commit
// may take long, a reduced share reaches the scheduler through refreshLoop.
func (r *Runner) run(ctx context.Context) {
	ticker := time.NewTicker(MoveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.tickMoves(ctx)
		}
	}
}

// refreshLoop passes changed shares to the scheduler.
func (r *Runner) refreshLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.refresh:
			r.setView()
		}
	}
}

func (r *Runner) tickMoves(ctx context.Context) {
	r.mu.Lock()
	records := r.set.Tick(time.Now())
	r.mu.Unlock()
	for _, record := range records {
		r.commit(ctx, record)
	}
	r.recordMoveEvents()
}

func (r *Runner) commit(ctx context.Context, record move.Record) {
	ctx, cancel := context.WithTimeout(ctx, CommitTimeout)
	defer cancel()
	committed, err := r.log.CommitMove(ctx, record)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.set.Committed(committed, time.Now())
	r.mu.Unlock()
	r.setView()
}

// recordMoveEvents adds the events of the moves since the last call to the
// timeline.
func (r *Runner) recordMoveEvents() {
	r.mu.Lock()
	events := r.set.Events()
	r.mu.Unlock()
	for _, e := range events {
		r.events.Record(timeline.Event{
			Kind:   timeline.KindMove,
			Move:   e.Move,
			Pool:   e.Pool,
			Detail: describeMove(e),
		})
	}
}

// Granted implements Observer.
func (r *Runner) Granted(t scheduler.Ticket, g scheduler.Grant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cfg, _ := r.view.Config()
	r.samples.granted(t, g, cfg.Upstreams[g.Upstream])
}

// Rotated implements Observer.
func (r *Runner) Rotated(change scheduler.Rotation) {
	r.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: r.master.Pool(), Detail: change.String()})
}

// RateLimited implements Observer.
func (r *Runner) RateLimited(change scheduler.RateLimitChange) {
	r.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: r.master.Pool(), Detail: change.String()})
}

// Leaving implements Observer.
func (r *Runner) Leaving(name ident.UpstreamName) {
	r.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: r.master.Pool(), Detail: string(name) + " says that it leaves, gets no new work"})
}

// Paused implements Observer.
func (r *Runner) Paused(change scheduler.PauseChange) {
	r.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: r.master.Pool(), Detail: change.String()})
}

// ColdChanged implements Observer.
func (r *Runner) ColdChanged(change scheduler.ColdChange) {
	r.events.Record(timeline.Event{Kind: timeline.KindUpstream, Pool: r.master.Pool(), Detail: change.String()})
}

// RetryChanged implements Observer.
func (r *Runner) RetryChanged(change scheduler.RetryChange) {
	r.events.Record(timeline.Event{Kind: timeline.KindRetryBudget, Request: change.Ticket, Pool: r.master.Pool(), Detail: change.String()})
}

// PoisonChanged implements Observer.
func (r *Runner) PoisonChanged(change scheduler.PoisonChange) {
	r.events.Record(timeline.Event{Kind: timeline.KindPoison, Pool: r.master.Pool(), Detail: change.String()})
}

// Reported implements Observer. It is called with the master's lock held, so it
// passes a changed share to the scheduler through the refresh channel.
func (r *Runner) Reported(report scheduler.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sample, ok := r.samples.reported(report)
	if !ok {
		return
	}
	before := r.set.Shares()
	r.set.Observe(sample, time.Now())
	if !slices.Equal(before, r.set.Shares()) {
		select {
		case r.refresh <- struct{}{}:
		default:
		}
	}
}
