package callerhttp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
)

type noObserver struct{}

func (noObserver) Finished(FinishedRequest) {}
func (noObserver) Rejected()                {}

// TestSink_EndOfConnection checks that an answer without length ends by its connection for
// the caller too, and with a reset if it was broken off; a caller of HTTP/1.0 gets that for
// every answer that is too long for an added length.
func TestSink_EndOfConnection(t *testing.T) {
	long := strings.Repeat("long ", 1000)
	for _, c := range []struct {
		name, proto string
		framing     gateway.Framing
		body        string
		brokenOff   bool
		headHas     string
	}{
		{"without length", "HTTP/1.1", gateway.FramedByConnection, "short", false, "Connection: close"},
		{"without length, empty", "HTTP/1.1", gateway.FramedByConnection, "", false, "Connection: close"},
		{"without length, broken off", "HTTP/1.1", gateway.FramedByConnection, long, true, "Connection: close"},
		{"HTTP/1.0, short", "HTTP/1.0", gateway.FramedInChunks, "short", false, "Content-Length: 5"},
		{"HTTP/1.0, long", "HTTP/1.0", gateway.FramedInChunks, long, false, "200 OK"},
		{"HTTP/1.0, broken off", "HTTP/1.0", gateway.FramedInChunks, long, true, "200 OK"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(Limits{MaxConnections: 10, MaxReadingBytes: 1000}, nil, nil, noObserver{})
			s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				k := &sink{writer: w, control: http.NewResponseController(w), request: r}
				_ = k.Begin(gateway.AnswerHeader{Status: http.StatusOK, ContentType: "text/plain", Framing: c.framing})
				_ = k.Write([]byte(c.body))
				if c.brokenOff {
					_ = k.control.Flush()
					time.Sleep(50 * time.Millisecond)
					k.abort("r1", &callerapi.RefusalError{})
				}
				k.end()
			})
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			go func() { _ = s.Serve(listener) }()
			defer s.Close()
			conn, err := net.Dial("tcp4", listener.Addr().String())
			must.NoError(t, err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			fmt.Fprintf(conn, "GET / %s\r\nHost: a\r\n\r\n", c.proto)
			reader := bufio.NewReader(conn)
			head := ""
			for !strings.HasSuffix(head, "\r\n\r\n") {
				line, err := reader.ReadString('\n')
				must.NoError(t, err)
				head += line
			}
			must.StrContains(t, head, c.headHas)
			must.StrNotContains(t, head, "chunked")
			body, err := io.ReadAll(reader)
			must.Eq(t, c.brokenOff, errors.Is(err, syscall.ECONNRESET), must.Sprint(err))
			must.Eq(t, c.brokenOff, err != nil)
			must.Eq(t, c.body, string(body))
		})
	}
}
