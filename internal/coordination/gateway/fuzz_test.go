package gateway

import (
	"context"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix()
	os.Exit(m.Run())
}

// faultyEnv is an environment, scheduler and upstream with faults drawn by rapid.
type faultyEnv struct {
	t      *rapid.T
	ledger *faultyLedger
	// sent counts dispatches that may have reached an upstream.
	sent int
	// sentUnclaimed counts dispatches without a current grant or claim.
	sentUnclaimed int
	begun         bool
	r             *Request
}

func (e *faultyEnv) Fresh() bool                                           { return rapid.IntRange(0, 9).Draw(e.t, "fresh") > 0 }
func (e *faultyEnv) Placer(ident.PoolName) Placer                          { return e }
func (e *faultyEnv) Identity() (ident.NodeID, ident.Incarnation)           { return "n", 1 }
func (e *faultyEnv) PoolUpstreams(ident.PoolName) []Target                 { return []Target{{Name: "u"}} }
func (e *faultyEnv) Relayed(ident.RequestID, ident.NodeID)                 {}
func (e *faultyEnv) FirstToken(ident.RequestID, int, time.Duration)        {}
func (e *faultyEnv) Notice(ident.RequestID, scheduler.UpstreamNotice) bool { return false }
func (e *faultyEnv) Finish(ident.RequestID, scheduler.Ending)              { e.begun = false }

func (e *faultyEnv) Upstream(ident.UpstreamName) (config.Upstream, bool) {
	return config.Upstream{}, rapid.IntRange(0, 9).Draw(e.t, "known upstream") > 0
}

func (e *faultyEnv) Place(ctx context.Context, t scheduler.Ticket, _ time.Time) (scheduler.Decision, error) {
	switch rapid.IntRange(0, 7).Draw(e.t, "decision") {
	case 0:
		return scheduler.Decision{Refusal: &scheduler.Refusal{Ticket: t.ID, Reason: scheduler.ReasonOverload}}, nil
	case 1:
		<-ctx.Done()
		return scheduler.Decision{}, ctx.Err()
	default:
		return scheduler.Decision{Grant: &scheduler.Grant{Ticket: t.ID, Upstream: "u", Version: "v"}}, nil
	}
}

func (e *faultyEnv) Begin(ident.RequestID) scheduler.BeginResult {
	result := rapid.SampledFrom([]scheduler.BeginResult{
		scheduler.BeginSend, scheduler.BeginSend, scheduler.BeginSend, scheduler.BeginSend, scheduler.BeginLapsed, scheduler.BeginPaused,
	}).Draw(e.t, "begin")
	e.begun = result == scheduler.BeginSend
	return result
}

func (e *faultyEnv) Send(ctx context.Context, d Dispatch, sink AnswerSink) DispatchResult {
	if !e.begun || d.Request.needsClaim() && !e.ledger.holds(d.Request) {
		e.sentUnclaimed++
	}
	outcome := rapid.SampledFrom([]DispatchOutcome{DispatchComplete, DispatchUnsent, DispatchIncomplete, DispatchMismatched, DispatchRejected, DispatchMisdirected}).Draw(e.t, "dispatch")
	switch outcome {
	case DispatchUnsent, DispatchRejected, DispatchMisdirected:
		return DispatchResult{Outcome: outcome, Err: errors.New("refused")}
	}
	e.sent++
	if rapid.IntRange(0, 9).Draw(e.t, "hangs") == 0 {
		<-ctx.Done()
		return DispatchResult{Outcome: DispatchIncomplete, Err: ctx.Err()}
	}
	if outcome == DispatchMismatched {
		return DispatchResult{Outcome: outcome}
	}
	_ = sink.Begin(AnswerHead{Status: 200, ContentType: "text/plain"})
	_ = sink.Write([]byte("answer to "))
	if outcome == DispatchIncomplete {
		return DispatchResult{Outcome: outcome, Status: 200, Err: errors.New("cut")}
	}
	_ = sink.Write([]byte(d.Request.ID))
	return DispatchResult{Outcome: outcome, Status: 200}
}

func (e *faultyEnv) Status(context.Context, Dispatch) *ledger.Answer {
	if e.sent == 0 || rapid.Bool().Draw(e.t, "status unknown") {
		return nil
	}
	return &ledger.Answer{Status: 200, Body: []byte("answer to " + string(e.r.ID))}
}

// faultyLedger is a ledger of one key. It holds at most one claim of the request,
// may hold a claim of another request, loses requests and replies, and is
// sometimes unavailable.
type faultyLedger struct {
	t       *rapid.T
	holder  ident.RequestID
	attempt uint32
	// otherClaim is the verdict on a claim of another request; empty if there is
	// none.
	otherClaim ledger.Verdict
	down       bool
	done       bool
}

func (l *faultyLedger) holds(r *Request) bool {
	return l.holder == r.ID && l.attempt == r.attempt && !l.done
}

// fault draws whether a call takes effect and whether its reply arrives.
func (l *faultyLedger) fault(ctx context.Context) (applied bool, err error) {
	if l.down || ctx.Err() != nil {
		return false, errors.New("out of reach")
	}
	switch rapid.IntRange(0, 9).Draw(l.t, "ledger fault") {
	case 0:
		l.down = rapid.Bool().Draw(l.t, "stays down")
		return false, errors.New("request lost")
	case 1:
		return true, errors.New("reply lost")
	default:
		return true, nil
	}
}

