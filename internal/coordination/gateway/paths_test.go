package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

var pathsStart = time.Unix(100, 0)

func pathGrant(upstream string, peerAge time.Duration) *scheduler.Grant {
	return &scheduler.Grant{Upstream: ident.UpstreamName(upstream), Peer: "peer", PeerAge: peerAge}
}

// TestPaths_CutOffFromAll checks that failures at two upstreams which another gateway
// reaches make requests to all go through it, that single trials follow a connection, and
// that one answered trial ends it.
func TestPaths_CutOffFromAll(t *testing.T) {
	p, now := NewPaths(), pathsStart
	p.Failed("a", "u1", now, false)
	p.Failed("b", "v1", now, false)
	now = now.Add(200 * time.Millisecond)
	r, change := p.Choose("a", pathGrant("u3", 10*time.Millisecond), true, now)
	must.Eq(t, Route{Relay: "peer", Probe: true}, r)
	must.StrContains(t, change, "go through other gateways")
	must.True(t, p.IsSuspect("a", "u7"))
	must.Eq(t, 1, p.Cut())
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		r, _ = p.Choose("a", pathGrant("u3", 10*time.Millisecond), true, now)
		must.Eq(t, "peer", r.Relay)
	}
	trials := 0
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		p.Probed("a", now)
		if r, _ = p.Choose("a", pathGrant("u3", 10*time.Millisecond), true, now); r.Trial {
			trials++
			p.Failed("a", "u3", now, true)
		}
	}
	must.Between(t, 1, trials, 3)
	// A connection from before the cut may live on.
	must.Eq(t, "", p.Answered("a", "u1", false, now))
	must.StrContains(t, p.Answered("a", "u3", true, now), "directly again")
	r, _ = p.Choose("a", pathGrant("u1", 10*time.Millisecond), true, now)
	must.Eq(t, Route{}, r)
	must.Zero(t, p.Cut())
}

// TestPaths_NotTheGatewaysPath checks that requests go on directly where the upstreams,
// the load or a moment of silence is at fault.
func TestPaths_NotTheGatewaysPath(t *testing.T) {
	direct := func(name string, grant *scheduler.Grant, p *Paths, now time.Time) {
		t.Helper()
		r, change := p.Choose("a", grant, true, now)
		must.Eq(t, Route{}, r, must.Sprint(name))
		must.Eq(t, "", change, must.Sprint(name))
	}
	now := pathsStart
	p := NewPaths()
	for i := range 8 {
		p.Failed("a", ident.UpstreamName(fmt.Sprintf("u%d", i)), now, false)
	}
	now = now.Add(time.Second)
	direct("all upstreams are dead", pathGrant("u1", 1100*time.Millisecond), p, now)
	direct("no other gateway reaches one", &scheduler.Grant{Upstream: "u1"}, p, now)
	direct("others had answers at the same moment", pathGrant("u1", 950*time.Millisecond), p, now)
	p = NewPaths()
	for range 5 {
		p.Failed("a", "u1", now, false)
	}
	direct("one upstream was silent for a second", pathGrant("u2", 0), p, now.Add(time.Second))
	p.Answered("a", "u1", false, now.Add(time.Second))
	direct("and answers again", pathGrant("u1", 0), p, now.Add(time.Second))
	p.Failed("a", "u1", now, false)
	p.Answered("a", "u2", false, now.Add(10*time.Millisecond))
	p.Failed("a", "u3", now.Add(20*time.Millisecond), false)
	direct("upstreams answer in between", pathGrant("u4", 0), p, now.Add(time.Second))
	direct("old failures", pathGrant("u3", 0), p, now.Add(time.Minute))
}

// TestPaths_OneUpstreamCutOff checks that a gateway which can't reach a single upstream
// relays only the requests to that one.
func TestPaths_OneUpstreamCutOff(t *testing.T) {
	p, now := NewPaths(), pathsStart
	p.Failed("a", "u1", now, false)
	p.Answered("a", "u2", false, now)
	p.Failed("a", "u1", now, false)
	now = now.Add(time.Second)
	r, _ := p.Choose("a", pathGrant("u1", 0), false, now)
	must.Eq(t, ident.NodeID("peer"), r.Relay)
	r, _ = p.Choose("a", pathGrant("u2", 0), false, now)
	must.Eq(t, Route{}, r)
	must.Eq(t, 1, p.Cut())
}

