package upstreamhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestSender_AnswerWrittenOnceMore checks that a copy of an earlier answer on a kept
// connection, with or without its id, isn't taken for the answer to the next request.
func TestSender_AnswerWrittenOnceMore(t *testing.T) {
	for _, copied := range []string{"", "first"} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		must.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			answer := func(id string) string {
				text := "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n"
				if id != "" {
					text += fmt.Sprintf("%s: %s\r\n", upstreamapi.HeaderRequestID, id)
				}
				return text + "\r\n"
			}
			for request := 1; ; request++ {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				text := answer(r.Header.Get(upstreamapi.HeaderRequestID))
				if request > 1 {
					text = answer(copied) + text
				}
				_, _ = io.WriteString(conn, text)
			}
		}()
		sender := NewSender()
		send := func(id string) gateway.DispatchResult {
			return sender.Send(t.Context(), gateway.Dispatch{
				Request: &gateway.Request{ID: ident.RequestID(id), Method: http.MethodGet, Path: "/x", Idempotent: true, Deadline: time.Now().Add(time.Second)},
				Target:  gateway.Target{Name: "u", Upstream: config.Upstream{Address: listener.Addr().String()}},
			}, discardSink{})
		}
		must.Eq(t, gateway.DispatchComplete, send("first").Outcome)
		must.Eq(t, gateway.DispatchMismatched, send("second").Outcome, must.Sprintf("%q", copied))
		sender.Close()
		must.NoError(t, listener.Close())
	}
}

// TestSender_CopyOfAnswerToRequestUnderWay checks that a copy of an earlier answer with the
// id of a request that is under way again isn't taken for its answer: the upstream runs it.
func TestSender_CopyOfAnswerToRequestUnderWay(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		t.Run(fmt.Sprintf("idempotent=%t", idempotent), func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			defer listener.Close()
			go func() {
				for sent := 0; ; {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					reader := bufio.NewReader(conn)
					for onConn := 1; ; onConn++ {
						r, err := http.ReadRequest(reader)
						if err != nil {
							break
						}
						_, _ = io.Copy(io.Discard, r.Body)
						named := fmt.Sprintf("Content-Length: 0\r\n%s: %s\r\n\r\n", upstreamapi.HeaderRequestID, r.Header.Get(upstreamapi.HeaderRequestID))
						full, ran := "HTTP/1.1 503 Full\r\n"+named, "HTTP/1.1 200 OK\r\n"+named
						sent++
						switch {
						case sent == 1:
							_, _ = io.WriteString(conn, full)
						case onConn > 1:
							_, _ = io.WriteString(conn, full+ran)
						default:
							_, _ = io.WriteString(conn, ran)
						}
					}
					_ = conn.Close()
				}
			}()
			sender := NewSender()
			defer sender.Close()
			send := func() gateway.DispatchResult {
				return sender.Send(t.Context(), gateway.Dispatch{
					Request: &gateway.Request{ID: "again", Method: http.MethodGet, Path: "/x", Idempotent: idempotent, Deadline: time.Now().Add(time.Second)},
					Target:  gateway.Target{Name: "u", Upstream: config.Upstream{Address: listener.Addr().String()}},
				}, discardSink{})
			}
			must.Eq(t, http.StatusServiceUnavailable, send().Status)
			must.NotEq(t, http.StatusServiceUnavailable, send().Status)
		})
	}
}