func (l *faultyLedger) Lookup(ctx context.Context, _ ledger.Key, wait time.Duration) (ledger.ClaimResult, bool, error) {
	if _, err := l.fault(ctx); err != nil {
		return ledger.ClaimResult{}, false, err
	}
	if wait > 0 && l.otherClaim == ledger.VerdictRunning {
		l.otherClaim = rapid.SampledFrom([]ledger.Verdict{"", ledger.VerdictRecorded, ledger.VerdictMayHaveRun}).Draw(l.t, "first sending ends")
	}
	return l.verdict(), l.otherClaim != "", nil
}

func (l *faultyLedger) verdict() ledger.ClaimResult {
	result := ledger.ClaimResult{Verdict: l.otherClaim}
	if l.otherClaim == ledger.VerdictRecorded {
		result.Answer = &ledger.Answer{Status: 200, Body: []byte("recorded")}
	}
	return result
}

func (l *faultyLedger) Claim(ctx context.Context, c ledger.Claim) (ledger.ClaimResult, error) {
	if l.otherClaim == "" && l.holder == "" && rapid.IntRange(0, 5).Draw(l.t, "rival") == 0 {
		l.otherClaim = ledger.VerdictRunning
	}
	applied, err := l.fault(ctx)
	if applied && l.otherClaim == "" {
		l.holder, l.attempt = c.Request, c.Attempt
	}
	if err != nil {
		return ledger.ClaimResult{}, err
	}
	if l.otherClaim != "" {
		return l.verdict(), nil
	}
	return ledger.ClaimResult{Verdict: ledger.VerdictGranted}, nil
}

func (l *faultyLedger) Release(ctx context.Context, r ledger.Release) error {
	applied, err := l.fault(ctx)
	if applied && l.holder == r.Request && l.attempt == r.Attempt {
		l.holder = ""
	}
	return err
}

func (l *faultyLedger) Complete(ctx context.Context, c ledger.Complete) error {
	applied, err := l.fault(ctx)
	if applied && l.holder == c.Request {
		l.done = true
	}
	return err
}

// awaitSettled waits in virtual time until all outcomes and releases are
// committed or given up.
func awaitSettled(g *Gateway) {
	for g.Settling() > 0 {
		time.Sleep(time.Millisecond)
	}
}

type memorySink struct {
	begun   int
	framing Framing
	body    []byte
}

func (m *memorySink) Begin(h AnswerHeader) error {
	m.begun++
	m.framing = h.Framing
	return nil
}

func (m *memorySink) Write(part []byte) error { m.body = append(m.body, part...); return nil }

// TestGateway_AtMostOnceAndTruthfulUnderFaults runs single requests through drawn
// faults. A request must be dispatched at most once, only under a grant and a
// claim, and a failure may say "not run" only if nothing was sent and no claim
// remains.
func TestGateway_AtMostOnceAndTruthfulUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &Request{
			ID:         "r1",
			Idempotent: rapid.Bool().Draw(rt, "idempotent"),
			SkipClaim:  rapid.Bool().Draw(rt, "not claimed"),
			Stream:     rapid.Bool().Draw(rt, "stream"),
			Key:        "k1",
			StatusPath: rapid.SampledFrom([]string{"", "/status"}).Draw(rt, "status path"),
		}
		earlierClaim := rapid.SampledFrom([]ledger.Verdict{
			"", "", "", ledger.VerdictRunning, ledger.VerdictRecorded, ledger.VerdictMayHaveRun,
			ledger.VerdictMismatch, ledger.VerdictExpired, ledger.VerdictFull, ledger.VerdictStale,
		}).Draw(rt, "earlier claim")
		leaves := rapid.IntRange(0, 5).Draw(rt, "caller leaves") == 0
		l := &faultyLedger{t: rt, otherClaim: earlierClaim}
		e := &faultyEnv{t: rt, ledger: l, r: r}
		sink := &memorySink{}
		var result Result
		synctest.Test(t, func(*testing.T) {
			r.Deadline = time.Now().Add(10 * time.Second)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if leaves {
				time.AfterFunc(time.Second, cancel)
			}
			g := New(e, l, e, NewBudget(1<<20, DefaultTeamShare), nil)
			result = g.Serve(ctx, r, sink)
			awaitSettled(g)
		})
		checkResult(rt, e, r, sink, result)
	})
}

func checkResult(t *rapid.T, e *faultyEnv, r *Request, sink *memorySink, result Result) {
	must.LessEq(t, 1, e.sent, must.Sprint("dispatched more than once"))
	must.Zero(t, e.sentUnclaimed, must.Sprint("dispatched without a grant or a claim"))
	must.LessEq(t, 1, sink.begun)
	if result.Answered {
		must.Nil(t, result.Failure)
		whole := string(sink.body) == "answer to r1" && e.sent == 1
		recorded := string(sink.body) == "recorded" && e.sent == 0
		must.True(t, whole || recorded, must.Sprintf("answered with %q after %d dispatches", sink.body, e.sent))
		return
	}
	must.NotNil(t, result.Failure)
	if !result.Failure.NotRun {
		return
	}
	must.Zero(t, e.sent, must.Sprint("failure says not run after a dispatch"))
	must.Zero(t, sink.begun)
	if r.needsClaim() {
		must.NotEq(t, r.ID, e.ledger.holder, must.Sprint("failure says not run while the claim remains"))
	}
}
