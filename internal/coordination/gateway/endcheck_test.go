package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// TestEndCheck_Judge checks what decides whether an answer that has ended with its connection is
// whole, that no connection is made where that is known without one, and that nobody waits for a
// credible sign.
func TestEndCheck_Judge(t *testing.T) {
	refused := errors.New("connection refused")
	inconclusive := fmt.Errorf("%w: the relay is stopping", ErrInconclusive)
	const none, dial, connect, settle, settleConnect, dialSettle, dialSettleConnect = "", "dial", "connect", "settle", "settle connect", "dial settle", "dial settle connect"
	alive := EndEvidence{Alive: true, Simultaneous: 1, InStep: true}
	for name, c := range map[string]struct {
		evidence EndEvidence
		// later is what is known EndSettleTime after the end.
		later      EndEvidence
		connectErr error
		steps      string
		want       EndBasis
	}{
		"nothing known":                       {EndEvidence{Simultaneous: 1, InStep: true}, EndEvidence{}, nil, connect, EndReachable},
		"one between two parts":               {EndEvidence{Simultaneous: 1}, EndEvidence{}, nil, connect, EndReachable},
		"killed":                              {EndEvidence{Simultaneous: 1, InStep: true, SentinelEnded: true}, EndEvidence{}, refused, connect, EndUnreachable},
		"killed, relay stops":                 {EndEvidence{Simultaneous: 1, InStep: true, SentinelEnded: true}, EndEvidence{}, inconclusive, connect, EndNextStart},
		"relay stops":                         {EndEvidence{Simultaneous: 1, InStep: true}, EndEvidence{}, inconclusive, connect, EndReachable},
		"next start says so":                  {EndEvidence{Simultaneous: 1, InStep: true}, EndEvidence{}, fmt.Errorf("%w: i-2", ErrNextStart), connect, EndNextStart},
		"killed, next start accepts":          {EndEvidence{Simultaneous: 1, InStep: true, SentinelEnded: true}, EndEvidence{}, nil, connect, EndNextStart},
		"killed with others, no sentinel":     {EndEvidence{Simultaneous: 3}, EndEvidence{}, nil, connect, EndCutTogether},
		"last step of several":                {EndEvidence{Simultaneous: 3, InStep: true}, EndEvidence{}, nil, connect, EndReachable},
		"others broken off, next start":       {EndEvidence{BrokenOff: true, Simultaneous: 1, InStep: true}, EndEvidence{}, nil, none, EndOthersBroken},
		"stops with its last answer":          {EndEvidence{ListenerClosed: true, SentinelEnded: true, Simultaneous: 1, InStep: true}, EndEvidence{}, refused, none, EndStopping},
		"stops with its last answers":         {EndEvidence{ListenerClosed: true, SentinelEnded: true, Simultaneous: 3, InStep: true}, EndEvidence{}, refused, none, EndStopping},
		"killed while it stops":               {EndEvidence{ListenerClosed: true, SentinelEnded: true, Simultaneous: 3}, EndEvidence{}, refused, none, EndStoppingOutOfStep},
		"killed while it stops, one answer":   {EndEvidence{ListenerClosed: true, SentinelEnded: true, Simultaneous: 1}, EndEvidence{}, refused, none, EndStoppingOutOfStep},
		"killed while it stops, others broke": {EndEvidence{ListenerClosed: true, BrokenOff: true, Simultaneous: 1, InStep: true}, EndEvidence{}, refused, none, EndOthersBroken},
		"drains, ends with its last answer":   {EndEvidence{Leaving: true, SentinelEnded: true, Simultaneous: 1, InStep: true, Telling: true}, EndEvidence{}, refused, connect, EndStopping},
		"the same, next start accepts":        {EndEvidence{Leaving: true, SentinelEnded: true, Simultaneous: 1, InStep: true, Telling: true}, EndEvidence{}, nil, connect, EndStopping},
		"the same, next start says so":        {EndEvidence{Leaving: true, Simultaneous: 1, InStep: true, Telling: true}, EndEvidence{}, fmt.Errorf("%w: i-2", ErrNextStart), connect, EndStopping},
		"drains, goes on":                     {EndEvidence{Leaving: true, Simultaneous: 1, InStep: true, Telling: true}, EndEvidence{}, nil, connect, EndReachable},
		"killed while it drains":              {EndEvidence{Leaving: true, SentinelEnded: true, Simultaneous: 1, Telling: true}, EndEvidence{}, refused, connect, EndUnreachable},
		"killed while it drains, fast parts":  {EndEvidence{Leaving: true, SentinelEnded: true, Simultaneous: 1, InStep: true}, EndEvidence{}, refused, connect, EndUnreachable},
		"killed while it drains, others":      {EndEvidence{Leaving: true, BrokenOff: true, Simultaneous: 1, InStep: true, Telling: true}, EndEvidence{}, refused, none, EndOthersBroken},

		"lives":                           {alive, EndEvidence{}, nil, dial, EndProcessLives},
		"lives, several out of step":      {EndEvidence{Alive: true, Simultaneous: 3}, EndEvidence{}, nil, connect, EndProcessLives},
		"lives, breaks others off":        {EndEvidence{Alive: true, BrokenOff: true, Simultaneous: 1}, alive, refused, settle, EndProcessLives},
		"lives, listener closed":          {EndEvidence{Alive: true, ListenerClosed: true, Simultaneous: 1, InStep: true}, EndEvidence{}, refused, none, EndProcessLives},
		"lives, listener closed late":     {alive, alive, refused, dialSettle, EndProcessLives},
		"lives, listener closed, between": {EndEvidence{Alive: true, ListenerClosed: true, Simultaneous: 1}, alive, refused, settle, EndProcessLives},
		"lives, sentinel closed as idle":  {EndEvidence{Alive: true, SentinelEnded: true, Simultaneous: 1, InStep: true}, alive, nil, settle, EndProcessLives},
		"lives, relay stops":              {alive, alive, inconclusive, dialSettle, EndProcessLives},

		"killed, an end lost":                   {alive, EndEvidence{SentinelEnded: true, Simultaneous: 1, InStep: true}, refused, dialSettleConnect, EndUnreachable},
		"killed, an end lost, next start":       {EndEvidence{Alive: true, SentinelEnded: true, Simultaneous: 1}, EndEvidence{SentinelEnded: true, Simultaneous: 1}, nil, settleConnect, EndNextStart},
		"killed, ends lost, next start":         {EndEvidence{Alive: true, Simultaneous: 1}, EndEvidence{SentinelEnded: true, Simultaneous: 1}, fmt.Errorf("%w: i-2", ErrNextStart), "connect settle connect", EndNextStart},
		"killed, an end lost, others broke":     {EndEvidence{Alive: true, BrokenOff: true, Simultaneous: 1}, EndEvidence{BrokenOff: true, Simultaneous: 1}, nil, settle, EndOthersBroken},
		"killed while it stops, an end lost":    {EndEvidence{Alive: true, ListenerClosed: true, Simultaneous: 1}, EndEvidence{ListenerClosed: true, Simultaneous: 1}, refused, settle, EndStoppingOutOfStep},
		"stops with its last answer, all apart": {EndEvidence{Alive: true, ListenerClosed: true, SentinelEnded: true, Simultaneous: 1, InStep: true}, EndEvidence{ListenerClosed: true, SentinelEnded: true, Simultaneous: 1, InStep: true}, refused, settle, EndStopping},
	} {
		t.Run(name, func(t *testing.T) {
			var steps []string
			readings := []EndEvidence{c.evidence, c.later}
			step := func(name string) func() error {
				return func() error {
					steps = append(steps, name)
					return c.connectErr
				}
			}
			check := EndCheck{
				Evidence: func() EndEvidence {
					e := readings[0]
					readings = readings[1:]
					return e
				},
				Dial: step("dial"), Connect: step("connect"), Settle: func() { _ = step("settle")() },
			}
			basis, err := check.Judge()
			must.Eq(t, c.want, basis)
			must.Eq(t, c.steps, strings.Join(steps, " "))
			must.Eq(t, basis.IsDoubt(), err != nil)
		})
	}
}

