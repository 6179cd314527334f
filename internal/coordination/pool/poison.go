package pool

import (
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

const (
	// maxBrokenRequests bounds the requests broken off at their beginning that a
	// gateway keeps for the next scheduler, and brokenRetention is how long it keeps
	// them.
	maxBrokenRequests = 32
	brokenRetention   = 10 * time.Minute
)

// poisonRecord is what a gateway knows of prompt parts on which upstreams end.
type poisonRecord struct {
	refused poison.Set
	// broken holds the requests of this gateway whose upstreams broke off at the
	// beginning of their answers, oldest first. Their ages count from at.
	broken []brokenRequest
}

type brokenRequest struct {
	scheduler.EndNotice
	at time.Time
}

// recordEnd keeps a request whose upstream broke off at the beginning of its answer.
func (p *poisonRecord) recordEnd(r *runningRequest, end scheduler.Ending, now time.Time) {
	if end.Broken == scheduler.NotBroken || end.OutputTokens >= 2 || len(r.ticket.Parts) == 0 {
		return
	}
	p.broken = slices.DeleteFunc(p.broken, func(b brokenRequest) bool { return now.Sub(b.at) > brokenRetention })
	if len(p.broken) >= maxBrokenRequests {
		p.broken = slices.Delete(p.broken, 0, len(p.broken)-maxBrokenRequests+1)
	}
	p.broken = append(p.broken, brokenRequest{at: now, EndNotice: scheduler.EndNotice{
		Ticket: r.ticket.ID, Upstream: r.grant.Upstream, Parts: r.ticket.Parts, Broken: end.Broken,
	}})
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

// LearnPoison merges records of refused parts that a scheduler, the leader or an
// operator knows, and returns those that are new. The next registration passes them
// on.
func (c *Client) LearnPoison(parts []poison.Part) (learned []poison.Part) {
	if len(parts) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.poison.refused.Merge(parts, time.Now())
}

// Poison returns all records of refused parts that this gateway knows.
func (c *Client) Poison() []poison.Part {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.poison.refused.List()
}
