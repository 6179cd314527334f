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

// listen accepts connections until the test ends.
func listen(t *testing.T, serve func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

func send(t *testing.T, s *Sender, address string, id int, body []byte, idempotent bool) gateway.DispatchResult {
	t.Helper()
	return s.Send(t.Context(), gateway.Dispatch{
		Request: &gateway.Request{
			ID: ident.RequestID(fmt.Sprint(id)), Method: http.MethodPost, Path: "/x", Body: body, Idempotent: idempotent,
			Deadline: time.Now().Add(5 * time.Second),
		},
		Target: gateway.Target{Name: "u", Upstream: config.Upstream{Address: address}},
	}, discardSink{})
}

// TestSender_MalformedStatus guards against an answer whose status is no answer's.
func TestSender_MalformedStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		address := listen(t, func(conn *net.TCPConn) {
			defer conn.Close()
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", status, upstreamapi.HeaderRequestID, request.Header.Get(upstreamapi.HeaderRequestID))
			_, _ = io.Copy(io.Discard, conn)
		})
		sender := NewSender()
		for _, idempotent := range []bool{false, true} {
			must.Eq(t, gateway.DispatchIncomplete, send(t, sender, address, 1, nil, idempotent).Outcome, must.Sprintf("status %s", status))
		}
		sender.Close()
	}
}

// TestSender_ResetDuringUpload guards against part of an answer that is taken for all of it:
// the upstream answers a long upload at once, without a length, and resets the connection
// while the request is still being written.
func TestSender_ResetDuringUpload(t *testing.T) {
	for _, size := range []int{64 << 10, 1 << 20, 4 << 20} {
		for _, read := range []int64{0, 32 << 10} {
			address := listen(t, func(conn *net.TCPConn) {
				reader := bufio.NewReader(conn)
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, request.Body, read)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\na part", upstreamapi.HeaderRequestID, request.Header.Get(upstreamapi.HeaderRequestID))
				time.Sleep(2 * time.Millisecond)
				_ = conn.SetLinger(0)
				_ = conn.Close()
			})
			sender := NewSender()
			body := make([]byte, size)
			for i := range 40 {
				result := send(t, sender, address, i, body, i%2 == 0)
				must.NotEq(t, gateway.DispatchComplete, result.Outcome, must.Sprintf("%d bytes, %d read, request %d", size, read, i))
			}
			sender.Close()
		}
	}
}

// TestSender_TextEndsLineOfHead covers a version whose name can't be written into a head: the
// request was never sent, and counted as one that may have run.
func TestSender_TextEndsLineOfHead(t *testing.T) {
	accepted := make(chan struct{}, 1)
	address := listen(t, func(conn *net.TCPConn) { accepted <- struct{}{}; _ = conn.Close() })
	s := NewSender()
	defer s.Close()
	result := s.Send(t.Context(), gateway.Dispatch{
		Request: &gateway.Request{ID: "a1", Method: http.MethodPost, Path: "/x", Deadline: time.Now().Add(time.Second)},
		Target:  gateway.Target{Name: "u", Upstream: config.Upstream{Address: address}},
		Version: "v1\r\nOther: 1",
	}, discardSink{})
	must.NotEq(t, gateway.DispatchIncomplete, result.Outcome, must.Sprintf("%+v", result))
	must.Error(t, result.Err)
	must.Eq(t, 0, len(accepted))
}
