package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// listInterval is the pause between two passes of the leader over the
	// platform's list. Together with the delay of the list itself it is a fraction
	// of the 3 s after which a leaving upstream must get no more requests.
	listInterval = 500 * time.Millisecond
	// pageTimeout bounds the call for one page.
	pageTimeout = time.Second
	// rateLimitDelay is the delay before a rate-limited call is retried.
	rateLimitDelay = 200 * time.Millisecond
	// maxPages bounds the pages of one pass over the list.
	maxPages = 400
	// listRateShare is the share of the platform's call limit for all nodes that
	// the leader uses as its steady rate, and listBurstShare the share that it may
	// use as a burst. So it makes no more than 95 % of the permitted calls in any
	// second.
	listRateShare  = 0.75
	listBurstShare = 0.2
	// fallbackAfter is how long a gateway is without contact to a leader before it
	// reads the list itself, and fallbackInterval the pause between two such
	// passes.
	fallbackAfter    = 2500 * time.Millisecond
	fallbackInterval = 2 * time.Second
)

// leaderListLoop reads the platform's list periodically while this replica leads.
func (n *Node) leaderListLoop() {
	limit := n.listLimiter(1)
	reachable := true
	for n.ctx.Err() == nil {
		if n.replica.leading() {
			reachable = n.readList(reachable, limit, func(found []control.Discovered, complete bool) {
				n.replica.service.SetUpstreams(found, complete)
			})
		}
		select {
		case <-n.ctx.Done():
		case <-n.replica.elected:
		case <-time.After(listInterval):
		}
	}
}

// fallbackListLoop reads the list on a gateway without contact to a leader. All
// gateways may be in that state at once, so each uses only its share of the
// permitted call rate.
func (n *Node) fallbackListLoop() {
	reachable := true
	for n.ctx.Err() == nil {
		sleep(n.ctx, fallbackInterval)
		age, known := n.follower.Age(boottime.Now())
		if !known || age <= fallbackAfter {
			continue
		}
		reachable = n.readList(reachable, n.listLimiter(len(n.gateways())), func(found []control.Discovered, _ bool) {
			n.setUpstreams(found, "the platform's list")
			n.applyPools()
		})
	}
}

// listLimiter returns the rate limiter for one of several nodes that read the list
// at the same time.
func (n *Node) listLimiter(readers int) *rate.Limiter {
	if n.settings.ListCallsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	perSecond := n.settings.ListCallsPerSecond / float64(max(1, readers))
	return rate.NewLimiter(rate.Limit(listRateShare*perSecond), max(1, int(listBurstShare*perSecond)))
}

// readList reads the whole list once, passes the upstreams to apply and reports
// whether the platform answered. If it fails, upstreams that it has not read stay
// as they were known.
func (n *Node) readList(wasReachable bool, limit *rate.Limiter, apply func(found []control.Discovered, complete bool)) bool {
	scan := newListScan(n.knownUpstreams())
	err := n.readPages(limit, func(page ListPage) {
		n.dropUnlimitedCold(page.Found)
		n.coldStarts.update(page.Found, func(name ident.UpstreamName) control.Discovered { return scan.known[name] }, time.Now())
		scan.add(page)
		if found, changed := scan.partial(); changed && page.Next != "" {
			apply(found, false)
		}
	})
	if (err == nil) != wasReachable {
		n.recordContact("the platform's list", err)
	}
	if err != nil {
		klog.ErrorS(err, "reading the platform's list failed, keeping the known upstreams", "node", n.settings.Name)
		return false
	}
	n.noteSkipped(scan.skipped)
	n.coldStarts.dropUnlisted(time.Now())
	apply(scan.complete(), true)
	return true
}

// noteSkipped records the entries that a complete pass over the list has skipped, if they
// aren't those of the last one.
func (n *Node) noteSkipped(skipped SkippedEntries) {
	if last := n.skippedEntries.Swap(&skipped); last == nil && skipped.Count == 0 || last != nil && *last == skipped {
		return
	}
	klog.InfoS("entries of the platform's list are skipped, since they can't be used", "node", n.settings.Name, "entries", skipped.Count, "first", skipped.Reasons)
}

// skippedCount returns the number of entries that the last complete pass has skipped.
func (n *Node) skippedCount() int {
	if skipped := n.skippedEntries.Load(); skipped != nil {
		return skipped.Count
	}
	return 0
}

// readPages calls visit for each page of the list.
func (n *Node) readPages(limit *rate.Limiter, visit func(ListPage)) error {
	token := ""
	for range maxPages {
		page, err := n.readPage(limit, token)
		if err != nil {
			return err
		}
		visit(page)
		if page.Next == "" {
			return nil
		}
		token = page.Next
	}
	return fmt.Errorf("list: more than %d pages", maxPages)
}

// readPage reads one page as soon as the limiter permits the call. It retries a
// rate-limited call once.
func (n *Node) readPage(limit *rate.Limiter, token string) (ListPage, error) {
	for retried := false; ; retried = true {
		if err := limit.Wait(n.ctx); err != nil {
			return ListPage{}, fmt.Errorf("list: %w", err)
		}
		ctx, cancel := context.WithTimeout(n.ctx, pageTimeout)
		page, err := n.deps.ListPage(ctx, token)
		cancel()
		if retried || !errors.Is(err, ErrListRateLimited) {
			return page, err
		}
		sleep(n.ctx, rateLimitDelay)
	}
}

// knownUpstreams returns the upstreams that this node knows: those of the control
// service on a replica, otherwise those applied last.
func (n *Node) knownUpstreams() []control.Discovered {
	if n.replica != nil {
		return n.replica.service.Upstreams()
	}
	known := n.upstreams.Load().byName
	found := make([]control.Discovered, 0, len(known))
	for _, d := range known {
		found = append(found, d)
	}
	return found
}
