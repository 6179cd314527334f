package gateway

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestFreshConns_NewConnectionsBreak replays a gateway whose new connections to an upstream
// break while others have answers: requests must keep to connections from before, except
// for one trial at a time, until one on a new connection is answered.
func TestFreshConns_NewConnectionsBreak(t *testing.T) {
	var f freshConns
	start := time.Now()
	grant := &scheduler.Grant{Upstream: "u0", Peer: "g2"}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	must.False(t, f.mustReuse(grant, false, at(0)))
	must.True(t, f.failed("u0", at(0)))
	must.False(t, f.failed("u0", at(time.Millisecond)))

	must.False(t, f.mustReuse(grant, false, at(peerAdvantage)), must.Sprint("the other gateway may have had its answer before"))
	must.True(t, f.mustReuse(grant, false, at(2*peerAdvantage)))
	must.False(t, f.mustReuse(&scheduler.Grant{Upstream: "u0"}, false, at(2*peerAdvantage)), must.Sprint("no other gateway reaches it"))
	must.False(t, f.mustReuse(&scheduler.Grant{Upstream: "u1", Peer: "g2"}, false, at(2*peerAdvantage)))

	must.False(t, f.mustReuse(grant, true, at(3*peerAdvantage)), must.Sprint("a trial"))
	must.True(t, f.mustReuse(grant, true, at(4*peerAdvantage)))
	must.False(t, f.mustReuse(grant, true, at(3*peerAdvantage+freshTrialInterval)))
	must.False(t, f.mustReuse(grant, false, at(2*failureRetention)), must.Sprint("old failures don't count"))

	f.failed("u0", at(time.Second))
	must.True(t, f.answered("u0", at(time.Second)))
	must.False(t, f.answered("u0", at(time.Second)))
	must.False(t, f.mustReuse(grant, false, at(2*time.Second)))
}

// TestFreshConns_NewConnectionsToSeveralBreak replays a gateway whose new connections break
// while answers on older ones go on: after two upstreams that others reach, requests to all
// must avoid new connections, until one on such is answered.
func TestFreshConns_NewConnectionsToSeveralBreak(t *testing.T) {
	var f freshConns
	start := time.Now()
	at := func(d time.Duration) time.Time { return start.Add(d) }
	avoids := func(grant *scheduler.Grant, repeatable bool, d time.Duration) bool {
		avoid, _ := f.avoidAll(grant, repeatable, at(d))
		return avoid
	}
	grant := &scheduler.Grant{Upstream: "u3", Peer: "g2"}
	f.failed("u0", at(0))
	must.False(t, avoids(grant, false, time.Second), must.Sprint("one upstream"))
	must.True(t, f.breaks(at(time.Second)), must.Sprint("the gateway relays nothing after one"))
	must.False(t, f.breaks(at(failureRetention+time.Millisecond)))
	f.failed("u1", at(time.Second))
	must.False(t, avoids(&scheduler.Grant{Upstream: "u3"}, false, 2*time.Second), must.Sprint("no other gateway reaches one"))
	must.False(t, avoids(&scheduler.Grant{Upstream: "u3", Peer: "g2", PeerAge: time.Second}, false, 2*time.Second), must.Sprint("the other gateway had its answer before"))
	must.False(t, f.isCut())
	must.True(t, avoids(grant, false, 2*time.Second))
	must.True(t, f.isCut())
	must.True(t, f.breaks(at(2*time.Second)))

	must.True(t, avoids(&scheduler.Grant{Upstream: "u2"}, true, 2*time.Second+freshTrialInterval/2), must.Sprint("no gateway is named"))
	must.False(t, avoids(grant, true, 2*time.Second+freshTrialInterval), must.Sprint("a trial"))
	f.failed("u3", at(2*time.Second+freshTrialInterval))
	must.True(t, avoids(grant, true, 2*time.Second+2*freshTrialInterval), must.Sprint("the next trial comes later"))
	must.True(t, avoids(grant, false, 10*time.Second), must.Sprint("a request that can't be sent again is no trial soon"))
	must.False(t, avoids(grant, true, 10*time.Second))
	must.True(t, f.breaks(at(10*time.Second)))
	must.True(t, f.answered("u3", at(10*time.Second)))
	must.False(t, f.breaks(at(10*time.Second)))
	must.False(t, f.isCut())
	must.False(t, avoids(grant, false, 10*time.Second))

	f.failed("u0", at(11*time.Second))
	f.answered("u1", at(12*time.Second))
	f.failed("u2", at(13*time.Second))
	must.False(t, avoids(grant, false, 14*time.Second), must.Sprint("a new connection was answered in between"))
}

