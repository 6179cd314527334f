package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// sending is one sending of a request under a grant.
type sending struct {
	gateway *Gateway
	request *Request
	grant   *scheduler.Grant
	route   Route
	sentAt  time.Time
	hang    *time.Timer
	failed  sync.Once
	// avoidsNew is true if the request is not to be sent on a new connection because those
	// break here, and unrelayed once no other gateway took it.
	avoidsNew, unrelayed bool
}

// newSending chooses the route of a request under a grant.
func (g *Gateway) newSending(r *Request, grant *scheduler.Grant) *sending {
	s := &sending{gateway: g, request: r, grant: grant, sentAt: time.Now()}
	var change string
	s.route, change = g.paths.Choose(r.Pool, grant, r.mayFailOnce(), s.sentAt)
	g.recordPath(r, change)
	return s
}

// mayFailOnce reports whether the request may be sent once more if its next sending fails
// before the answer begins.
func (r *Request) mayFailOnce() bool {
	return (r.Repeatable || r.Resumable) && r.sends+1 < r.MaxAttempts
}

func (g *Gateway) recordPath(r *Request, change string) {
	if change != "" {
		g.record(r, timeline.KindPath, change)
	}
}

// send sends the request. If it provably reached nothing directly, it is sent through
// another gateway that reaches the upstream.
func (s *sending) send(ctx context.Context, placer Placer, d Dispatch, sink AnswerSink) DispatchResult {
	g := s.gateway
	if s.route.isRelayed() {
		if s.route.Probe {
			go s.probe(d.Target)
		}
		return s.relay(ctx, placer, d, s.route.Relay, sink)
	}
	d.Fresh = s.route.Trial
	d.ReuseOnly = !d.Fresh && s.mustReuse()
	d.OnStall, d.StallAfter = s.stall, stallTimeout
	s.hang = time.AfterFunc(hangTimeout(s.grant), s.fail)
	defer s.hang.Stop()
	sent := s.dispatch(ctx, d, sink)
	s.observeFresh(sent)
	switch {
	case ctx.Err() != nil:
		if errors.Is(context.Cause(ctx), errSilent) {
			s.failSilent(d.Target)
		}
	case sent.Outcome == DispatchUnsent:
		if !d.ReuseOnly {
			s.fail()
		}
		// What another gateway sends doesn't hang here.
		s.hang.Stop()
		s.hang = nil
		if s.avoidsNew && d.ReuseOnly {
			return s.relayOrSend(ctx, placer, d, sink)
		}
		age := s.grant.PeerAge + time.Since(s.sentAt)
		if s.grant.Peer != "" && age < peerFreshness/2 && s.relayAddress(s.grant.Peer) != "" {
			return s.relay(ctx, placer, d, s.grant.Peer, sink)
		}
	case sent.Outcome == DispatchIncomplete && sent.Broken:
		s.fail()
	}
	if s.route.Trial {
		g.paths.EndTrial(s.request.Pool)
	}
	return sent
}

// mustReuse reports whether the request may only be sent on a connection from before, or
// through another gateway.
func (s *sending) mustReuse() bool {
	g, mayFail := s.gateway, s.request.mayFailOnce()
	avoids, change := g.freshConns.avoidAll(s.grant, mayFail, s.sentAt)
	g.recordPath(s.request, change)
	s.avoidsNew = avoids && s.anyRelay(nil) != ""
	return s.avoidsNew ||
		s.grant.PeerAge < maxReusePeerAge && s.relayAddress(s.grant.Peer) != "" && g.freshConns.mustReuse(s.grant, mayFail, s.sentAt)
}

