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
	// brittle is true if the upstream falls when it turns away more than turnAway
	// requests a second. brittleAt is when it last said so.
	brittle   bool
	turnAway  float64
	brittleAt time.Time
	// unreadable describes the latest limit, and the others the latest brittleness, pause
	// and leaving, that could not be read.
	unreadable, unreadableBrittle, unreadablePause, unreadableLeaving string
}

// latest returns when the upstream last named a limit or said that it is brittle.
func (n upstreamNotices) latest() time.Time {
	if n.brittleAt.After(n.namedAt) {
		return n.brittleAt
	}
	return n.namedAt
}

// sameAs reports whether two records say the same, whenever it was said.
func (n upstreamNotices) sameAs(o upstreamNotices) bool {
	n.namedAt, n.brittleAt = o.namedAt, o.brittleAt
	return n == o
}

// Notice records what the header of the answer to a granted request says about
// its upstream. It reports whether that is new to this gateway.
//
// An answer that names no limit ends one only if its request was sent after the
// limit was last named: an older answer may arrive late. The same holds for
// brittleness.
func (c *Client) Notice(id ident.RequestID, n scheduler.UpstreamNotice) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.running[id]
	if r == nil {
		return false
	}
	known := c.notices[r.grant.Upstream]
	former := known
	switch n.RateLimit {
	case scheduler.NoticeNamed:
		known.perSecond, known.namedAt = n.PerSecond, time.Now()
	case scheduler.NoticeUnreadable:
		known.unreadable = n.Text
	case scheduler.NoticeAbsent:
		if known.perSecond != 0 && r.since.After(known.namedAt) {
			known.perSecond = 0
		}
	}
	switch n.Brittle {
	case scheduler.NoticeNamed:
		known.brittle, known.turnAway, known.brittleAt = true, n.TurnAway, time.Now()
	case scheduler.NoticeUnreadable:
		known.unreadableBrittle = n.BrittleText
	case scheduler.NoticeAbsent:
		if known.brittle && r.since.After(known.brittleAt) {
			known.brittle, known.turnAway = false, 0
		}
	}
	switch n.Pause {
	case scheduler.NoticeNamed:
		if now := time.Now(); r.via == "" {
			c.pauseUntil(r.grant.Upstream, now.Add(n.PauseFor), now)
		}
	case scheduler.NoticeUnreadable:
		known.unreadablePause = n.PauseText
	}
	c.cold.answered(r.grant.Upstream)
	cold := n.Cold == scheduler.NoticeNamed && c.coldLimited
	if cold {
		c.cold.add(scheduler.ColdNotice{Upstream: r.grant.Upstream, For: n.ColdFor}, time.Now())
	}
	leaves := n.Leaving == scheduler.NoticeNamed && c.markLeaving(r.grant.Upstream, time.Now())
	if n.Leaving == scheduler.NoticeUnreadable {
		known.unreadableLeaving = n.LeavingText
	}
	c.setNotices(r.grant.Upstream, known)
	named := n.RateLimit == scheduler.NoticeNamed || n.Brittle == scheduler.NoticeNamed || n.Pause == scheduler.NoticeNamed
	if named || leaves || cold || r.grant.Limited || former.perSecond != 0 || former.brittle {
		c.queueReport(scheduler.Report{
			Kind: scheduler.ReportNotice, Ticket: id, Upstream: r.grant.Upstream, Elapsed: time.Since(r.since), Notice: &n, Via: r.via,
		})
	}
	return !known.sameAs(former) || leaves || n.Pause == scheduler.NoticeNamed
}

// setNotices keeps the notices of an upstream. If there are too many, it forgets
// the upstream that said something the longest time ago. The caller holds the
// lock.
func (c *Client) setNotices(name ident.UpstreamName, n upstreamNotices) {
	if n.perSecond == 0 && !n.brittle && n.unreadable+n.unreadableBrittle+n.unreadablePause+n.unreadableLeaving == "" {
		delete(c.notices, name)
		return
	}
	if _, known := c.notices[name]; !known && len(c.notices) >= maxNotices {
		oldest := name
		for other, o := range c.notices {
			if oldest == name || o.latest().Before(c.notices[oldest].latest()) {
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
		if n.perSecond > 0 || n.brittle {
			limits = append(limits, scheduler.RateLimitNotice{
				Upstream: name, PerSecond: n.perSecond, Brittle: n.brittle, TurnAway: n.turnAway, Age: now.Sub(n.latest()),
			})
		}
	}
	return limits
}

// RateLimits returns the numbers of upstreams that name a limit to this gateway and of
// those that say that they are brittle.
func (c *Client) RateLimits() (limits, brittle int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.notices {
		if n.perSecond > 0 {
			limits++
		}
		if n.brittle {
			brittle++
		}
	}
	return limits, brittle
}
