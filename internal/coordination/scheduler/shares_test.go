package scheduler

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// versionLoad submits tickets to a pool with two upstreams of v1 and one of v3 with 4 slots each.
type versionLoad struct {
	pool      *Pool
	view      View
	upstreams []ident.UpstreamName
	tickets   int
}

// newVersionLoad returns the load of a pool in which v3 has a share and Extra, v1 the rest.
func newVersionLoad(share float64, extra int) *versionLoad {
	l := &versionLoad{view: sharedView(3)}
	for i := range l.view.Upstreams {
		l.view.Upstreams[i].Version, l.view.Upstreams[i].MaxConcurrent = []ident.VersionName{"v1", "v1", "v3"}[i], 4
		l.upstreams = append(l.upstreams, l.view.Upstreams[i].Name)
	}
	l.view.Shares = []VersionShare{{Version: "v1", Share: 1 - share, NonIdempotentShare: 1 - share}, {Version: "v3", Share: share, NonIdempotentShare: share, Extra: extra}}
	l.pool = sharedPool(l.view, l.view.Gateways...)
	return l
}

// allow replaces the Extra of v3.
func (l *versionLoad) allow(extra int) {
	l.view.Shares = slices.Clone(l.view.Shares)
	l.view.Shares[1].Extra = extra
	l.pool.SetView(l.view, start)
}

// submit submits tickets that some upstreams have failed, ends those that are granted if done is
// set, and returns the grants by version.
func (l *versionLoad) submit(count int, done bool, failed ...ident.UpstreamName) map[ident.VersionName]int {
	granted := make(map[ident.VersionName]int)
	for range count {
		l.tickets++
		now := start + time.Duration(l.tickets)*time.Millisecond
		ticket := sharedTicket(l.tickets, "low")
		ticket.Excluded = failed
		l.pool.Submit(ticket, now)
		for _, g := range grants(l.pool.Decisions()) {
			granted[g.Version]++
			if done {
				serveRequest(l.pool, g, ReportEnded, now, 100*time.Microsecond)
			}
		}
	}
	return granted
}

// TestShares_OtherVersionsLost guards against tickets that wait for the version with the largest
// share after all of its upstreams were lost or have failed them, while another one has slots and
// may exceed its share; and against another version that takes more than it may, takes more
// although only the slots are used up, or has no share at all.
func TestShares_OtherVersionsLost(t *testing.T) {
	l := newVersionLoad(0.08, 3)
	must.Eq(t, map[ident.VersionName]int{"v3": 3}, l.submit(5, true, l.upstreams[:2]...))
	l.allow(7)
	must.Eq(t, map[ident.VersionName]int{"v3": 4}, l.submit(8, true, l.upstreams[:2]...))
	l.allow(0)
	must.MapEmpty(t, l.submit(3, true, l.upstreams[:2]...))
	l.allow(2)
	must.Eq(t, map[ident.VersionName]int{"v3": 2}, l.submit(3, true, l.upstreams[:2]...))
	// What v3 got beyond its share isn't taken off its share.
	l = newVersionLoad(0.08, 30)
	must.Eq(t, map[ident.VersionName]int{"v3": 30}, l.submit(30, true, l.upstreams[:2]...))
	must.Eq(t, map[ident.VersionName]int{"v1": 46, "v3": 4}, l.submit(50, true))

	// The slots of v1 are used up: v3 takes its share only.
	granted := newVersionLoad(0.08, 3).submit(30, false)
	must.Eq(t, 8, granted["v1"])
	must.LessEq(t, 1, granted["v3"])

	l = newVersionLoad(0, 3)
	must.MapEmpty(t, l.submit(3, true, l.upstreams[:2]...))
	// Without Extra, a share is a bound.
	l = newVersionLoad(0.08, 0)
	must.LessEq(t, 1, l.submit(10, true, l.upstreams[:2]...)["v3"])
	// Two versions with equal shares take over for each other.
	l = newVersionLoad(0.5, math.MaxInt)
	must.Eq(t, map[ident.VersionName]int{"v3": 40}, l.submit(40, true, l.upstreams[:2]...))
}

// TestShares_FailedRequestsCount guards against a version that gets more than its share because
// the requests which it fails or rejects are sent again, and against one that loses its share by
// requests which did not reach it.
func TestShares_FailedRequestsCount(t *testing.T) {
	for kind, reached := range map[ReportKind]bool{ReportRetryable: true, ReportRejected: true, ReportUnsent: false, ReportMisdirected: false} {
		l := newVersionLoad(0.3, 0)
		got, all := 0, 0
		for range 200 {
			l.tickets++
			now := start + time.Duration(l.tickets)*100*time.Millisecond
			l.pool.Submit(sharedTicket(l.tickets, "low"), now)
			for again := true; again; {
				again = false
				for _, g := range grants(l.pool.Decisions()) {
					all++
					if g.Version == "v1" || all%3 > 0 {
						serveRequest(l.pool, g, ReportEnded, now, 10*time.Millisecond)
						if g.Version != "v1" {
							got++
						}
						continue
					}
					if again = true; reached {
						got++
					}
					serveRequest(l.pool, g, kind, now, 10*time.Millisecond)
				}
			}
		}
		must.LessEq(t, 0.3*float64(all)+1, float64(got), must.Sprint(kind))
		must.Positive(t, got, must.Sprint(kind))
	}
}
