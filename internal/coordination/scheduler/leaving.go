package scheduler

import (
	"maps"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// LeavingRetention is how long an upstream that has said that it leaves gets no new
	// work. The mark belongs to one run of an upstream, which ends long before.
	LeavingRetention = 10 * time.Minute
	// MaxLeaving bounds the upstreams that are kept as leaving.
	MaxLeaving = 4096
)

// markLeaving keeps new work from an upstream that has said in an answer that it leaves,
// whatever the list says.
func (p *Pool) markLeaving(name ident.UpstreamName, now time.Duration) {
	if _, known := p.leaving[name]; known || len(p.leaving) >= MaxLeaving {
		return
	}
	if p.leaving == nil {
		p.leaving = make(map[ident.UpstreamName]time.Duration)
	}
	p.leaving[name] = now
	p.leavingChanges = append(p.leavingChanges, name)
	if g, known := p.engines[name]; known {
		g.saysLeaving = true
		p.refresh(g, now)
	}
}

// dropLeaving forgets upstreams that have been marked for LeavingRetention.
func (p *Pool) dropLeaving(now time.Duration) {
	maps.DeleteFunc(p.leaving, func(name ident.UpstreamName, at time.Duration) bool {
		old := now-at > LeavingRetention
		if g, known := p.engines[name]; known && old {
			g.saysLeaving = false
			p.refresh(g, now)
		}
		return old
	})
}

// LeavingChanges implements Scheduler.
func (p *Pool) LeavingChanges() []ident.UpstreamName {
	out := p.leavingChanges
	p.leavingChanges = nil
	return out
}
