package pool

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// maxNotices bounds the upstreams whose notices a gateway keeps.
const maxNotices = 1024

// upstreamNotices is what an upstream has said about itself in its answers to this
// gateway.
type upstreamNotices struct {
	// perSecond is the limit that the upstream names, in requests a second; 0 if it
	// names none. namedAt is when it last did.
	perSecond float64
	namedAt   time.Time
	// unreadable describes the latest limit that could not be read.
	unreadable string
}

// Notice records what the header of the answer to a granted request says about
// its upstream. It reports whether that is new to this gateway.
//
// An answer that names no limit ends one only if its request was sent after the
// limit was last named: an older answer may arrive late.
func (c *Client) Notice(id ident.RequestID, n scheduler.UpstreamNotice) (news bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[id]
	if r == nil {
		return false
	}
	known := c.notices[r.grant.Upstream]
	former := known
	switch n.RateLimit {
	case scheduler.RateLimitNamed:
		known.perSecond, known.namedAt = n.PerSecond, time.Now()
	case scheduler.RateLimitUnreadable:
		known.unreadable = n.Text
	case scheduler.RateLimitAbsent:
		if known.perSecond != 0 && r.since.After(known.namedAt) {
			known.perSecond = 0
		}
	}
	c.setNotices(r.grant.Upstream, known)
	if n.RateLimit == scheduler.RateLimitNamed || n.RateLimit == scheduler.RateLimitAbsent && (r.grant.Limited || former.perSecond != 0) {
		c.queueReport(scheduler.Report{
			Kind: scheduler.ReportNotice, Ticket: id, Upstream: r.grant.Upstream, Elapsed: time.Since(r.since), Notice: &n,
		})
	}
	return known.perSecond != former.perSecond || known.unreadable != former.unreadable
}

// setNotices keeps the notices of an upstream. If there are too many, it forgets
// the upstream that named its limit the longest time ago. The caller holds the
// lock.
func (c *Client) setNotices(name ident.UpstreamName, n upstreamNotices) {
	if n.perSecond == 0 && n.unreadable == "" {
		delete(c.notices, name)
		return
	}
	if _, known := c.notices[name]; !known && len(c.notices) >= maxNotices {
		oldest := name
		for other, o := range c.notices {
			if oldest == name || o.namedAt.Before(c.notices[oldest].namedAt) {
				oldest = other
			}
		}
		delete(c.notices, oldest)
	}
	c.notices[name] = n
}

// rateLimits returns the limits that upstreams have named to this gateway. The
// caller holds the lock.
func (c *Client) rateLimits(now time.Time) []scheduler.RateLimitNotice {
	var limits []scheduler.RateLimitNotice
	for name, n := range c.notices {
		if n.perSecond > 0 {
			limits = append(limits, scheduler.RateLimitNotice{Upstream: name, PerSecond: n.perSecond, Age: now.Sub(n.namedAt)})
		}
	}
	return limits
}

// RateLimits returns the number of upstreams that name a limit to this gateway.
func (c *Client) RateLimits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := 0
	for _, n := range c.notices {
		if n.perSecond > 0 {
			limits++
		}
	}
	return limits
}
