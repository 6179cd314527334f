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

// world is a gateway's surroundings with faults drawn by rapid.
type world struct {
	t      *rapid.T
	ledger *book
	// sent counts dispatches that may have reached an upstream.
	sent int
	// sentUnclaimed counts dispatches without a standing claim.
	sentUnclaimed int
	begun         bool
	r             *Request
}

func (w *world) Fresh() bool                                       { return rapid.IntRange(0, 9).Draw(w.t, "fresh") > 0 }
func (w *world) Placer(ident.PoolName) Placer                      { return w }
func (w *world) Identity() (ident.NodeID, ident.Incarnation)       { return "n", 1 }
func (w *world) PoolUpstreams(ident.PoolName) []Target             { return []Target{{Name: "u"}} }
func (w *world) FirstToken(ident.RequestID, int)                   {}
func (w *world) Finish(ident.RequestID, scheduler.ReportKind, int) { w.begun = false }

func (w *world) Upstream(ident.UpstreamName) (config.Upstream, bool) {
	return config.Upstream{}, rapid.IntRange(0, 9).Draw(w.t, "known upstream") > 0
}

func (w *world) Place(ctx context.Context, t scheduler.Ticket, _ time.Time) (scheduler.Decision, error) {
	switch rapid.IntRange(0, 7).Draw(w.t, "decision") {
	case 0:
		return scheduler.Decision{Refusal: &scheduler.Refusal{Ticket: t.ID, Reason: scheduler.ReasonOverload}}, nil
	case 1:
		<-ctx.Done()
		return scheduler.Decision{}, ctx.Err()
	default:
		return scheduler.Decision{Grant: &scheduler.Grant{Ticket: t.ID, Upstream: "u", Version: "v"}}, nil
	}
}

func (w *world) Begin(ident.RequestID) bool {
	w.begun = rapid.IntRange(0, 5).Draw(w.t, "begin") > 0
	return w.begun
}

func (w *world) Send(ctx context.Context, d Dispatch, sink AnswerSink) DispatchResult {
	if !w.begun || !d.Request.Idempotent && !w.ledger.holds(d.Request) {
		w.sentUnclaimed++
	}
	outcome := rapid.SampledFrom([]DispatchOutcome{DispatchWhole, DispatchUnsent, DispatchBroken, DispatchCrossed}).Draw(w.t, "dispatch")
	if outcome == DispatchUnsent {
		return DispatchResult{Outcome: outcome, Err: errors.New("refused")}
	}
	w.sent++
	if rapid.IntRange(0, 9).Draw(w.t, "hangs") == 0 {
		<-ctx.Done()
		return DispatchResult{Outcome: DispatchBroken, Err: ctx.Err()}
	}
	if outcome == DispatchCrossed {
		return DispatchResult{Outcome: outcome}
	}
	_ = sink.Begin(200, "text/plain")
	_ = sink.Write([]byte("answer to "))
	if outcome == DispatchBroken {
		return DispatchResult{Outcome: outcome, Status: 200, Err: errors.New("cut")}
	}
	_ = sink.Write([]byte(d.Request.ID))
	return DispatchResult{Outcome: outcome, Status: 200}
}

func (w *world) Status(context.Context, Dispatch) *ledger.Answer {
	if w.sent == 0 || rapid.Bool().Draw(w.t, "status unknown") {
		return nil
	}
	return &ledger.Answer{Status: 200, Body: []byte("answer to " + string(w.r.ID))}
}

// book is the simplest ledger of one key: it holds one claim, loses replies and
// is at times out of reach.
type book struct {
	t       *rapid.T
	holder  ident.RequestID
	attempt uint32
	foreign ledger.Verdict
	down    bool
	done    bool
}

func (b *book) holds(r *Request) bool {
	return b.holder == r.ID && b.attempt == r.attempt && !b.done
}

// fault returns whether the call takes effect and whether its reply arrives.
func (b *book) fault(ctx context.Context) (applied bool, err error) {
	if b.down || ctx.Err() != nil {
		return false, errors.New("out of reach")
	}
	switch rapid.IntRange(0, 9).Draw(b.t, "ledger fault") {
	case 0:
		b.down = rapid.Bool().Draw(b.t, "stays down")
		return false, errors.New("request lost")
	case 1:
		return true, errors.New("reply lost")
	default:
		return true, nil
	}
}

