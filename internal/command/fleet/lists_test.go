package fleet

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// pagedList fakes the platform's list. It accepts perSecond calls in any second and
// rejects the others.
type pagedList struct {
	pages     [][]control.Discovered
	perSecond int
	calls     []time.Time
	rejected  int
}

// page implements Dependencies.ListPage.
func (l *pagedList) page(_ context.Context, token string) (ListPage, error) {
	now := time.Now()
	recent := 0
	for _, at := range l.calls {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	if recent >= l.perSecond {
		l.rejected++
		return ListPage{}, ErrListRateLimited
	}
	l.calls = append(l.calls, now)
	number, _ := strconv.Atoi(token)
	page := ListPage{Found: l.pages[number]}
	if number+1 < len(l.pages) {
		page.Next = strconv.Itoa(number + 1)
	}
	return page, nil
}

func discovered(name string, leaving bool) control.Discovered {
	return control.Discovered{Name: ident.UpstreamName(name), Leaving: leaving}
}

func newListReader(t *testing.T, l *pagedList, perSecond float64) *Node {
	n := &Node{ctx: t.Context(), follower: &control.FleetFollower{}, deps: Dependencies{ListPage: l.page}, settings: Settings{ListCallsPerSecond: perSecond}}
	n.upstreams.Store(&upstreamTable{})
	return n
}

// TestLists_MorePagesThanCallsPerSecond reads a list of 3,000 upstreams on 60 pages
// while the platform accepts 40 calls a second. Without rate limiting, no pass over
// the list was ever complete.
func TestLists_MorePagesThanCallsPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pagedList{perSecond: 40}
		for page := range 60 {
			var found []control.Discovered
			for i := range 50 {
				found = append(found, discovered(fmt.Sprintf("u%d-%d", page, i), false))
			}
			l.pages = append(l.pages, found)
		}
		n := newListReader(t, l, 40)
		limit := n.listLimiter(1)
		for range 3 {
			began := time.Now()
			var first time.Duration
			var found []control.Discovered
			must.True(t, n.readList(true, limit, func(now []control.Discovered, _ bool) {
				if first == 0 {
					first = time.Since(began)
				}
				found = now
			}))
			must.Len(t, 3000, found)
			// A leaving upstream must get no more requests after 3 s.
			must.Less(t, 2500*time.Millisecond, time.Since(began))
			// The first page is applied without waiting for the others.
			must.Less(t, 100*time.Millisecond, first)
		}
	})
}

// TestLists_RemovedOnlyAfterCompletePass checks that additions and changes take
// effect with each page, and that upstreams which no page has listed yet are kept
// until the pass is complete.
func TestLists_RemovedOnlyAfterCompletePass(t *testing.T) {
	l := newListScan([]control.Discovered{discovered("a", false), discovered("b", false), discovered("c", false)})
	l.add(ListPage{Found: []control.Discovered{discovered("a", true), discovered("d", false)}, Next: "1"})
	found, changed := l.partial()
	must.True(t, changed)
	must.SliceContainsAll(t, found, []control.Discovered{discovered("a", true), discovered("b", false), discovered("c", false), discovered("d", false)})
	_, changed = l.partial()
	must.False(t, changed)
	l.add(ListPage{Found: []control.Discovered{discovered("b", false)}})
	must.SliceContainsAll(t, l.complete(), []control.Discovered{discovered("a", true), discovered("b", false), discovered("d", false)})
}

// TestLists_RetriesRateLimitedPage checks that a rate-limited page is retried once,
// and that the pass fails without a complete list if the retry is rejected too.
func TestLists_RetriesRateLimitedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pagedList{perSecond: 2, pages: [][]control.Discovered{{discovered("a", false)}, {discovered("b", false)}, {discovered("c", false)}}}
		n := newListReader(t, l, 0)
		var found []control.Discovered
		take := func(now []control.Discovered, complete bool) {
			if complete {
				found = now
			}
		}
		limit := n.listLimiter(1)
		must.False(t, n.readList(false, limit, take))
		must.Eq(t, 2, l.rejected)
		must.SliceEmpty(t, found)
		l.perSecond = 3
		time.Sleep(2 * time.Second)
		must.True(t, n.readList(false, limit, take))
		must.Len(t, 3, found)
	})
}

// TestLists_GatewaysShareCallRate checks that gateways without contact to a leader
// together stay within the platform's call limit.
func TestLists_GatewaysShareCallRate(t *testing.T) {
	n := newListReader(t, &pagedList{}, 40)
	must.InDelta(t, 40*listRateShare, 84*float64(n.listLimiter(84).Limit()), 1e-9)
}

// TestLists_SkippedEntries checks that entries which can't be used keep no upstream alive
// and don't make a pass incomplete, and that the node counts those of the last pass.
func TestLists_SkippedEntries(t *testing.T) {
	l := &pagedList{perSecond: 1000, pages: [][]control.Discovered{{discovered("a", false)}, {discovered("b", false)}}}
	n := newListReader(t, l, 0)
	unusable := 4
	n.deps.ListPage = func(ctx context.Context, token string) (ListPage, error) {
		page, err := l.page(ctx, token)
		for range unusable {
			page.Skipped.Add("no JSON")
		}
		return page, err
	}
	n.upstreams.Store(newUpstreamTable([]control.Discovered{discovered("a", false), discovered("gone", false)}))
	var found []control.Discovered
	take := func(now []control.Discovered, complete bool) {
		if complete {
			found = now
		}
	}
	must.True(t, n.readList(true, n.listLimiter(1), take))
	must.SliceContainsAll(t, found, []control.Discovered{discovered("a", false), discovered("b", false)})
	must.Eq(t, 8, n.skippedCount())
	must.Eq(t, [maxSkipReasons]string{"no JSON", "no JSON", "no JSON"}, n.skippedEntries.Load().Reasons)
	unusable = 0
	must.True(t, n.readList(true, n.listLimiter(1), take))
	must.Zero(t, n.skippedCount())
}
