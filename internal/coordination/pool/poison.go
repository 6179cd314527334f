package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

const (
	// maxBrokenRequests bounds the requests broken off that a gateway keeps for other
	// schedulers, and brokenRetention is how long it keeps them.
	maxBrokenRequests = 64
	brokenRetention   = 10 * time.Minute
)

// poisonRecord is what a gateway knows of prompt parts and requests on which upstreams
// end.
type poisonRecord struct {
	refused poison.Set
	// broken holds the requests of this gateway whose upstreams broke off their
	// answers, oldest first. Their ages count from at.
	broken []brokenRequest
	// answered holds the requests of this gateway that were answered lately, as times
	// since start.
	answered scheduler.AnsweredTable
	start    time.Time
	// requests holds the requests and contents, and parts the parts of prompts, under which
	// upstreams have ended, as the leader knows them.
	requests, parts endedSet
}

// endedSet holds ids under which upstreams have ended, and those of them that were answered
// since.
type endedSet struct{ ended, cleared map[uint64]bool }

func newEndedSet() endedSet { return endedSet{cleared: make(map[uint64]bool)} }

// clear records a complete answer.
func (s *endedSet) clear(id uint64) {
	if s.ended[id] {
		s.cleared[id] = true
	}
}

// set replaces the ids.
func (s *endedSet) set(ended map[uint64]bool) {
	s.ended = ended
	maps.DeleteFunc(s.cleared, func(id uint64, _ bool) bool { return !ended[id] })
}

type brokenRequest struct {
	scheduler.EndNotice
	at time.Time
}

// recordAnswer records a complete answer: what ended before it is no evidence against
// the request.
func (p *poisonRecord) recordAnswer(fingerprint uint64, now time.Time) {
	if fingerprint == 0 {
		return
	}
	p.answered.Add(fingerprint, now.Sub(p.start))
	p.requests.clear(fingerprint)
	for i := range p.broken {
		if p.broken[i].Fingerprint == fingerprint {
			p.broken[i].Fingerprint = 0
		}
	}
}

// clearParts records a whole answer to a request with the given parts.
func (p *poisonRecord) clearParts(parts []uint64) {
	for _, part := range parts {
		p.parts.clear(part)
	}
	isAnswered := func(part uint64) bool { return slices.Contains(parts, part) }
	for i, b := range p.broken {
		if slices.ContainsFunc(b.Parts, isAnswered) {
			p.broken[i].Parts = slices.DeleteFunc(slices.Clone(b.Parts), isAnswered)
		}
	}
}

// answeredBefore returns how long ago the request was last answered; 0 if that is
// unknown.
func (p *poisonRecord) answeredBefore(fingerprint uint64, now time.Time) time.Duration {
	at, known := p.answered.Last(fingerprint)
	if !known {
		return 0
	}
	return max(1, now.Sub(p.start)-at)
}

// recordEnd keeps a request whose upstream, which may be known to be brittle, broke off its
// answer.
func (p *poisonRecord) recordEnd(r *runningRequest, end scheduler.Ending, brittle bool, now time.Time) {
	if end.Kind == scheduler.ReportEnded || end.Kind == scheduler.ReportFailed {
		p.recordAnswer(r.ticket.Fingerprint, now)
		p.requests.clear(r.ticket.Content)
		if end.Kind == scheduler.ReportEnded {
			p.clearParts(r.ticket.Parts)
		}
		return
	}
	if end.Broken != scheduler.BrokenUnbegun && end.Broken != scheduler.BrokenBegun {
		return
	}
	notice := scheduler.EndNotice{
		Ticket: r.ticket.ID, Upstream: r.grant.Upstream, Fingerprint: r.ticket.Fingerprint, Content: r.ticket.Content,
		Route: r.ticket.Route, Team: r.ticket.Team, Broken: end.Broken,
		AnsweredBefore: p.answeredBefore(r.ticket.Fingerprint, now), Brittle: brittle,
	}
	notice.PastBeginning = scheduler.IsPastBeginning(r.sinceFirst(now.Add(-end.SinceEnd)))
	if !notice.PastBeginning {
		notice.Parts = r.ticket.Parts
	}
	if notice.Fingerprint == 0 && len(notice.Parts) == 0 {
		return
	}
	p.broken = slices.DeleteFunc(p.broken, func(b brokenRequest) bool { return now.Sub(b.at) > brokenRetention })
	if len(p.broken) >= maxBrokenRequests {
		p.broken = slices.Delete(p.broken, 0, len(p.broken)-maxBrokenRequests+1)
	}
	p.broken = append(p.broken, brokenRequest{at: now, EndNotice: notice})
}

// endsAt returns the kept requests with their ages at the given time.
func (p *poisonRecord) endsAt(now time.Time) []scheduler.EndNotice {
	var ends []scheduler.EndNotice
	for _, b := range p.broken {
		b.Age = now.Sub(b.at)
		ends = append(ends, b.EndNotice)
	}
	return ends
}

// refuses reports whether a record concerns a ticket.
func (p *poisonRecord) refuses(t *scheduler.Ticket, pool ident.PoolName) bool {
	_, part := p.refused.FindAny(pool, t.Parts)
	return part || p.refused.RefusesRequest(t.Fingerprint, t.Content)
}

// SetEnded sets the ends of upstreams that the leader knows, of any pool.
func (c *Client) SetEnded(ends []poison.End) {
	requests, parts := make(map[uint64]bool), make(map[uint64]bool)
	for _, e := range ends {
		if e.Pool != c.pool {
			continue
		}
		requests[e.Fingerprint] = true
		if e.Content != 0 {
			requests[e.Content] = true
		}
		for _, part := range e.Parts {
			parts[part] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poison.requests.set(requests)
	c.poison.parts.set(parts)
}

// Cleared returns what was answered at this gateway since, of what stands in the ends set by
// SetEnded.
func (c *Client) Cleared() poison.Answered {
	c.mu.Lock()
	defer c.mu.Unlock()
	return poison.Answered{Requests: slices.Sorted(maps.Keys(c.poison.requests.cleared)), Parts: slices.Sorted(maps.Keys(c.poison.parts.cleared))}
}

// LearnPoison merges records that a scheduler, the leader or an operator knows, and
// returns those that are new. The next registration passes them on.
func (c *Client) LearnPoison(records []poison.Record) (learned []poison.Record) {
	if len(records) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.poison.refused.Merge(records, time.Now())
}

// Poison returns all records of refused parts and requests that this gateway knows.
func (c *Client) Poison() []poison.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.poison.refused.List()
}
