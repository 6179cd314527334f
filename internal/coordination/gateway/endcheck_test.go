package gateway

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// TestEndEvidence_Doubt checks what speaks against the end of an answer that has ended
// with its connection.
func TestEndEvidence_Doubt(t *testing.T) {
	must.NoError(t, endEvidence{Listed: true}.doubt())
	must.Error(t, endEvidence{Listed: false}.doubt())
	must.Error(t, endEvidence{Listed: true, ConnectErr: errors.New("refused")}.doubt())
	must.Error(t, endEvidence{Listed: true, OthersBroke: 1}.doubt())
}

// TestAnswerBreaks_SameInstant checks that only breaks of the same upstream count, from
// 100 ms before an end on.
func TestAnswerBreaks_SameInstant(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var b answerBreaks
	b.add("u", at(0))
	b.add("v", at(90))
	ended := at(100)
	must.Eq(t, 1, b.since("u", ended.Add(-breakWindow)))
	must.Eq(t, 0, b.since("u", ended.Add(-breakWindow+time.Millisecond)))
	b.add("u", at(110))
	must.Eq(t, 2, b.since("u", ended.Add(-breakWindow)))
	must.Eq(t, 1, b.since("v", ended.Add(-breakWindow)))
	b.add("v", at(2000))
	must.MapLen(t, 1, b.at, must.Sprint("old breaks are kept"))
	for range 10 * maxBreaks {
		b.add("v", at(2000))
	}
	must.Len(t, maxBreaks, b.at["v"])
}

// unvouchedEnv is an unresponsiveEnv whose upstream answers and ends its connection. The
// connection that checks the end takes a while.
type unvouchedEnv struct {
	unresponsiveEnv
	probeErr error
	others   func()
	probes   int
	listed   bool
	recorded *ledger.Answer
}

const probeTime = 5 * time.Millisecond

func (e *unvouchedEnv) PoolUpstreams(ident.PoolName) []Target {
	if !e.listed {
		return nil
	}
	return []Target{{Name: "u"}}
}

func (e *unvouchedEnv) Send(_ context.Context, _ Dispatch, sink AnswerSink) DispatchResult {
	_ = sink.Begin(AnswerHead{Status: 200, ContentType: "text/plain", Framing: FramedByConnection})
	_ = sink.Write([]byte("answer"))
	return DispatchResult{Outcome: DispatchComplete, Status: 200, Framing: FramedByConnection, BytesEnd: EndClosed}
}

func (e *unvouchedEnv) Probe(context.Context, Target, string) error {
	e.probes++
	time.Sleep(probeTime)
	if e.others != nil {
		e.others()
	}
	return e.probeErr
}

// TestGateway_EndOfConnection has an answer end with its connection. It must not be
// delivered if the upstream can't be reached any more, is gone, or broke off another
// answer before or during the check.
func TestGateway_EndOfConnection(t *testing.T) {
	for name, c := range map[string]struct {
		gone, refused, brokeBefore, brokeDuring bool
		complete                                bool
	}{
		"nothing against it":        {complete: true},
		"gone from the list":        {gone: true},
		"connection refused":        {refused: true},
		"another broke before":      {brokeBefore: true},
		"another broke in the time": {brokeDuring: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &unvouchedEnv{listed: !c.gone}
				g := New(e, e, e, NewBudget(1<<20), nil)
				if c.refused {
					e.probeErr = errors.New("connection refused")
				}
				if c.brokeBefore {
					g.breaks.add("u", time.Now().Add(-breakWindow/2))
				}
				if c.brokeDuring {
					e.others = func() { g.breaks.add("u", time.Now()) }
				}
				r := &Request{ID: "r1", Idempotent: true, Deadline: time.Now().Add(time.Second)}
				sink := &memorySink{}
				result := g.Serve(t.Context(), r, sink)
				must.Eq(t, c.complete, result.Answered)
				must.Eq(t, c.complete, string(sink.body) == "answer")
				must.Eq(t, 1, e.probes)
				checks, doubted := g.EndChecks()
				must.Eq(t, 1, checks)
				must.Eq(t, !c.complete, doubted == 1)
			})
		})
	}
}

func (e *unvouchedEnv) Complete(_ context.Context, c ledger.Complete) error {
	e.recorded = c.Answer
	return nil
}

// TestGateway_ClaimedEndOfConnection has the answer to a claimed request end with its
// connection while its upstream is killed. It must not be recorded as the outcome.
func TestGateway_ClaimedEndOfConnection(t *testing.T) {
	for name, killed := range map[string]bool{"killed": true, "still there": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &unvouchedEnv{listed: true}
				if killed {
					e.probeErr = errors.New("connection refused")
				}
				g := New(e, e, e, NewBudget(1<<20), nil)
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