// TestPaths_CutOffAndNoGatewayNamed checks that requests of a pool that is cut off are not
// sent directly where a grant names no gateway with an answer: the upstream or the scheduler
// has just started, or the other gateways have.
func TestPaths_CutOffAndNoGatewayNamed(t *testing.T) {
	p, now := NewPaths(), pathsStart
	p.Failed("a", "u1", now, false)
	p.Failed("a", "u2", now, false)
	now = now.Add(200 * time.Millisecond)
	_, _ = p.Choose("a", pathGrant("u1", 10*time.Millisecond), true, now)
	unnamed := &scheduler.Grant{Upstream: "new"}
	r, _ := p.Choose("a", unnamed, true, now.Add(time.Second))
	must.Eq(t, Route{Relay: "peer", Probe: true}, r)
	r, _ = p.Choose("a", unnamed, true, now.Add(5*time.Second))
	must.Eq(t, Route{AnyRelay: true, Probe: true}, r)
	p.Probed("a", now.Add(5*time.Second))
	r, _ = p.Choose("a", unnamed, true, now.Add(5100*time.Millisecond))
	must.Eq(t, Route{Trial: true}, r)
	r, _ = p.Choose("b", unnamed, true, now.Add(time.Second))
	must.Eq(t, Route{}, r, must.Sprint("another pool is not cut off"))
}

// TestPaths_TrialsOfFewRequests replays a pool that is cut off, whose upstreams accept
// connections and reset them, with a request every 1.1 s. Every third one can be sent again,
// and only such ones may be trials.
func TestPaths_TrialsOfFewRequests(t *testing.T) {
	p, now := NewPaths(), pathsStart
	p.Failed("a", "u1", now, false)
	p.Failed("a", "u2", now, false)
	now = now.Add(200 * time.Millisecond)
	trials := 0
	for i := range 30 {
		repeatable := i%3 == 0
		r, _ := p.Choose("a", pathGrant("u3", 10*time.Millisecond), repeatable, now)
		if r.Trial {
			must.True(t, repeatable, must.Sprintf("request %d", i))
			p.Failed("a", "u3", now, true)
			trials++
		}
		if r.Probe {
			p.Probed("a", now.Add(time.Millisecond))
		}
		now = now.Add(1100 * time.Millisecond)
	}
	must.Between(t, 5, trials, 10)
}

// TestPaths_TrialsWithoutRepeatableRequests checks that a pool all of whose requests can't be
// sent again finds its way back, with one of them in unsafeTrialWait at most.
func TestPaths_TrialsWithoutRepeatableRequests(t *testing.T) {
	p, now := NewPaths(), pathsStart
	p.Failed("a", "u1", now, false)
	p.Failed("a", "u2", now, false)
	now = now.Add(200 * time.Millisecond)
	var trialAt time.Time
	trials := 0
	for range 60 {
		r, _ := p.Choose("a", pathGrant("u3", 10*time.Millisecond), false, now)
		if r.Trial {
			must.GreaterEq(t, unsafeTrialWait, now.Sub(trialAt))
			trialAt = now
			trials++
			p.Failed("a", "u3", now, true)
		}
		if r.Probe {
			p.Probed("a", now.Add(time.Millisecond))
		}
		now = now.Add(500 * time.Millisecond)
	}
	must.Between(t, 1, trials, 3)
}

// TestPaths_LastAttemptIsNoTrial checks that a request whose attempts are used up but for
// one is not sent as a trial, although its route permits retries.
func TestPaths_LastAttemptIsNoTrial(t *testing.T) {
	for sends, trial := range []bool{true, false} {
		g := New(nil, nil, nil, nil, nil)
		now := time.Now()
		g.paths.Failed("a", "u1", now.Add(-time.Second), false)
		g.paths.Failed("a", "u2", now.Add(-time.Second), false)
		_, _ = g.paths.Choose("a", pathGrant("u3", 0), true, now.Add(-800*time.Millisecond))
		g.paths.Probed("a", now)
		s := g.newSending(&Request{Pool: "a", Repeatable: true, MaxAttempts: 2, sends: sends}, pathGrant("u3", 0))
		must.Eq(t, trial, s.route.Trial, must.Sprintf("after %d sendings", sends))
	}
}

