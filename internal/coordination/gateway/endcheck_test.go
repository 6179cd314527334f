package gateway

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// TestDoubtEnd checks what speaks against the end of an answer that has ended with its
// connection.
func TestDoubtEnd(t *testing.T) {
	must.NoError(t, doubtEnd(nil))
	must.Error(t, doubtEnd(errors.New("connection refused")))
	must.NoError(t, doubtEnd(fmt.Errorf("%w: the relay is stopping", ErrInconclusive)))
}

// connectionEndEnv is an unresponsiveEnv whose upstream answers and ends its connection. The
// connection that checks the end takes a while.
type connectionEndEnv struct {
	unresponsiveEnv
	probeErr error
	probes   int
	// open and ended count the other connections.
	open, ended int
	listed      bool
	recorded    *ledger.Answer
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
	return DispatchResult{Outcome: DispatchComplete, Status: 200, Framing: FramedByConnection, BytesEnd: EndClosed}
}

func (e *connectionEndEnv) Probe(context.Context, Target, string) error {
	e.probes++
	time.Sleep(probeTime)
	return e.probeErr
}

func (e *connectionEndEnv) Witnesses(Target) func() (open, ended int) {
	return func() (open, ended int) { return e.open, e.ended }
}

// TestGateway_EndOfConnection has an answer end with its connection. It must not be
// delivered if the upstream can't be reached any more, unless a relay only doesn't try, or if
// all other connections have ended with it, whatever can be reached then.
func TestGateway_EndOfConnection(t *testing.T) {
	for name, c := range map[string]struct {
		gone, refused, relayRefuses bool
		complete                    bool
		open, ended                 int
	}{
		"nothing against it":            {complete: true},
		"gone from the list, but there": {gone: true, complete: true},
		"gone from the list":            {gone: true, refused: true},
		"connection refused":            {refused: true},
		"relay opens none now":          {relayRefuses: true, complete: true},
		"others ended, next start":      {ended: 2},
		"one lives, one ended":          {open: 1, ended: 1, complete: true},
		"one lives, no connection made": {refused: true, open: 1, ended: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &connectionEndEnv{listed: !c.gone, open: c.open, ended: c.ended}
				g := New(e, e, e, NewBudget(1<<20, DefaultTeamShare), nil)
				if c.refused {
					e.probeErr = errors.New("connection refused")
				}
				if c.relayRefuses {
					e.probeErr = fmt.Errorf("%w: this node is stopping", ErrInconclusive)
				}
				r := &Request{ID: "r1", Idempotent: true, Deadline: time.Now().Add(time.Second)}
				sink := &memorySink{}
				result := g.Serve(t.Context(), r, sink)
				must.Eq(t, c.complete, result.Answered)
				must.Eq(t, c.complete, string(sink.body) == "answer")
				wantProbes := 1
				if c.open == 0 && c.ended > 0 {
					wantProbes = 0
				}
				must.Eq(t, wantProbes, e.probes)
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
