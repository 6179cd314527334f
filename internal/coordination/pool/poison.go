package pool

import (
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
}

type brokenRequest struct {
	scheduler.EndNotice
	at time.Time
}

// recordEnd keeps a request whose upstream broke off its answer.
func (p *poisonRecord) recordEnd(r *runningRequest, end scheduler.Ending, now time.Time) {
	if end.Broken != scheduler.BrokenUnbegun && end.Broken != scheduler.BrokenBegun {
		return
	}
	notice := scheduler.EndNotice{
		Ticket: r.ticket.ID, Upstream: r.grant.Upstream, Fingerprint: r.ticket.Fingerprint,
		Route: r.ticket.Route, Team: r.ticket.Team, Broken: end.Broken,
	}
	if end.OutputTokens < 2 {
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
	_, request := p.refused.FindRequest(t.Fingerprint)
	_, part := p.refused.FindAny(pool, t.Parts)
	return request || part
}

// RequestEnds returns the requests of this gateway that ran at upstreams when these
// ended, as far as they are younger than maxAge.
func (c *Client) RequestEnds(maxAge time.Duration) []poison.End {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ends []poison.End
	for _, b := range c.poison.broken {
		if b.Fingerprint != 0 && time.Since(b.at) < maxAge {
			ends = append(ends, poison.End{
				Pool: c.pool, Request: b.Ticket, Upstream: b.Upstream, Fingerprint: b.Fingerprint, Route: b.Route, Team: b.Team,
			})
		}
	}
	return ends
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