// TestPaths_SeveralUpstreamsSilentAndNoGatewayNamed replays a gateway with few requests
// whose connections hang: two upstreams have not answered for seconds, and grants name no
// gateway that had an answer since. Requests must go through any gateway then, not before,
// and the first answer through one shows that the gateway's own path is cut.
func TestPaths_SeveralUpstreamsSilentAndNoGatewayNamed(t *testing.T) {
	grants := map[string]*scheduler.Grant{"none": {Upstream: "u3"}, "an old answer": pathGrant("u3", 3*time.Second), "one before the failures": pathGrant("u3", 1900*time.Millisecond)}
	for name, grant := range grants {
		p, now := NewPaths(), pathsStart
		p.Failed("a", "u1", now, false)
		now = now.Add(200 * time.Millisecond)
		p.Failed("b", "v1", now, false)
		r, _ := p.Choose("a", grant, true, now.Add(doubtAfter-100*time.Millisecond))
		must.Eq(t, Route{}, r, must.Sprint(name))
		now = now.Add(doubtAfter + 100*time.Millisecond)
		grant := *grant
		if grant.Peer != "" {
			grant.PeerAge += 300 * time.Millisecond
		}
		r, _ = p.Choose("a", &grant, true, now)
		must.Eq(t, Route{AnyRelay: true}, r, must.Sprint(name))
		must.Zero(t, p.Cut())
		must.StrContains(t, p.AnsweredElsewhere("a", "u3", "g2", now), "g2 reaches u3")
		must.Eq(t, "", p.AnsweredElsewhere("a", "u3", "g2", now))
		r, _ = p.Choose("a", &scheduler.Grant{Upstream: "u4"}, true, now.Add(time.Second))
		must.Eq(t, "g2", r.Relay)
	}
}

// TestPaths_SilentUpstreamsAreNotRelayedTo checks that requests go on directly where one
// upstream is silent for seconds, or another one has answered since.
func TestPaths_SilentUpstreamsAreNotRelayedTo(t *testing.T) {
	p, now := NewPaths(), pathsStart
	grant := &scheduler.Grant{Upstream: "u3"}
	for range 5 {
		p.Failed("a", "u1", now, false)
	}
	r, _ := p.Choose("a", grant, true, now.Add(2500*time.Millisecond))
	must.Eq(t, Route{}, r)
	p.Failed("a", "u2", now, false)
	p.Answered("b", "v1", false, now.Add(time.Second))
	r, _ = p.Choose("a", grant, true, now.Add(2500*time.Millisecond))
	must.Eq(t, Route{}, r)
	must.Eq(t, "", p.AnsweredElsewhere("c", "w1", "g2", now.Add(2500*time.Millisecond)))
}

// TestPaths_GatewayInDoubtRelaysNothing checks that a gateway relays nothing while several
// upstreams failed its own requests and none answered since, and that old failures in
// another pool neither count there nor for its requests.
func TestPaths_GatewayInDoubtRelaysNothing(t *testing.T) {
	p, now := NewPaths(), pathsStart
	p.Failed("a", "u1", now, false)
	must.False(t, p.IsInDoubt(now.Add(time.Second)))
	p.Failed("b", "v1", now, false)
	must.True(t, p.IsInDoubt(now.Add(time.Second)))
	r, _ := p.Choose("c", &scheduler.Grant{Upstream: "w1"}, true, now.Add(time.Hour))
	must.Eq(t, Route{}, r)
	must.False(t, p.IsInDoubt(now.Add(time.Hour)))
	p.Failed("a", "u1", now, false)
	p.Failed("b", "v1", now, false)
	p.Answered("a", "u2", false, now.Add(time.Second))
	must.False(t, p.IsInDoubt(now.Add(time.Second)))
}
