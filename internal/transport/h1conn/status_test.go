package h1conn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// malformedStatuses are status codes that no answer to a request has.
var malformedStatuses = []string{"000", "001", "099", "101", "600", "999"}

// serveStatus accepts connections and answers each request with a status and a whole answer
// after it, as a server does that mistakes a later answer for the rest of the first.
func serveStatus(t *testing.T, status string) string {
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
			go func() {
				reader := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						_ = conn.Close()
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother", status)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestDo_MalformedStatus guards against an answer whose status is no answer's, which a server
// in trouble may send: the bytes after it must not be taken for the answer, and the request
// must not wait for another one until its deadline.
func TestDo_MalformedStatus(t *testing.T) {
	for _, status := range malformedStatuses {
		client := New(DefaultDialTimeout)
		address := serveStatus(t, status)
		began := time.Now()
		answer, err := client.Do(t.Context(), Call{Address: address, Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n")})
		if err == nil {
			body, _ := io.ReadAll(answer.Body)
			t.Errorf("status %s: taken for an answer with status %d and body %q", status, answer.StatusCode, body)
			_ = answer.Body.Close()
		}
		must.Less(t, 5*time.Second, time.Since(began))
		client.mu.Lock()
		must.MapEmpty(t, client.idleConns)
		client.mu.Unlock()
		client.Close()
	}
}
