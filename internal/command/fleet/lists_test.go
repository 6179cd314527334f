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

// pagedList is a platform's list of some pages that accepts so many calls in any
// second.
type pagedList struct {
	pages     [][]control.Discovered
	perSecond int
	calls     []time.Time
	declined  int
}

// page answers one call.
func (l *pagedList) page(_ context.Context, token string) (ListPage, error) {
	now := time.Now()
	recent := 0
	for _, at := range l.calls {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	if recent >= l.perSecond {
		l.declined++
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
	n := &Node{ctx: t.Context(), deps: Dependencies{ListPage: l.page}, settings: Settings{ListCallsPerSecond: perSecond}}
	n.upstreams.Store(&upstreamTable{})
	return n
}

// TestLists_MorePagesThanCallsPerSecond replays the list of 3,000 upstreams: 60
// pages, where 40 calls a second are accepted. Read as fast as pages came, no
// reading was ever complete.
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
			// An upstream that leaves must get nothing more after 3 s.
			must.Less(t, 2500*time.Millisecond, time.Since(began))
			// The first page is of use at once.
			must.Less(t, 100*time.Millisecond, first)
		}
	})
}

// TestLists_GoneOnlyAfterWholeReading takes in what a page says at once, and
// keeps upstreams that no page has named yet.
func TestLists_GoneOnlyAfterWholeReading(t *testing.T) {
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

// TestLists_BusyPlatform reads a page again that was declined, and keeps what was
// known when it is declined again.
func TestLists_BusyPlatform(t *testing.T) {
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
		must.Eq(t, 2, l.declined)
		must.SliceEmpty(t, found)
		l.perSecond = 3
		time.Sleep(2 * time.Second)
		must.True(t, n.readList(false, limit, take))
		must.Len(t, 3, found)
	})
}

// TestLists_GatewaysShareTheCalls checks that gateways which hear no leader make
// together no more calls than the platform accepts.
func TestLists_GatewaysShareTheCalls(t *testing.T) {
	n := newListReader(t, &pagedList{}, 40)
	must.InDelta(t, 40*listRateShare, 84*float64(n.listLimiter(84).Limit()), 1e-9)
}
