package fleet

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
)

const (
	// listInterval is the time between two readings of the platform's list by
	// the leader: with the list's own lag it is a fraction of the time after
	// which an upstream that leaves must get nothing more (3 s).
	listInterval = 500 * time.Millisecond
	// listTimeout bounds one reading of the list.
	listTimeout = time.Second
	// fallbackAfter is how long a gateway hears no leader before it reads the
	// list itself, and fallbackInterval the time between two such readings.
	fallbackAfter    = 2500 * time.Millisecond
	fallbackInterval = 2 * time.Second
)

// leaderListLoop reads the platform's list while this replica leads.
func (n *Node) leaderListLoop() {
	reached := true
	for n.ctx.Err() == nil {
		if n.replica.leading() {
			reached = n.readList(reached, true)
		}
		select {
		case <-n.ctx.Done():
		case <-n.replica.elected:
		case <-time.After(listInterval):
		}
	}
}

// fallbackListLoop reads the list at a gateway that hears no leader.
func (n *Node) fallbackListLoop() {
	reached := true
	for n.ctx.Err() == nil {
		sleep(n.ctx, fallbackInterval)
		age, known := n.follower.Age(boottime.Now())
		if known && age > fallbackAfter {
			reached = n.readList(reached, false)
		}
	}
}

// readList reads the list once and reports whether the platform answered. The
// last good reading stays in force when it does not.
func (n *Node) readList(reached, leading bool) bool {
	ctx, cancel := context.WithTimeout(n.ctx, listTimeout)
	defer cancel()
	found, err := n.edges.List(ctx)
	if (err == nil) != reached {
		n.tellContact("the platform's list", err)
		if err != nil {
			klog.ErrorS(err, "list not read, the last one stays in force", "node", n.settings.Name)
		}
	}
	switch {
	case err != nil:
	case leading:
		n.replica.service.SetUpstreams(found)
	default:
		n.setUpstreams(found, "the platform's list")
		n.applyPools()
	}
	return err == nil
}
