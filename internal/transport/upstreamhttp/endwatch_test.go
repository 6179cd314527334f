package upstreamhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
)

// TestSender_AnswerOfStoppingService guards against a whole answer without a length that is
// broken off since its service accepts no more connections, and against one that looks whole
// though its service was killed.
func TestSender_AnswerOfStoppingService(t *testing.T) {
	for name, c := range map[string]struct{ stops, killed bool }{
		"stops":         {true, false},
		"killed":        {false, true},
		"stops, killed": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			must.NoError(t, err)
			var mu sync.Mutex
			var conns []net.Conn
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					mu.Lock()
					conns = append(conns, conn)
					mu.Unlock()
					go answerSlowly(conn)
				}
			}()
			if c.stops {
				time.AfterFunc(300*time.Millisecond, func() { _ = listener.Close() })
			}
			if c.killed {
				time.AfterFunc(650*time.Millisecond, func() {
					_ = listener.Close()
					mu.Lock()
					defer mu.Unlock()
					for _, conn := range conns {
						_ = conn.Close()
					}
				})
			}
			s := NewSender()
			defer s.Close()
			sent := send(t, s, listener.Addr().String(), 1, nil, false)
			must.Eq(t, gateway.DispatchComplete, sent.Outcome)
			time.Sleep(gateway.EndCheckDelay)
			connect := func() error {
				conn, err := net.Dial("tcp4", listener.Addr().String())
				if err == nil {
					_ = conn.Close()
				}
				return err
			}
			check := gateway.EndCheck{
				Evidence: sent.Evidence, Dial: connect, Connect: connect,
				Settle: func() { time.Sleep(gateway.EndSettleTime - gateway.EndCheckDelay) },
			}
			basis, err := check.Judge()
			must.Eq(t, c.killed, err != nil, must.Sprint(basis))
			_ = listener.Close()
		})
	}
}

// answerSlowly sends an answer in eight parts, 100 ms apart, that ends with its connection.
func answerSlowly(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n", upstreamapi.HeaderRequestID, request.Header.Get(upstreamapi.HeaderRequestID))
	for range 8 {
		time.Sleep(100 * time.Millisecond)
		if _, err := io.WriteString(conn, "part"); err != nil {
			return
		}
	}
}
