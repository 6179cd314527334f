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
// the upstream can't be reached.
type freshConns struct {
	mu     sync.Mutex
	broken map[ident.UpstreamName]brokenFresh
}

// brokenFresh is an upstream to which new connections break.
type brokenFresh struct {
	// failedAt is when the latest request that broke on one was sent, and trialAt when the
	// latest trial was.
	failedAt, trialAt time.Time
}

// failed records that a request broke on a new connection. It reports whether that is
// news.
func (f *freshConns) failed(upstream ident.UpstreamName, sent time.Time) (news bool) {
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
	b.failedAt = sent
	f.broken[upstream] = b
	return !known
}

// answered records that a request on a new connection was answered. It reports whether
// that is news.
func (f *freshConns) answered(upstream ident.UpstreamName) (news bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, news = f.broken[upstream]
	delete(f.broken, upstream)
	return news
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
