package load

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
)

var (
	lookups = Class{Name: "lookup", Tier: "high", Path: "/l", Idempotent: true, Deadline: 30 * time.Second, Weight: 1}
	writes  = Class{Name: "write", Tier: "mid", Method: http.MethodPost, Path: "/w", Deadline: time.Second, Weight: 1}
	drafts  = Class{
		Name: "draft", Tier: "low", Path: openai.PathChat, Model: "m", Stream: true, Idempotent: true,
		Deadline: time.Second, Weight: 1, PromptTokens: Range{Min: 10, Max: 1000}, OutputTokens: Range{Min: 1, Max: 10}, SharedPrefixes: 2,
	}
)

// run sends a short load of the classes to a single address.
func run(t *testing.T, addr string, classes ...Class) *Result {
	t.Helper()
	r, err := Run(t.Context(), Options{
		Addresses:  []string{addr},
		Workload:   &Workload{Classes: classes, Teams: []TeamWeight{{Name: "t1", Weight: 3}, {Name: "t2", Weight: 1}}},
		Rate:       100,
		Duration:   100 * time.Millisecond,
		Seed:       7,
		VerifyEcho: true,
	})
	must.NoError(t, err)
	must.Positive(t, r.sent)
	return r
}

func TestRun_AllAnswered(t *testing.T) {
	service, err := fakes.StartService(fakes.ServiceOptions{})
	must.NoError(t, err)
	defer service.Close()
	r := run(t, service.Addr(), lookups, writes)
	report := r.Report(NewUpstreams(service.Runs()))
	must.Eq(t, r.sent, report.Answered)
	must.False(t, report.Failed())
	must.Len(t, 2, report.Tiers)

	engine, err := fakes.StartEngine(fakes.EngineOptions{})
	must.NoError(t, err)
	defer engine.Close()
	r = run(t, engine.Addr(), drafts)
	must.Eq(t, r.sent, r.Report(NewUpstreams(engine.Runs())).Answered)
}

func TestReport_LostAnswerRunTwice(t *testing.T) {
	service, err := fakes.StartService(fakes.ServiceOptions{})
	must.NoError(t, err)
	defer service.Close()
	service.SetFail(fakes.FailAnswerLost)
	r := run(t, service.Addr(), writes)
	report := r.Report(NewUpstreams(service.Runs()))
	must.Eq(t, r.sent, report.Doubled)
	must.Eq(t, r.sent, report.Lost)
	must.True(t, report.Failed())
}

func TestReport_WrongAnswer(t *testing.T) {
	engine, err := fakes.StartEngine(fakes.EngineOptions{})
	must.NoError(t, err)
	defer engine.Close()
	engine.CrossAnswers(true)
	r := run(t, engine.Addr(), drafts)
	must.Eq(t, r.sent, r.Report(nil).Wrong)
}

func TestReport_TruncatedStream(t *testing.T) {
	engine, err := fakes.StartEngine(fakes.EngineOptions{})
	must.NoError(t, err)
	defer engine.Close()
	engine.BreakStreamsAfter(1)
	short := drafts
	short.Deadline = 100 * time.Millisecond
	report := run(t, engine.Addr(), short).Report(nil)
	must.Zero(t, report.Answered)
	must.Eq(t, report.Sent, report.Lost)
}

func TestReport_Unreached(t *testing.T) {
	short := lookups
	short.Deadline = 100 * time.Millisecond
	r := run(t, "127.0.0.1:1", short)
	must.Eq(t, r.sent, r.Report(nil).Unreached)
}

// startRefusingServer starts a server that refuses every call with the outcome. If
// service is not nil, it forwards the call to it first.
func startRefusingServer(t *testing.T, outcome callerapi.Outcome, service *fakes.Service) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := "r-" + r.Header.Get(callerapi.HeaderIdempotencyKey)
		if service != nil {
			req, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+service.Addr()+r.URL.Path, r.Body)
			req.Header.Set(upstreamapi.HeaderRequestID, id)
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		w.Header().Set(callerapi.HeaderRequestID, id)
		w.Header().Set(callerapi.HeaderOutcome, string(outcome))
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(callerapi.Refusal{Error: callerapi.RefusalError{
			Reason: callerapi.ReasonUnknownRoute, Outcome: outcome,
		}})
	}))
	t.Cleanup(s.Close)
	return s
}

func TestReport_FalseNotRun(t *testing.T) {
	service, err := fakes.StartService(fakes.ServiceOptions{})
	must.NoError(t, err)
	defer service.Close()
	address := strings.TrimPrefix(startRefusingServer(t, callerapi.NotRun, service).URL, "http://")
	report := run(t, address, writes).Report(NewUpstreams(service.Runs()))
	must.Eq(t, report.Sent, report.RefusedNotRun)
	must.Positive(t, report.FalseNotRun)
	must.True(t, report.Failed())
}

func TestReport_Refusals(t *testing.T) {
	for _, outcome := range []callerapi.Outcome{callerapi.NotRun, callerapi.NotSent, callerapi.MayHaveRun} {
		address := strings.TrimPrefix(startRefusingServer(t, outcome, nil).URL, "http://")
		report := run(t, address, writes).Report(NewUpstreams())
		must.Eq(t, outcome != callerapi.MayHaveRun, report.RefusedNotRun == report.Sent)
		must.Eq(t, outcome == callerapi.MayHaveRun, report.MayHaveRun == report.Sent)
		must.False(t, report.Failed())
	}
}

func TestPlan_SameSeedSamePlan(t *testing.T) {
	o := &Options{
		Workload: &Workload{Classes: []Class{lookups, drafts}, Teams: []TeamWeight{{Name: "t", Weight: 1}}},
		Rate:     500, Duration: time.Second, Seed: 3,
		Bursts: []Burst{{At: 500 * time.Millisecond, Length: 100 * time.Millisecond, Factor: 5}},
	}
	first, err := plan(o)
	must.NoError(t, err)
	second, err := plan(o)
	must.NoError(t, err)
	must.Eq(t, len(first), len(second))
	for i := range first {
		must.Eq(t, first[i].at, second[i].at)
		must.Eq(t, first[i].body, second[i].body)
	}
}

func TestReadWorkload_Strict(t *testing.T) {
	path := filepath.Join(t.TempDir(), "w.yaml")
	must.NoError(t, os.WriteFile(path, []byte("classes: [{name: a, wait: 1}]\n"), 0o600))
	_, err := ReadWorkload(path)
	must.ErrorContains(t, err, "wait")
}
