package upstreamhttp

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
)

// bodySink keeps the body that would reach the caller.
type bodySink struct {
	discardSink
	body strings.Builder
}

func (s *bodySink) Write(part []byte) error {
	s.body.Write(part)
	return nil
}

// sendStream sends a streamed call to an engine at an address.
func sendStream(t *testing.T, address string) (gateway.DispatchResult, string) {
	t.Helper()
	sender := NewSender()
	defer sender.Close()
	sink := &bodySink{}
	result := sender.Send(t.Context(), gateway.Dispatch{
		Request: &gateway.Request{ID: "r1", Method: http.MethodPost, Path: "/v1/chat/completions", Engine: true, Stream: true, Deadline: time.Now().Add(5 * time.Second)},
		Target:  gateway.Target{Name: "u", Upstream: config.Upstream{Address: address}},
	}, sink)
	return result, sink.body.String()
}

// TestSender_RestThatIsNoStream has an engine break off a stream and answer the call for
// the rest with the text of an error. The text must not reach the caller, and the engine
// is asked again.
func TestSender_RestThatIsNoStream(t *testing.T) {
	const first, rest = "data: {\"id\":\"c1\"}\n\n", "data: {\"id\":\"c1\"}\n\ndata: [DONE]\n\n"
	for name, failed := range map[string]struct{ contentType, body string }{
		"text":             {"text/plain", "error: no such run\n\n"},
		"text as event":    {"text/event-stream", "error: no such run\n\n"},
		"head in the body": {"text/event-stream", "HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			resumes := 0
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Request-Id", "r1")
				w.Header().Set("Content-Type", "text/event-stream")
				switch {
				case r.Method == http.MethodPost:
					_, _ = io.WriteString(w, ": begins\n\n"+first)
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				case resumes == 0:
					w.Header().Set("Content-Type", failed.contentType)
					_, _ = io.WriteString(w, failed.body)
				default:
					_, _ = io.WriteString(w, rest)
				}
				resumes++
			}))
			defer engine.Close()
			result, body := sendStream(t, engine.Listener.Addr().String())
			must.Eq(t, gateway.DispatchComplete, result.Outcome, must.Sprint(result.Err))
			must.Eq(t, ": begins\n\n"+first+rest, body)
			must.Eq(t, 2, resumes)
		})
	}
}

// TestSender_StatusOfKilledService has a service be killed in the middle of the answer to a
// status query that has no length. The part must not count as the outcome.
func TestSender_StatusOfKilledService(t *testing.T) {
	for name, killed := range map[string]bool{"killed": true, "still there": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na part of ")
				if killed {
					_ = listener.Close()
				}
			}()
			sender := NewSender()
			defer sender.Close()
			answer := sender.Status(t.Context(), gateway.Dispatch{
				Request: &gateway.Request{ID: "r1", Key: "k1", StatusPath: "/status"},
				Target:  gateway.Target{Name: "u", Upstream: config.Upstream{Address: listener.Addr().String()}},
			})
			must.Eq(t, killed, answer == nil)
		})
	}
}