// relayOrSend sends the request through another gateway. If none takes it, it is placed
// again; the next time it is sent directly.
func (s *sending) relayOrSend(ctx context.Context, placer Placer, d Dispatch, sink AnswerSink) DispatchResult {
	sent := s.relay(ctx, placer, d, s.grant.Peer, sink)
	if sent.Outcome != DispatchUnsent || ctx.Err() != nil {
		return sent
	}
	s.unrelayed = true
	if !s.request.unrelayed {
		s.request.unrelayed = true
		return sent
	}
	s.gateway.freshConns.unrelayed(time.Now())
	d.Relay, d.ReuseOnly = "", false
	sent = s.sendAnyway(ctx, d, sink)
	s.observeFresh(sent)
	if sent.Outcome == DispatchIncomplete && sent.Broken {
		s.fail()
	}
	return sent
}

// observeFresh records what a direct sending says about new connections to the upstream.
func (s *sending) observeFresh(sent DispatchResult) {
	switch {
	case !sent.FreshConn:
	case sent.Outcome == DispatchIncomplete && sent.Broken && sent.Status == 0:
		if s.gateway.freshConns.failed(s.grant.Upstream, s.sentAt) {
			s.gateway.recordPath(s.request, fmt.Sprintf("a new connection to %s broke: others are used, or other gateways", s.grant.Upstream))
		}
	case sent.Status != 0:
		if s.gateway.freshConns.answered(s.grant.Upstream, time.Now()) {
			s.gateway.recordPath(s.request, fmt.Sprintf("%s answered on a new connection", s.grant.Upstream))
		}
	}
}

// relay sends the request through another gateway: the given one or, if that can't be used
// or has provably sent nothing, others that are tried in turn. If none can be used, it is
// sent directly.
func (s *sending) relay(ctx context.Context, placer Placer, d Dispatch, peer ident.NodeID, sink AnswerSink) DispatchResult {
	d.Fresh, d.ReuseOnly, d.OnStall = true, false, nil
	var tried []ident.NodeID
	for {
		if d.Relay = s.relayAddress(peer); d.Relay == "" {
			peer = s.anyRelay(tried)
			d.Relay = s.relayAddress(peer)
		}
		if d.Relay == "" {
			return s.sendAnyway(ctx, d, sink)
		}
		s.route.Relay = peer
		s.gateway.record(s.request, timeline.KindRelayed, fmt.Sprintf("%s through %s", d.Target.Name, peer))
		placer.Relayed(s.request.ID, peer)
		through := peer
		d.Gateway, _ = s.gateway.env.Identity()
		d.TunnelEnded = func(how string) {
			s.gateway.record(s.request, timeline.KindTunnelEnded, fmt.Sprintf("%s through %s: %s", d.Target.Name, through, how))
		}
		sent := s.dispatch(ctx, d, sink)
		tried = append(tried, peer)
		peer = s.anyRelay(tried)
		if sent.Outcome != DispatchUnsent || peer == "" || len(tried) == maxRelaysTried || ctx.Err() != nil {
			return sent
		}
		s.gateway.recordPath(s.request, fmt.Sprintf("nothing was sent to %s: %v; tries %s", d.Target.Name, sent.Err, peer))
	}
}

// sendAnyway sends a request directly that no gateway can relay.
func (s *sending) sendAnyway(ctx context.Context, d Dispatch, sink AnswerSink) DispatchResult {
	s.route.Relay, s.route.AnyRelay = "", false
	if s.hang == nil {
		s.hang = time.AfterFunc(hangTimeout(s.grant), s.fail)
		defer s.hang.Stop()
	}
	return s.dispatch(ctx, d, sink)
}

// dispatch sends the request and judges the end of its answer.
func (s *sending) dispatch(ctx context.Context, d Dispatch, sink AnswerSink) DispatchResult {
	sent := s.gateway.upstreams.Send(ctx, d, sink)
	if sent.Outcome == DispatchComplete && sent.EventStream {
		if err := streamFault(sent); err != nil {
			sent.Outcome, sent.Broken, sent.Err = DispatchIncomplete, true, err
		}
	}
	return s.checkEnd(ctx, d, sent)
}

