package gateway

import (
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// freshTrialInterval is the time between two requests that try a new connection to an
// upstream to which new ones break.
const freshTrialInterval = 500 * time.Millisecond

// maxReusePeerAge is how long ago another gateway may have had an answer for requests to be
// kept from new connections: that gateway relays what finds no other one.
const maxReusePeerAge = peerFreshness / 4

// freshConns knows to which upstreams new connections break. Something between the two
// ends may end new connections while older ones live on; answers on those then hide that
// the upstream can't be reached. Once new connections to several upstreams broke that other
// gateways reach, and none was answered since, those to all count as broken.
type freshConns struct {
	mu     sync.Mutex
	broken map[ident.UpstreamName]brokenFresh
	// answeredAt is when a request on a new connection was last answered, and failedAt
	// when the latest one that broke on one was sent.
	answeredAt, failedAt time.Time
	// cut is true while new connections to all upstreams count as broken. TrialAt is when
	// it began or the latest trial was sent, and trialInterval the time until the next one.
	cut           bool
	trialAt       time.Time
	trialInterval time.Duration
}

// brokenFresh is an upstream to which new connections break.
type brokenFresh struct {
	// failedAt is when the latest request that broke on one was sent, and trialAt when the
	// latest trial was.
	failedAt, trialAt time.Time
}

// failed records that a request broke on a new connection. It reports whether the
// gateway did not know that.
func (f *freshConns) failed(upstream ident.UpstreamName, sent time.Time) (isNew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.broken == nil {
		f.broken = make(map[ident.UpstreamName]brokenFresh)
	}
	for name, b := range f.broken {
		if sent.Sub(b.failedAt) > failureRetention {
			delete(f.broken, name)
		}
	}
	b, known := f.broken[upstream]
	b.failedAt, f.failedAt = sent, sent
	f.broken[upstream] = b
	return !known
}

// answered records that a request on a new connection was answered. It reports whether
// the gateway did not know that.
func (f *freshConns) answered(upstream ident.UpstreamName, now time.Time) (isNew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, isNew = f.broken[upstream]
	isNew = isNew || f.cut
	delete(f.broken, upstream)
	f.answeredAt, f.cut, f.trialInterval = now, false, 0
	return isNew
}

// isCut reports whether new connections to all upstreams count as broken.
func (f *freshConns) isCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut
}

// unrelayed records that no other gateway took a request twice: connections break not only
// here, such as at upstreams that are at their connection limits.
func (f *freshConns) unrelayed(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredAt, f.cut, f.trialInterval = now, false, 0
}

// breaks reports whether new connections may break here: one did lately, and none was
// answered since.
func (f *freshConns) breaks(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	retention := failureRetention
	if f.cut {
		retention = unsafeTrialWait
	}
	return f.failedAt.After(f.answeredAt) && now.Sub(f.failedAt) <= retention
}

// avoidAll reports whether a request under a grant should use a connection from before or
// another gateway because new connections to all upstreams count as broken. Now and then
// one is let through as a trial; one that can't be sent again only if there were no others
// for long. Change, if not empty, says what the gateway believes from now on.
func (f *freshConns) avoidAll(grant *scheduler.Grant, repeatable bool, now time.Time) (avoid bool, change string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut && now.Sub(f.failedAt) > relayedRetention {
		f.cut = false
	}
	if !f.cut {
		if f.brokenSince(grant, now) < upstreamsToRelay {
			return false, ""
		}
		f.cut, f.trialAt, f.trialInterval = true, now, freshTrialInterval
		change = "new connections to several upstreams broke that other gateways reach: connections from before are used, or other gateways"
	}
	wait := f.trialInterval
	if !repeatable {
		wait = unsafeTrialWait
	}
	if now.Sub(f.trialAt) < wait {
		return true, change
	}
	f.trialAt, f.trialInterval = now, min(maxTrialInterval, 2*f.trialInterval)
	return false, change
}

// brokenSince returns the number of upstreams to which new connections broke since one was
// answered, before another gateway had the answer that the grant tells of.
func (f *freshConns) brokenSince(grant *scheduler.Grant, now time.Time) int {
	if grant.Peer == "" {
		return 0
	}
	n, peer := 0, now.Add(-grant.PeerAge)
	for _, b := range f.broken {
		if b.failedAt.After(f.answeredAt) && now.Sub(b.failedAt) <= failureRetention && peer.Sub(b.failedAt) > peerAdvantage {
			n++
		}
	}
	return n
}

// mustReuse reports whether a request under a grant should use a connection from before
// or another gateway: new ones break here, and another gateway had an answer since. A
// repeatable request is let through now and then as a trial.
func (f *freshConns) mustReuse(grant *scheduler.Grant, repeatable bool, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, known := f.broken[grant.Upstream]
	if !known || now.Sub(b.failedAt) > failureRetention {
		return false
	}
	if grant.Peer == "" || now.Add(-grant.PeerAge).Sub(b.failedAt) < peerAdvantage {
		return false
	}
	if repeatable && now.Sub(b.trialAt) >= freshTrialInterval {
		b.trialAt = now
		f.broken[grant.Upstream] = b
		return false
	}
	return true
}