// connectionEndEnv is an unresponsiveEnv whose upstream answers and ends its connection. The
// connection that checks the end takes a while.
type connectionEndEnv struct {
	unresponsiveEnv
	probeErr error
	probes   int
	evidence EndEvidence
	// settled, if set, is what is known EndSettleTime after the end.
	settled  *EndEvidence
	listed   bool
	recorded *ledger.Answer
}

const probeTime = 5 * time.Millisecond

func (e *connectionEndEnv) PoolUpstreams(ident.PoolName) []Target {
	if !e.listed {
		return nil
	}
	return []Target{{Name: "u"}}
}

func (e *connectionEndEnv) Send(_ context.Context, _ Dispatch, sink AnswerSink) DispatchResult {
	_ = sink.Begin(AnswerHead{Status: 200, ContentType: "text/plain", Framing: FramedByConnection})
	_ = sink.Write([]byte("answer"))
	return DispatchResult{
		Outcome: DispatchComplete, Status: 200, Framing: FramedByConnection, BytesEnd: EndClosed,
		Evidence: e.known(time.Now()),
	}
}

func (e *connectionEndEnv) known(ended time.Time) func() EndEvidence {
	return func() EndEvidence {
		if e.settled != nil && time.Since(ended) >= EndSettleTime {
			return *e.settled
		}
		return e.evidence
	}
}

