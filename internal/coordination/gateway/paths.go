package gateway

import (
	"fmt"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// failuresToRelay is the number of direct attempts at an upstream that must fail in a
	// row, and upstreamsToRelay that of different upstreams at which one must, before
	// requests are sent through another gateway at once.
	failuresToRelay  = 2
	upstreamsToRelay = 2
	// peerAdvantage is how much later than a direct attempt that failed another gateway
	// must have had an answer. When a stall of a service ends, some gateways have answers
	// a little earlier than others.
	peerAdvantage = 100 * time.Millisecond
	// peerFreshness is how long ago another gateway may have had an answer from an
	// upstream to be used as a relay to it.
	peerFreshness = 2 * time.Second
	// doubtAfter is how long no upstream has answered directly, while several failed, when
	// requests go through any gateway although none is known to have had an answer since.
	doubtAfter = 2 * time.Second
	// failureRetention is how long a direct attempt that failed counts.
	failureRetention = 3 * time.Second
	// relayedRetention is how long an upstream is relayed to without a direct attempt: it
	// may no longer exist.
	relayedRetention = time.Minute
	// minTrialInterval is the time between two requests that are sent directly to find
	// out whether an upstream can be reached again. It doubles with each that fails, up
	// to maxTrialInterval. Before each, a connection must have been made within
	// probeValidity, or unsafeProbeValidity if the request can't be sent again; attempts to
	// make one come with relayed requests, at probeInterval.
	minTrialInterval = 500 * time.Millisecond
	maxTrialInterval = 2 * time.Second
	probeInterval    = 250 * time.Millisecond
	probeValidity    = 5 * time.Second

	unsafeProbeValidity = time.Second
	// unsafeTrialWait is how long trials wait for requests that can be sent again. Some
	// paths let connections be made and reset them, so that each other one may be lost.
	unsafeTrialWait = 10 * time.Second
	// maxTrialTime is how long a trial without an end holds up the next one.
	maxTrialTime = 5 * time.Second
	// probeTimeout limits the time in which a connection is made.
	probeTimeout = time.Second
	// minHang and hangFactor state when an attempt without an answer counts as failed:
	// after minHang and a multiple of the time that is expected, or after unknownHang
	// if none is.
	minHang     = 300 * time.Millisecond
	hangFactor  = 4
	unknownHang = time.Second
	// stallTimeout is how long sent bytes may stay unacknowledged: several times the
	// kernel's own retransmission timeout.
	stallTimeout = 500 * time.Millisecond
	minSilence   = 200 * time.Millisecond
	// maxRelaysTried bounds the gateways through which a request is tried under one grant.
	maxRelaysTried = 3
)

// Paths decides whether requests go to upstreams directly or through another gateway.
//
// A gateway that can't reach an upstream can't tell by itself whether its path or the
// upstream is at fault. A grant says when another gateway last had an answer from the
// upstream: if that is later than the gateway's own failures, the path is.
type Paths struct {
	mu    sync.Mutex
	pools map[ident.PoolName]*poolPaths
	// answeredAt is when an upstream of any pool last answered directly.
	answeredAt time.Time
}

// poolPaths is what a gateway knows of its paths to the upstreams of a pool.
type poolPaths struct {
	upstreams map[ident.UpstreamName]*path
	// answeredAt is when an upstream last answered directly.
	answeredAt time.Time
	// cut is true while all upstreams of the pool are taken for unreachable, since
	// cutAt.
	cut   bool
	cutAt time.Time
	// trialAt is when the latest trial was sent, trying true until its end, and
	// trialInterval the time until the next one.
	trialAt       time.Time
	trying        bool
	trialInterval time.Duration
	// probeAt is when the latest connection was tried, and probedAt when one was made.
	probeAt, probedAt time.Time
	// peer is the gateway that a grant last named as one with an answer from an upstream of
	// the pool, and peerAnsweredAt when it had that.
	peer           ident.NodeID
	peerAnsweredAt time.Time
}

// path is what is known of direct attempts at one upstream that failed in a row.
type path struct {
	failures int
	// failedAt is when the latest of them was sent, and relayed true once requests are
	// sent through another gateway.
	failedAt time.Time
	relayed  bool
}

// Route is how a request is sent to its upstream.
type Route struct {
	// Relay is the gateway to send it through. AnyRelay is true if it is any that can be
	// used. The request is sent directly if neither is set.
	Relay    ident.NodeID
	AnyRelay bool
	// Trial is true for a direct sending that shows whether the upstream can be reached
	// again.
	Trial bool
	// Probe is true if a connection to the upstream should be tried, see Probed.
	Probe bool
}