func (b *book) Lookup(ctx context.Context, _ ledger.Key, wait time.Duration) (ledger.ClaimResult, bool, error) {
	if _, err := b.fault(ctx); err != nil {
		return ledger.ClaimResult{}, false, err
	}
	if wait > 0 && b.foreign == ledger.VerdictRunning {
		b.foreign = rapid.SampledFrom([]ledger.Verdict{"", ledger.VerdictRecorded, ledger.VerdictMayHaveRun}).Draw(b.t, "first sending ends")
	}
	return b.verdict(), b.foreign != "", nil
}

func (b *book) verdict() ledger.ClaimResult {
	result := ledger.ClaimResult{Verdict: b.foreign}
	if b.foreign == ledger.VerdictRecorded {
		result.Answer = &ledger.Answer{Status: 200, Body: []byte("recorded")}
	}
	return result
}

func (b *book) Claim(ctx context.Context, c ledger.Claim) (ledger.ClaimResult, error) {
	if b.foreign == "" && b.holder == "" && rapid.IntRange(0, 5).Draw(b.t, "rival") == 0 {
		b.foreign = ledger.VerdictRunning
	}
	applied, err := b.fault(ctx)
	if applied && b.foreign == "" {
		b.holder, b.attempt = c.Request, c.Attempt
	}
	if err != nil {
		return ledger.ClaimResult{}, err
	}
	if b.foreign != "" {
		return b.verdict(), nil
	}
	return ledger.ClaimResult{Verdict: ledger.VerdictGranted}, nil
}

func (b *book) Release(ctx context.Context, r ledger.Release) error {
	applied, err := b.fault(ctx)
	if applied && b.holder == r.Request && b.attempt == r.Attempt {
		b.holder = ""
	}
	return err
}

func (b *book) Complete(ctx context.Context, c ledger.Complete) error {
	applied, err := b.fault(ctx)
	if applied && b.holder == c.Request {
		b.done = true
	}
	return err
}

// awaitSettled waits in virtual time.
func awaitSettled(g *Gateway) {
	for g.Settling() > 0 {
		time.Sleep(time.Millisecond)
	}
}

type memorySink struct {
	begun int
	body  []byte
}

func (m *memorySink) Begin(AnswerHeader) error { m.begun++; return nil }

func (m *memorySink) Write(part []byte) error { m.body = append(m.body, part...); return nil }

// TestGateway_AtMostOnceAndTrue runs single requests through drawn faults and
// checks the brief's promises at the edges.
func TestGateway_AtMostOnceAndTrue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &Request{
			ID:         "r1",
			Idempotent: rapid.Bool().Draw(rt, "idempotent"),
			Stream:     rapid.Bool().Draw(rt, "stream"),
			Key:        "k1",
			StatusPath: rapid.SampledFrom([]string{"", "/status"}).Draw(rt, "status path"),
		}
		foreign := rapid.SampledFrom([]ledger.Verdict{
			"", "", "", ledger.VerdictRunning, ledger.VerdictRecorded, ledger.VerdictMayHaveRun,
			ledger.VerdictMismatch, ledger.VerdictExpired, ledger.VerdictFull, ledger.VerdictStale,
		}).Draw(rt, "earlier claim")
		leaves := rapid.IntRange(0, 5).Draw(rt, "caller leaves") == 0
		b := &book{t: rt, foreign: foreign}
		w := &world{t: rt, ledger: b, r: r}
		sink := &memorySink{}
		var result Result
		synctest.Test(t, func(*testing.T) {
			r.Deadline = time.Now().Add(10 * time.Second)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if leaves {
				time.AfterFunc(time.Second, cancel)
			}
			g := New(w, b, w, NewBudget(1<<20), nil)
			result = g.Serve(ctx, r, sink)
			awaitSettled(g)
		})
		check(rt, w, r, sink, result)
	})
}

func check(t *rapid.T, w *world, r *Request, sink *memorySink, result Result) {
	must.LessEq(t, 1, w.sent, must.Sprint("dispatched more than once"))
	must.Zero(t, w.sentUnclaimed, must.Sprint("dispatched without a grant or a claim"))
	must.LessEq(t, 1, sink.begun)
	if result.Answered {
		must.Nil(t, result.Failure)
		whole := string(sink.body) == "answer to r1" && w.sent == 1
		recorded := string(sink.body) == "recorded" && w.sent == 0
		must.True(t, whole || recorded, must.Sprintf("answered with %q after %d dispatches", sink.body, w.sent))
		return
	}
	must.NotNil(t, result.Failure)
	if !result.Failure.NotRun {
		return
	}
	must.Zero(t, w.sent, must.Sprint("said not run after a dispatch"))
	must.Zero(t, sink.begun)
	if !r.Idempotent {
		must.NotEq(t, r.ID, w.ledger.holder, must.Sprint("said not run while its claim stands"))
	}
}
