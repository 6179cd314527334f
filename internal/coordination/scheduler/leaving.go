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
	// CarriedLeavingRetention is the same for another name of the upstream, which may after all be
	// that of a next start.
	CarriedLeavingRetention = 30 * time.Second
	// MaxLeaving bounds the upstreams that are kept as leaving.
	MaxLeaving = 4096
)

// leavingMark is what is known of an upstream that leaves.
type leavingMark struct {
	// since is when it said so, and latestStart the latest start, in Unix milliseconds, that had
	// certainly begun by then; 0 if unknown.
	since       time.Duration
	latestStart int64
	// carried is true if it said so under another name; since is when that was carried over then.
	carried bool
}

func (m leavingMark) isOver(now time.Duration) bool {
	if m.carried {
		return now-m.since > CarriedLeavingRetention
	}
	return now-m.since > LeavingRetention
}

// markLeaving keeps new work from an upstream that has said in an answer that it leaves,
// whatever the list says, also under the other names of the same start.
func (p *Pool) markLeaving(name ident.UpstreamName, now time.Duration) {
	if m, known := p.leaving[name]; known && !m.carried || !known && len(p.leaving) >= MaxLeaving {
		return
	}
	if p.leaving == nil {
		p.leaving = make(map[ident.UpstreamName]leavingMark)
	}
	m := leavingMark{since: now}
	p.leavingChanges = append(p.leavingChanges, name)
	g, known := p.engines[name]
	if known && g.upstream.Started > 0 {
		m.latestStart = g.upstream.Started + (now - g.knownAt).Milliseconds()
	}
	p.leaving[name] = m
	if !known {
		return
	}
	g.saysLeaving = true
	p.refresh(g, now)
	for _, other := range p.orderedEngines {
		if p.carryLeaving(g, other) {
			p.refresh(other, now)
		}
	}
}

// adoptLeaving marks a new engine whose upstream has said that it leaves, under its name or another.
func (p *Pool) adoptLeaving(g *engine) {
	_, g.saysLeaving = p.leaving[g.upstream.Name]
	for _, other := range p.orderedEngines {
		p.carryLeaving(other, g)
	}
}

// carryLeaving marks an engine like another one that is marked, if both name the same start of a process.
// By the list, the later name's start had then begun when the upstream said that it leaves, and
// what comes from an address comes from the latest start there. It reports whether that is new.
func (p *Pool) carryLeaving(from, to *engine) bool {
	m, marked := p.leaving[from.upstream.Name]
	if !marked || to.saysLeaving || to.upstream.Process == "" || to.upstream.Process != from.upstream.Process ||
		from.upstream.Started > to.upstream.Started || to.upstream.Started > m.latestStart || len(p.leaving) >= MaxLeaving {
		return false
	}
	m.since, m.carried = p.now, true
	p.leaving[to.upstream.Name] = m
	to.saysLeaving = true
	return true
}

// dropLeaving forgets upstreams that have been marked for long enough.
func (p *Pool) dropLeaving(now time.Duration) {
	maps.DeleteFunc(p.leaving, func(name ident.UpstreamName, m leavingMark) bool {
		over := m.isOver(now)
		if g, known := p.engines[name]; known && over {
			g.saysLeaving = false
			p.refresh(g, now)
		}
		return over
	})
}

// LeavingChanges implements Scheduler.
func (p *Pool) LeavingChanges() []ident.UpstreamName {
	out := p.leavingChanges
	p.leavingChanges = nil
	return out
}
