package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestWithheld_UpstreamsOfAVersion guards against a grant of an upstream whose version was rolled
// back, also for requests with its prefixes and those that can't be repeated, against counting its
// slots, and against requests that wait although no other version is left.
func TestWithheld_UpstreamsOfAVersion(t *testing.T) {
	v := sharedView(4)
	for i := range v.Upstreams {
		v.Upstreams[i].Version = []ident.VersionName{"v1", "v2"}[i%2]
	}
	v.Shares = []VersionShare{{Version: "v1", Share: 0.5, NonIdempotentShare: 0.5}, {Version: "v2", Share: 0.5, NonIdempotentShare: 0.5}}
	p := sharedPool(v, v.Gateways...)
	now, id := start, 0
	// submit returns the versions of the grants of some tickets, and how many were refused.
	submit := func() (granted map[ident.VersionName]int, refused int) {
		granted = make(map[ident.VersionName]int)
		for i := range 40 {
			id, now = id+1, now+20*time.Millisecond
			ticket := sharedTicket(id, "low")
			ticket.Idempotent = i%2 == 0
			ticket.Prefixes = []uint64{uint64(i % 4)}
			p.Submit(ticket, now)
			decisions := p.Decisions()
			for _, d := range decisions {
				if d.Refusal != nil {
					must.Eq(t, ReasonNoUpstream, d.Refusal.Reason)
					refused++
				}
			}
			for _, g := range grants(decisions) {
				granted[g.Version]++
				serveRequest(p, g, ReportEnded, now, 10*time.Millisecond)
			}
		}
		return granted, refused
	}
	granted, _ := submit()
	must.Eq(t, map[ident.VersionName]int{"v1": 20, "v2": 20}, granted)
	slots := p.slots

	bar := func(versions ...ident.VersionName) {
		v.Upstreams = slices.Clone(v.Upstreams)
		v.Shares = slices.Clone(v.Shares)
		for i := range v.Upstreams {
			v.Upstreams[i].Withheld = slices.Contains(versions, v.Upstreams[i].Version)
		}
		for i, s := range v.Shares {
			share := 1.0
			if slices.Contains(versions, s.Version) {
				share = 0
			}
			v.Shares[i].Share, v.Shares[i].NonIdempotentShare = share, share
		}
		p.SetView(v, now)
	}
	bar("v2")
	granted, refused := submit()
	must.Eq(t, map[ident.VersionName]int{"v1": 40}, granted)
	must.Zero(t, refused)
	must.Eq(t, slots/2, p.slots)

	bar("v1", "v2")
	granted, refused = submit()
	must.MapEmpty(t, granted)
	must.Eq(t, 40, refused, must.Sprint(fmt.Sprint(p.slots)))
	bar("v1")
	granted, refused = submit()
	must.Eq(t, map[ident.VersionName]int{"v2": 40}, granted)
	must.Zero(t, refused)
}
