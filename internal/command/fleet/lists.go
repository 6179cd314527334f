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
)

const (
	// listInterval is the time between two readings of the platform's list by
	// the leader: with the list's own lag it is a fraction of the time after
	// which an upstream that leaves must get nothing more (3 s).
	listInterval = 500 * time.Millisecond
	// pageTimeout bounds the reading of one page.
	pageTimeout = time.Second
	// rateLimitDelay is the pause after a call that the platform declined.
	rateLimitDelay = 200 * time.Millisecond
	// maxPages bounds the pages of one reading.
	maxPages = 400
	// listRateShare is the part of the calls which the platform permits to all nodes
	// that the leader makes steadily, and listBurst the part that it makes at once:
	// in no second more than 95 of 100.
	listRateShare  = 0.75
	listBurstShare = 0.2
	// fallbackAfter is how long a gateway hears no leader before it reads the
	// list itself, and fallbackInterval the time between two such readings.
	fallbackAfter    = 2500 * time.Millisecond
	fallbackInterval = 2 * time.Second
)

// leaderListLoop reads the platform's list while this replica leads.
func (n *Node) leaderListLoop() {
	limit := n.listLimiter(1)
	reached := true
	for n.ctx.Err() == nil {
		if n.replica.leading() {
			reached = n.readList(reached, limit, func(found []control.Discovered, complete bool) {
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

// fallbackListLoop reads the list at a gateway that hears no leader. All gateways
// may be in that state, so each makes its part of the calls.
func (n *Node) fallbackListLoop() {
	reached := true
	for n.ctx.Err() == nil {
		sleep(n.ctx, fallbackInterval)
		age, known := n.follower.Age(boottime.Now())
		if !known || age <= fallbackAfter {
			continue
		}
		reached = n.readList(reached, n.listLimiter(len(n.gateways())), func(found []control.Discovered, _ bool) {
			n.setUpstreams(found, "the platform's list")
			n.applyPools()
		})
	}
}

// listLimiter paces the calls of one of several readers of the list.
func (n *Node) listLimiter(readers int) *rate.Limiter {
	if n.settings.ListCallsPerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	perSecond := n.settings.ListCallsPerSecond / float64(max(1, readers))
	return rate.NewLimiter(rate.Limit(listRateShare*perSecond), max(1, int(listBurstShare*perSecond)))
}

// readList reads the list once, hands on what it says and reports whether the
// platform answered. What was known before stays in force when it does not.
func (n *Node) readList(wasReachable bool, limit *rate.Limiter, apply func(found []control.Discovered, complete bool)) bool {
	scan := newListScan(n.knownUpstreams())
	err := n.readPages(limit, func(page ListPage) {
		scan.add(page)
		if found, changed := scan.partial(); changed && page.Next != "" {
			apply(found, false)
		}
	})
	if (err == nil) != wasReachable {
		n.recordContact("the platform's list", err)
	}
	if err != nil {
		klog.ErrorS(err, "list not read, the last one stays in force", "node", n.settings.Name)
		return false
	}
	apply(scan.complete(), true)
	return true
}

// readPages passes on all pages of the list.
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

// readPage reads one page as soon as another call is permitted, and once more if
// the platform declines it.
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

// knownUpstreams returns the upstreams that this node knows.
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