// answered records that the header of the answer has arrived.
func (s *sending) answered() {
	if s.route.isRelayed() {
		if o, ok := s.gateway.relays.(RelayObserver); ok {
			o.RelayAnswered(s.route.Relay)
		}
		s.gateway.recordPath(s.request, s.gateway.paths.AnsweredElsewhere(s.request.Pool, s.grant.Upstream, s.route.Relay, time.Now()))
		return
	}
	s.hang.Stop()
	change := s.gateway.paths.Answered(s.request.Pool, s.grant.Upstream, s.route.Trial, time.Now())
	s.gateway.recordPath(s.request, change)
}

// fail records that the direct sending failed or has no answer.
func (s *sending) fail() {
	s.failed.Do(func() { s.gateway.paths.Failed(s.request.Pool, s.grant.Upstream, s.sentAt, s.route.Trial) })
}

// stall records that the bytes of the direct sending are not acknowledged. Unlike a missing
// answer, that can't be the load of the upstream, so it counts as much as is needed to relay.
func (s *sending) stall() {
	for range failuresToRelay - 1 {
		s.gateway.paths.Failed(s.request.Pool, s.grant.Upstream, s.sentAt, s.route.Trial)
	}
	s.fail()
}

// failSilent records an attempt that was given up for silence. After less than
// minSilence the upstream may only be slow, so that a connection decides.
func (s *sending) failSilent(t Target) {
	if time.Since(s.sentAt) >= minSilence {
		s.fail()
		return
	}
	go func() {
		if !s.connects(t) {
			s.fail()
		}
	}()
}

// isSuspect reports whether a failure of the sending may be that of the gateway's path.
func (s *sending) isSuspect() bool {
	return s.unrelayed || !s.route.isRelayed() && (s.gateway.paths.IsSuspect(s.request.Pool, s.grant.Upstream) || s.gateway.freshConns.isCut())
}

// probe tries to connect to an upstream directly.
func (s *sending) probe(t Target) {
	if s.connects(t) {
		s.gateway.paths.Probed(s.request.Pool, time.Now())
	}
}

// connects reports whether a connection to an upstream can be made directly.
func (s *sending) connects(t Target) bool {
	prober, ok := s.gateway.upstreams.(Prober)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return prober.Probe(ctx, t, "") == nil
}

// Relays knows the addresses at which other gateways accept requests to relay.
type Relays interface {
	// RelayAddress returns the host:port of a gateway; empty if it can't be used.
	RelayAddress(peer ident.NodeID) string
	// AnyRelay returns a gateway that can be used, drawn at random; empty if there is none
	// but the excepted ones.
	AnyRelay(except []ident.NodeID) ident.NodeID
}

// RelayObserver is implemented by Relays that take note of signs of life.
type RelayObserver interface {
	// RelayAnswered records that an answer came through another gateway.
	RelayAnswered(peer ident.NodeID)
}

// Prober is implemented by Upstreams that can test whether an upstream can be reached.
type Prober interface {
	// Probe connects to an upstream, through the gateway at the address relay unless that
	// is empty, and closes the connection.
	// It fails with ErrInconclusive if that shows nothing of the upstream.
	Probe(ctx context.Context, t Target, relay string) error
}

// SetRelays makes the gateway send requests through other gateways when it can't reach
// upstreams that they reach. It must be called before the gateway serves.
func (g *Gateway) SetRelays(r Relays) { g.relays = r }

// CutPaths returns the number of pools and single upstreams that the gateway sends
// requests to through other gateways.
func (g *Gateway) CutPaths() int { return g.paths.Cut() }

// IsCutOff reports whether the gateway sends requests to an upstream through other gateways,
// would if it had no connections from before, or may soon have to.
func (g *Gateway) IsCutOff(pool ident.PoolName, upstream ident.UpstreamName) bool {
	now := time.Now()
	return g.paths.IsSuspect(pool, upstream) || g.freshConns.breaks(now) || g.paths.IsInDoubt(now)
}

// hangTimeout returns after which time an attempt without an answer counts as failed.
func hangTimeout(grant *scheduler.Grant) time.Duration {
	if grant.First == 0 {
		return unknownHang
	}
	return max(minHang, hangFactor*grant.First)
}
