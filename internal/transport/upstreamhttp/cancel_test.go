package upstreamhttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
)

type discardSink struct{}

func (discardSink) Begin(gateway.AnswerHead) error  { return nil }
func (discardSink) Fields([]gateway.HeaderField)    {}
func (discardSink) FirstToken()                     {}
func (discardSink) Notice(scheduler.UpstreamNotice) {}
func (discardSink) Write([]byte) error              { return nil }

func (discardSink) Events(events []gateway.StreamEvent) (int, error) { return len(events), nil }

// TestSender_EngineStopsResponding checks that Send returns when its context ends,
// even if the engine has accepted the request without answering it and does not
// answer the call that cancels it either.
func TestSender_EngineStopsResponding(t *testing.T) {
	returned := make(chan struct{})
	engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodDelete {
			<-returned
			return
		}
		<-r.Context().Done()
	}))
	defer engine.Close()
	s := NewSender()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	result := s.Send(ctx, gateway.Dispatch{
		Request: &gateway.Request{ID: "r1", Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}"), Engine: true, Idempotent: true},
		Target:  gateway.Target{Upstream: config.Upstream{Address: strings.TrimPrefix(engine.URL, "http://")}},
	}, discardSink{})
	close(returned)
	must.Eq(t, gateway.DispatchIncomplete, result.Outcome)
	for deadline := time.Now().Add(2 * CancelTimeout); s.Canceled() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 1, s.Canceled())
	s.Close()
}
