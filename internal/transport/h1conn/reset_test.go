package h1conn

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestAnswer_ServerResetsWhileItIsSentTo checks that an answer which ends with its
// connection isn't complete if the connection broke off under the rest of the request: the
// kernel reports that once, to the write or to the read.
func TestAnswer_ServerResetsWhileItIsSentTo(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
				time.Sleep(5 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	client := New(DefaultDialTimeout)
	defer client.Close()
	address := listener.Addr().String()
	body := make([]byte, 16<<20)
	head := []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 16777216\r\n\r\n")
	whole := 0
	for range 100 {
		answer, err := client.Do(t.Context(), Call{Address: address, Method: http.MethodPost, Head: head, Body: body, Fresh: true})
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(answer.Body); err == nil {
			whole++
		}
		_ = answer.Body.Close()
	}
	must.Zero(t, whole)
}