func (r Route) isRelayed() bool { return r.Relay != "" || r.AnyRelay }

// NewPaths returns a Paths without knowledge.
func NewPaths() *Paths { return &Paths{pools: make(map[ident.PoolName]*poolPaths)} }

func (p *Paths) pool(name ident.PoolName) *poolPaths {
	known := p.pools[name]
	if known == nil {
		known = &poolPaths{upstreams: make(map[ident.UpstreamName]*path)}
		p.pools[name] = known
	}
	return known
}

// Choose returns the route of a request under a grant. Repeatable is true for a request
// that may be sent again if its sending fails. Change, if not empty, says what the gateway
// believes from now on.
func (p *Paths) Choose(pool ident.PoolName, grant *scheduler.Grant, repeatable bool, now time.Time) (r Route, change string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pools) == 0 {
		return r, ""
	}
	p.dropOld(now)
	known := p.pool(pool)
	if grant.Peer == "" || grant.PeerAge > peerFreshness {
		if !known.cut {
			return p.doubtedRoute(now), ""
		}
		return known.route(repeatable, now), ""
	}
	answered := now.Add(-grant.PeerAge)
	known.peer, known.peerAnsweredAt = grant.Peer, answered
	if !known.cut && p.failsWhereOthersDont(known, answered) {
		known.cut, known.cutAt = true, now
		change = fmt.Sprintf("upstreams of the pool can't be reached from here, %s reaches %s: requests go through other gateways", grant.Peer, grant.Upstream)
	}
	u := known.upstreams[grant.Upstream]
	if u != nil && !u.relayed && u.failures >= failuresToRelay && answered.Sub(u.failedAt) > peerAdvantage {
		u.relayed = true
		if !known.cut {
			change = fmt.Sprintf("%s can't be reached from here, %s reaches it: requests go through other gateways", grant.Upstream, grant.Peer)
		}
	}
	if !known.cut && (u == nil || !u.relayed) {
		return p.doubtedRoute(now), change
	}
	return known.route(repeatable, now), change
}

// doubtedRoute returns the route of a request to an upstream that isn't known to be cut off.
// It is direct unless none has answered directly for doubtAfter while attempts at several,
// of any pools, failed: then the gateway's path is in doubt, and another one's is not.
func (p *Paths) doubtedRoute(now time.Time) Route {
	return Route{AnyRelay: p.failedAnywhere(now.Add(peerAdvantage-doubtAfter)) >= upstreamsToRelay}
}

// failsWhereOthersDont reports whether enough direct attempts failed since the latest direct
// answer, of the pool or at all, before another gateway had one.
func (p *Paths) failsWhereOthersDont(known *poolPaths, peer time.Time) bool {
	return known.failedSince(known.answeredAt, peer) >= upstreamsToRelay || p.failedAnywhere(peer) >= upstreamsToRelay
}

// AnsweredElsewhere records that an upstream of the pool answered through another gateway.
// Change, if not empty, says what the gateway believes from now on.
func (p *Paths) AnsweredElsewhere(pool ident.PoolName, upstream ident.UpstreamName, peer ident.NodeID, now time.Time) (change string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pools[pool]
	if known == nil || known.cut || !p.failsWhereOthersDont(known, now) {
		return ""
	}
	known.cut, known.cutAt = true, now
	known.peer, known.peerAnsweredAt = peer, now
	return fmt.Sprintf("upstreams of the pool can't be reached from here, %s reaches %s: requests go through other gateways", peer, upstream)
}

// route returns the route of a request that is not sent directly unless as a trial. It
// names the gateway that last had an answer from an upstream of the pool, or none if that
// was too long ago: the upstream has just started, or the scheduler or other gateways have.
func (k *poolPaths) route(repeatable bool, now time.Time) Route {
	if k.takeTrial(repeatable, now) {
		return Route{Trial: true}
	}
	r := Route{Relay: k.peer, AnyRelay: now.Sub(k.peerAnsweredAt) > peerFreshness, Probe: now.Sub(k.probeAt) >= probeInterval}
	if r.AnyRelay {
		r.Relay = ""
	}
	if r.Probe {
		k.probeAt = now
	}
	return r
}

// Probed records that a connection to an upstream of the pool was made.
func (p *Paths) Probed(pool ident.PoolName, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pool(pool).probedAt = now
}

