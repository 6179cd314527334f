package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// unlistedCold is what is known of an upstream that the view does not list.
type unlistedCold struct {
	// until and ended are what gateways know of it.
	until time.Duration
	ended bool
	// number is the ColdNumber with which it was last listed, if listed is true.
	listed bool
	number uint64
	at     time.Duration
}

// markEnded bounds an upstream that has ended until its cold time after its next answer is over.
func (p *Pool) markEnded(g *engine, reason string, now time.Duration) {
	limit := p.coldLimit()
	if limit == nil {
		return
	}
	c := p.coldOf(g, now)
	if c.ended {
		return
	}
	c.ended, c.endedAt = true, now
	c.bucket.perSecond = limit.PerSecond
	p.coldChanges = append(p.coldChanges, ColdChange{Upstream: g.upstream.Name, Ended: true, PerSecond: limit.PerSecond, Reason: reason})
	p.refreshCold(g, now)
}

// learnCold applies what a gateway knows of cold upstreams.
func (p *Pool) learnCold(notices []ColdNotice, now time.Duration) {
	if p.coldLimit() == nil || len(notices) == 0 {
		return
	}
	for _, n := range notices {
		g := p.engines[n.Upstream]
		if g == nil {
			u := p.unlistedCold[n.Upstream]
			u.until, u.ended, u.at = max(u.until, now+n.For), u.ended || n.Ended, now
			p.keepUnlistedCold(n.Upstream, u)
			continue
		}
		p.markCold(g, n.For, "reported by a gateway", now)
		if n.Ended && (g.lastResponseAt == 0 || now-g.lastResponseAt > p.coldLimit().Duration) {
			p.markEnded(g, "reported by a gateway", now)
		}
	}
	p.updateUnusableSlots(now)
}

// observeColdReport learns from a report whether an upstream has ended or answers.
func (p *Pool) observeColdReport(g *engine, r Report, at, now time.Duration) {
	switch {
	case r.Kind == ReportUnsent || r.Broken == BrokenUnbegun:
		p.observeColdEnd(g, r, now)
	case r.Broken == Abandoned:
	case r.Kind == ReportFirstToken || r.Kind == ReportEnded || r.Kind == ReportFailed || r.Kind == ReportRejected:
		p.observeColdAnswer(g, at, now)
	}
}

// keepUnlistedCold keeps what is known of an upstream that the view does not list: the list may
// show it later, or leave it out for some moments.
func (p *Pool) keepUnlistedCold(name ident.UpstreamName, u unlistedCold) {
	if _, known := p.unlistedCold[name]; known || len(p.unlistedCold) < maxUnlistedLimits {
		p.unlistedCold[name] = u
	}
}

// forgetListedCold ends the bound of an upstream that the view has stopped to list, and keeps
// that its name is not new if it returns.
func (p *Pool) forgetListedCold(g *engine, now time.Duration) {
	if p.coldLimit() != nil {
		u := unlistedCold{listed: true, number: g.upstream.ColdNumber, at: now}
		if g.cold != nil {
			u.until, u.ended = g.cold.until, g.cold.ended
		}
		p.keepUnlistedCold(g.upstream.Name, u)
	}
	p.leaveCold(g)
}

func (p *Pool) dropUnlistedCold(now time.Duration) {
	for name, u := range p.unlistedCold {
		if now >= max(u.at+unlistedRetention, u.until) {
			delete(p.unlistedCold, name)
		}
	}
}