// TestFreshConns_UnrepeatableTrial checks that a gateway without requests that can be sent
// again finds out all the same that new connections work.
func TestFreshConns_UnrepeatableTrial(t *testing.T) {
	var f freshConns
	start := time.Now()
	grant := &scheduler.Grant{Upstream: "u3", Peer: "g2"}
	f.failed("u0", start)
	f.failed("u1", start)
	known := start.Add(time.Second)
	avoid, _ := f.avoidAll(grant, false, known)
	must.True(t, avoid)
	avoid, _ = f.avoidAll(grant, false, known.Add(unsafeTrialWait-time.Millisecond))
	must.True(t, avoid)
	avoid, _ = f.avoidAll(grant, false, known.Add(unsafeTrialWait))
	must.False(t, avoid)
}

// brokenPathEnv is an upstream to which new connections break, and gateways that relay
// unless they refuse.
type brokenPathEnv struct {
	unresponsiveEnv
	refuse bool
	sent   []Dispatch
}

func (e *brokenPathEnv) RelayAddress(peer ident.NodeID) string { return string(peer) }

func (e *brokenPathEnv) AnyRelay(except []ident.NodeID) ident.NodeID {
	for _, peer := range []ident.NodeID{"g2", "g3", "g4", "g5"} {
		if !slices.Contains(except, peer) {
			return peer
		}
	}
	return ""
}

func (e *brokenPathEnv) Send(_ context.Context, d Dispatch, _ AnswerSink) DispatchResult {
	e.sent = append(e.sent, d)
	switch {
	case d.Relay != "" && !e.refuse:
		return DispatchResult{Outcome: DispatchComplete, Status: http.StatusOK}
	case d.Relay != "" || d.ReuseOnly:
		return DispatchResult{Outcome: DispatchUnsent}
	}
	return DispatchResult{Outcome: DispatchIncomplete, Broken: true, FreshConn: true}
}

// TestSend_NewConnectionsBreak checks that a gateway to whose new connections several
// upstreams broke sends requests that can't be repeated through others, and directly only
// where none takes it for the second time.
func TestSend_NewConnectionsBreak(t *testing.T) {
	env := &brokenPathEnv{}
	g := New(env, nil, env, nil, nil)
	g.SetRelays(env)
	r := &Request{Pool: "a"}
	send := func(grant *scheduler.Grant) (DispatchResult, *sending) {
		env.sent = nil
		s := g.newSending(r, grant)
		return s.send(t.Context(), env, Dispatch{Request: r, Target: Target{Name: grant.Upstream}}, nil), s
	}
	g.freshConns.failed("u0", time.Now().Add(-time.Second))
	g.freshConns.failed("u1", time.Now().Add(-time.Second))
	sent, _ := send(pathGrant("u2", 0))
	must.Eq(t, DispatchComplete, sent.Outcome)
	must.Eq(t, 2, len(env.sent))
	must.True(t, env.sent[0].ReuseOnly)
	must.Eq(t, "peer", env.sent[1].Relay)
	sent, _ = send(&scheduler.Grant{Upstream: "u3"})
	must.Eq(t, DispatchComplete, sent.Outcome, must.Sprint("the grant names no gateway"))
	must.True(t, g.IsCutOff("b", "u9"))

	env.refuse = true
	sent, s := send(pathGrant("u2", 0))
	must.Eq(t, DispatchUnsent, sent.Outcome)
	must.Eq(t, 1+maxRelaysTried, len(env.sent))
	must.True(t, s.isSuspect(), must.Sprint("that is no evidence against the upstream"))
	_, s = send(pathGrant("u3", 0))
	last := env.sent[len(env.sent)-1]
	must.Eq(t, "", last.Relay)
	must.False(t, last.ReuseOnly)
	must.True(t, s.isSuspect())
}

// TestSend_NewConnectionsBreakEverywhere checks that a gateway stops asking others to relay
// its requests while new connections break at them as well, as they do to upstreams that are
// at their connection limits.
func TestSend_NewConnectionsBreakEverywhere(t *testing.T) {
	env := &brokenPathEnv{refuse: true}
	g := New(env, nil, env, nil, nil)
	g.SetRelays(env)
	g.freshConns.failed("u0", time.Now().Add(-time.Second))
	g.freshConns.failed("u1", time.Now().Add(-time.Second))
	send := func(r *Request) {
		env.sent = nil
		s := g.newSending(r, pathGrant("u2", time.Millisecond))
		s.send(t.Context(), env, Dispatch{Request: r, Target: Target{Name: "u2"}}, nil)
	}
	first := &Request{Pool: "a"}
	send(first)
	send(first)
	must.Eq(t, 2+maxRelaysTried, len(env.sent))
	for range 10 {
		send(&Request{Pool: "a"})
		for _, d := range env.sent {
			must.Eq(t, "", d.Relay)
		}
	}
}
