package scheduler

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// endsBeforeCold is the number of requests in a row that an upstream took no connection for or
// broke off before an answer, at which it is assumed to have ended. A single one may be due to
// a connection that was closed while idle.
const endsBeforeCold = 2

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

// markCold bounds an upstream's requests for a time from now, unless it is bounded for longer
// already.
func (p *Pool) markCold(g *engine, left time.Duration, reason string, now time.Duration) {
	limit := p.coldLimit()
	if limit == nil || left <= 0 {
		return
	}
	c := p.coldOf(g, now)
	c.until = max(c.until, now+left)
	if c.until > c.reported+coldReportStep {
		c.reported = c.until
		p.coldChanges = append(p.coldChanges, ColdChange{Upstream: g.upstream.Name, For: left, PerSecond: limit.PerSecond, Reason: reason})
	}
	c.bucket.perSecond = limit.PerSecond
	p.refreshCold(g, now)
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

// learnColdFromView marks an upstream as cold that the view tells of: by what is left of its
// cold time, by a name that a complete list did not have before, and by the end of an
// evacuation. former is what the view said of it before; isNew is true if it didn't list it.
func (p *Pool) learnColdFromView(g *engine, former Upstream, isNew bool, now time.Duration) {
	limit := p.coldLimit()
	if limit == nil {
		return
	}
	if c := p.cold[coldKey(&g.upstream)]; c != nil {
		p.joinCold(g, c)
	}
	if isNew {
		known := p.unlistedCold[g.upstream.Name]
		delete(p.unlistedCold, g.upstream.Name)
		p.markCold(g, known.until-now, "a gateway has been told so", now)
		if known.ended {
			p.markEnded(g, "a gateway has been told so", now)
		}
		former.ColdNumber = known.number
		isNew = !known.listed
	}
	switch {
	case g.upstream.ColdFor > 0 && (isNew || g.upstream.ColdNumber != former.ColdNumber):
		p.markCold(g, g.upstream.ColdFor, "by the list", now)
	case isNew && p.viewWasComplete:
		p.markCold(g, limit.Duration, "new in the list", now)
	}
	if former.Evacuated && !g.upstream.Evacuated {
		p.markCold(g, limit.Duration, "its data centre was evacuated", now)
	}
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
		p.markCold(g, n.For, "a gateway has been told so", now)
		if n.Ended && (g.lastResponseAt == 0 || now-g.lastResponseAt > p.coldLimit().Duration) {
			p.markEnded(g, "a gateway has been told so", now)
		}
	}
	p.updateUnusableSlots(now)
}

// observeColdEnd counts a request that an upstream took no connection for, or broke off before
// it answered.
func (p *Pool) observeColdEnd(g *engine, r Report, now time.Duration) {
	if p.coldLimit() == nil || r.PathSuspect {
		return
	}
	g.unanswered++
	if g.unanswered >= endsBeforeCold {
		p.markEnded(g, fmt.Sprintf("%d requests in a row without an answer", g.unanswered), now)
	}
}

// observeColdAnswer records an answer that came at the given time. An upstream that is assumed
// to have ended before has started again.
func (p *Pool) observeColdAnswer(g *engine, at, now time.Duration) {
	g.unanswered = 0
	c := g.cold
	if c == nil || !c.ended || at < c.endedAt {
		return
	}
	c.ended = false
	limit := p.coldLimit()
	if limit == nil {
		return
	}
	p.markCold(g, limit.Duration, "answers again", now)
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
