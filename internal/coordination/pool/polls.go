package pool

import (
	"context"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// updatePollers starts and stops report polling to match the pool's configured
// engines.
func (r *Runner) updatePollers(c *config.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.master.Stopped() || c.Pools[r.master.Pool()].Kind != config.KindEngine {
		return
	}
	for name, stop := range r.pollers {
		if u, ok := c.Upstreams[name]; !ok || u.Pool != r.master.Pool() {
			stop()
			delete(r.pollers, name)
		}
	}
	for name, u := range c.Upstreams {
		if _, polling := r.pollers[name]; polling || u.Pool != r.master.Pool() {
			continue
		}
		ctx, stop := context.WithCancel(r.ctx)
		r.pollers[name] = stop
		r.done.Go(func() { r.pollEngine(ctx, name) })
	}
}

// pollEngine polls one engine for its reports until ctx ends or the scheduler
// stops.
func (r *Runner) pollEngine(ctx context.Context, name ident.UpstreamName) {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	var after uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.master.stop:
			return
		case <-ticker.C:
			after = r.fetchReports(ctx, name, after)
		}
	}
}

func (r *Runner) fetchReports(ctx context.Context, name ident.UpstreamName, after uint64) uint64 {
	cfg, _ := r.view.Config()
	u, ok := cfg.Upstreams[name]
	if !ok {
		return after
	}
	ctx, cancel := context.WithTimeout(ctx, ReportTimeout)
	defer cancel()
	if load, err := r.reports.Load(ctx, name, u); err == nil {
		r.updateUnloaded(load, u)
		r.master.Load(load)
	}
	events, err := r.reports.Cache(ctx, name, u, after)
	if err != nil {
		return after
	}
	for _, e := range events {
		r.master.Cache(e)
		after = max(after, e.Sequence)
	}
	return after
}

// updateUnloaded records whether an engine has its configured version loaded, and
// updates the readiness of the versions if that changed.
func (r *Runner) updateUnloaded(load scheduler.LoadReport, u config.Upstream) {
	unloaded := len(load.Versions) > 0 && !slices.Contains(load.Versions, u.Version)
	r.mu.Lock()
	_, wasUnloaded := r.unloaded[load.Upstream]
	if unloaded {
		r.unloaded[load.Upstream] = struct{}{}
	} else {
		delete(r.unloaded, load.Upstream)
	}
	if wasUnloaded == unloaded {
		r.mu.Unlock()
		return
	}
	cfg, _ := r.view.Config()
	r.set.SetReadiness(r.readiness(&cfg), time.Now())
	r.mu.Unlock()
	r.setView()
}