func (e *connectionEndEnv) Probe(context.Context, Target, string) error {
	e.probes++
	time.Sleep(probeTime)
	return e.probeErr
}

// TestGateway_EndOfConnection has an answer end with its connection. It must not be
// delivered if the upstream can't be reached any more, unless a relay only doesn't try, or if
// others were broken off with it, whatever can be reached then. It must be delivered if the
// upstream has only closed its listener and another connection shows that it goes on, for as
// long as the end of that one may be lost on the way.
func TestGateway_EndOfConnection(t *testing.T) {
	for name, c := range map[string]struct {
		gone, refused, relayRefuses bool
		complete                    bool
		evidence                    EndEvidence
		settled                     *EndEvidence
		probes                      int
		waits                       time.Duration
	}{
		"nothing against it":            {complete: true, probes: 1},
		"gone from the list, but there": {gone: true, complete: true, probes: 1},
		"gone from the list":            {gone: true, refused: true, probes: 1},
		"connection refused":            {refused: true, probes: 1},
		"relay opens none now":          {relayRefuses: true, complete: true, probes: 1},
		"others ended, next start":      {evidence: EndEvidence{BrokenOff: true}},
		"one lives":                     {evidence: EndEvidence{Alive: true}, complete: true, probes: 1},
		"one lives, one ended":          {evidence: EndEvidence{Alive: true, BrokenOff: true}, complete: true, waits: EndSettleTime},
		"one lives, no connection made": {refused: true, evidence: EndEvidence{Alive: true}, complete: true, probes: 1, waits: EndSettleTime},
		"an end lost on the way":        {refused: true, evidence: EndEvidence{Alive: true}, settled: &EndEvidence{SentinelEnded: true}, probes: 2, waits: EndSettleTime},
		"an end lost, next start":       {evidence: EndEvidence{Alive: true, BrokenOff: true}, settled: &EndEvidence{BrokenOff: true}, waits: EndSettleTime},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &connectionEndEnv{listed: !c.gone, evidence: c.evidence, settled: c.settled}
				g := New(e, e, e, NewBudget(1<<20, DefaultTeamShare), nil)
				if c.refused {
					e.probeErr = errors.New("connection refused")
				}
				if c.relayRefuses {
					e.probeErr = fmt.Errorf("%w: this node is stopping", ErrInconclusive)
				}
				r := &Request{ID: "r1", Idempotent: true, Deadline: time.Now().Add(time.Second)}
				sink := &memorySink{}
				began := time.Now()
				result := g.Serve(t.Context(), r, sink)
				must.Eq(t, c.complete, result.Answered)
				must.Eq(t, c.complete, string(sink.body) == "answer")
				must.Eq(t, c.probes, e.probes)
				must.Between(t, c.waits, time.Since(began), max(c.waits, EndCheckDelay)+2*probeTime)
				checks, doubted := g.EndChecks()
				must.Eq(t, 1, checks)
				must.Eq(t, !c.complete, doubted == 1)
			})
		})
	}
}

func (e *connectionEndEnv) Complete(_ context.Context, c ledger.Complete) error {
	e.recorded = c.Answer
	return nil
}

// TestGateway_ClaimedEndOfConnection has the answer to a claimed request end with its
// connection while its upstream is killed. It must not be recorded as the outcome.
func TestGateway_ClaimedEndOfConnection(t *testing.T) {
	for name, killed := range map[string]bool{"killed": true, "still there": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &connectionEndEnv{listed: true}
				if killed {
					e.probeErr = errors.New("connection refused")
				}
				g := New(e, e, e, NewBudget(1<<20, DefaultTeamShare), nil)
				sink := &memorySink{}
				result := g.Serve(t.Context(), &Request{ID: "r1", Key: "k1", Deadline: time.Now().Add(time.Second)}, sink)
				awaitSettled(g)
				must.Eq(t, !killed, result.Answered)
				must.Eq(t, !killed, string(sink.body) == "answer")
				must.Eq(t, killed, e.recorded == nil)
				must.Eq(t, killed, sink.framing == 0)
			})
		})
	}
}
