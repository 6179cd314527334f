package pool

import (
	"maps"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// coldUpstreams holds until when upstreams are cold, as they have said in answers to this
// gateway.
type coldUpstreams map[ident.UpstreamName]time.Time

// set records what an upstream says. The latest end holds.
func (u coldUpstreams) set(name ident.UpstreamName, left time.Duration, now time.Time) {
	maps.DeleteFunc(u, func(_ ident.UpstreamName, until time.Time) bool { return !now.Before(until) })
	if until := now.Add(left); until.After(u[name]) {
		u[name] = until
	}
}

// notices returns the upstreams that are still cold.
func (u coldUpstreams) notices(now time.Time) []scheduler.ColdNotice {
	var cold []scheduler.ColdNotice
	for name, until := range u {
		if left := until.Sub(now); left > 0 {
			cold = append(cold, scheduler.ColdNotice{Upstream: name, For: left})
		}
	}
	return cold
}