// takeTrial reports whether a request is sent directly as a trial.
func (k *poolPaths) takeTrial(repeatable bool, now time.Time) bool {
	since := k.trialAt
	if k.cutAt.After(since) {
		since = k.cutAt
	}
	validity := probeValidity
	if !repeatable {
		validity = unsafeProbeValidity
	}
	switch {
	case now.Sub(k.probedAt) > validity || k.trying && now.Sub(k.trialAt) < maxTrialTime:
		return false
	case now.Sub(since) < max(minTrialInterval, k.trialInterval), !repeatable && now.Sub(since) < unsafeTrialWait:
		return false
	}
	k.trialAt, k.trying = now, true
	k.trialInterval = min(maxTrialInterval, max(minTrialInterval, 2*k.trialInterval))
	return true
}

// failedSince returns the number of upstreams at which direct attempts failed that were
// sent after a direct answer, and before another gateway had one.
func (k *poolPaths) failedSince(direct, peer time.Time) int {
	n := 0
	for _, u := range k.upstreams {
		if u.failures > 0 && u.failedAt.After(direct) && peer.Sub(u.failedAt) > peerAdvantage {
			n++
		}
	}
	return n
}

// failedAnywhere is failedSince for the upstreams of all pools.
func (p *Paths) failedAnywhere(peer time.Time) int {
	n := 0
	for _, known := range p.pools {
		n += known.failedSince(p.answeredAt, peer)
	}
	return n
}

// IsInDoubt reports whether direct attempts at several upstreams failed lately and none was
// answered since, so that the gateway should relay nothing for others.
func (p *Paths) IsInDoubt(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropOld(now)
	return p.failedAnywhere(now.Add(peerAdvantage)) >= upstreamsToRelay
}

// dropOld forgets old failures in all pools.
func (p *Paths) dropOld(now time.Time) {
	for _, known := range p.pools {
		known.dropOld(now)
	}
}

// dropOld forgets failures that are old; later if requests are relayed because of them.
func (k *poolPaths) dropOld(now time.Time) {
	for name, u := range k.upstreams {
		age := now.Sub(u.failedAt)
		if !k.cut && !u.relayed && age > failureRetention || age > relayedRetention {
			delete(k.upstreams, name)
		}
	}
}

// Failed records a direct attempt that was sent at the given time and did not reach its
// upstream, or had no answer.
func (p *Paths) Failed(pool ident.PoolName, upstream ident.UpstreamName, sent time.Time, trial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pool(pool)
	u := known.upstreams[upstream]
	if u == nil {
		u = &path{}
		known.upstreams[upstream] = u
	}
	u.failures++
	u.failedAt = sent
	known.trying = known.trying && !trial
}

// Answered records that an upstream answered a request that was sent directly. Change, if
// not empty, says what the gateway believes from now on.
func (p *Paths) Answered(pool ident.PoolName, upstream ident.UpstreamName, trial bool, now time.Time) (change string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pools[pool]
	if known == nil {
		p.answeredAt = now
		return ""
	}
	u := known.upstreams[upstream]
	if (known.cut || u != nil && u.relayed) && !trial {
		// Connections from before may live on while new ones fail.
		return ""
	}
	known.answeredAt, p.answeredAt = now, now
	delete(known.upstreams, upstream)
	known.trying = known.trying && !trial
	if trial {
		known.trialInterval = 0
	}
	switch {
	case known.cut:
		known.cut = false
		for _, other := range known.upstreams {
			other.relayed, other.failures = false, 0
		}
		return fmt.Sprintf("%s answered directly: requests to the pool go directly again", upstream)
	case u != nil && u.relayed:
		return fmt.Sprintf("%s answered directly: requests go there directly again", upstream)
	}
	return ""
}

// EndTrial ends a trial that shows nothing.
func (p *Paths) EndTrial(pool ident.PoolName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := p.pools[pool]; known != nil {
		known.trying = false
	}
}

// IsSuspect reports whether failures at an upstream may be those of the gateway's path.
func (p *Paths) IsSuspect(pool ident.PoolName, upstream ident.UpstreamName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pools[pool]
	if known == nil {
		return false
	}
	u := known.upstreams[upstream]
	return known.cut || u != nil && u.relayed
}

// Cut returns the number of pools and single upstreams that are relayed to.
func (p *Paths) Cut() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, known := range p.pools {
		if known.cut {
			n++
			continue
		}
		for _, u := range known.upstreams {
			if u.relayed {
				n++
			}
		}
	}
	return n
}
