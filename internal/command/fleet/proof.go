package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// proof is when the routes and keys in force at a node were last known to be the newest. It is
// renewed only after they were put in force, so that a reader who sees a new proof also sees
// what it holds for. It is safe for concurrent use.
type proof struct {
	mu     sync.Mutex
	known  bool
	sentAt time.Duration
	// renewed is closed and replaced at each renewal.
	renewed chan struct{}
	// waiting is the number of requests that wait for a renewal.
	waiting int
}

func newProof() *proof { return &proof{renewed: make(chan struct{})} }

// renew records that a sync sent at the given time since boot was served.
func (p *proof) renew(sentAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.known && sentAt <= p.sentAt {
		return
	}
	p.known, p.sentAt = true, sentAt
	close(p.renewed)
	p.renewed = make(chan struct{})
}

// age returns how long before now, the time since boot, the routes and keys were the newest;
// known is false if they never were. renewed is closed at the next renewal.
func (p *proof) age(now time.Duration) (age time.Duration, known bool, renewed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now - p.sentAt, p.known, p.renewed
}

// await waits until the proof is younger than maxAge, for at most wait. It returns the age
// of the proof and whether it is that young. It does not wait, and full is true, if
// maxWaitingDenials requests do so already.
func (p *proof) await(ctx context.Context, maxAge, wait time.Duration) (age time.Duration, young, full bool) {
	age, known, renewed := p.age(boottime.Now())
	if known && age < maxAge {
		return age, true, false
	}
	if !p.enter() {
		return age, false, true
	}
	defer p.leave()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-renewed:
		case <-timer.C:
			return age, false, false
		case <-ctx.Done():
			return age, false, false
		}
		if age, known, renewed = p.age(boottime.Now()); known && age < maxAge {
			return age, true, false
		}
	}
}

// enter reports whether one more request may wait for a renewal. If so, leave has to be
// called after the wait.
func (p *proof) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting >= maxWaitingDenials {
		return false
	}
	p.waiting++
	return true
}

func (p *proof) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting--
}

// denialLinesPerSecond limits the lines about requests that a node denies by an old proof.
const denialLinesPerSecond = 5

// maxWaitingDenials bounds the requests that a node holds until its proof is renewed.
const maxWaitingDenials = 256

// ConfirmDenial reports whether the routes that AwaitHosts returns after this call were the
// newest so recently that a request may be denied for what they lack. It waits for the leader's
// next confirmation if they were not, as AwaitHosts does for the first routes. If it returns
// false, a version that allows the request may be in force, and the request has to be refused as
// not run. It returns false without waiting if maxWaitingDenials requests wait already.
func (n *Node) ConfirmDenial(ctx context.Context, id ident.RequestID, remaining time.Duration) bool {
	began := time.Now()
	age, young, full := n.proof.await(ctx, n.settings.MaxDenialAge, configWait(remaining))
	waited := time.Since(began)
	n.metrics.denialAges.Observe(age.Seconds())
	if full {
		n.metrics.denialsNotAwaited.Inc()
	}
	if (!young || age > n.settings.MaxDenialAge/2 || waited > syncRetryDelay) && n.denialLines.Allow() {
		_, revision := n.follower.Config()
		n.events.Record(timeline.Event{Kind: timeline.KindRefused, Request: id, Revision: revision, Detail: fmt.Sprintf(
			"not allowed by the configuration, which was last confirmed %d ms ago; confirmed for a denial: %t, after %d ms; too many waited: %t; the sync is unanswered for %d ms",
			age.Milliseconds(), young, waited.Milliseconds(), full, n.replicas.syncs.waiting(time.Now()).Milliseconds())})
	}
	return young
}
