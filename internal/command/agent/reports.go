package agent

import (
	"context"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/transport/upstreamhttp"
)

// reports implements pool.Reports over HTTP.
type reports struct{ sender *upstreamhttp.Sender }

// Load implements pool.Reports.
func (r *reports) Load(ctx context.Context, name ident.UpstreamName, u config.Upstream) (scheduler.LoadReport, error) {
	load, err := r.sender.Load(ctx, u.Address)
	if err != nil {
		return scheduler.LoadReport{}, err
	}
	return scheduler.LoadReport{
		Upstream:  name,
		Running:   load.Running,
		Waiting:   load.Waiting,
		CacheUsed: load.CacheUsed,
		Age:       max(0, time.Since(load.TakenAt)),
		Versions:  load.Versions,
	}, nil
}

// Cache implements pool.Reports.
func (r *reports) Cache(ctx context.Context, name ident.UpstreamName, u config.Upstream, after uint64) ([]scheduler.CacheEvent, error) {
	batch, err := r.sender.CacheEvents(ctx, u.Address, after)
	if err != nil {
		return nil, err
	}
	events := make([]scheduler.CacheEvent, 0, len(batch.Events))
	for _, e := range batch.Events {
		events = append(events, scheduler.CacheEvent{
			Upstream: name,
			Sequence: e.Sequence,
			Stored:   e.Stored,
			Evicted:  e.Evicted,
			Cleared:  e.Cleared,
		})
	}
	return events, nil
}
