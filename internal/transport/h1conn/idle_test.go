package h1conn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestClient_IdleConnsOfGoneServersAreClosed checks that connections which no call uses any
// more are closed once they have expired, those to servers that are gone and those to
// servers that are there.
func TestClient_IdleConnsOfGoneServersAreClosed(t *testing.T) {
	t.Parallel()
	client := New(DefaultDialTimeout)
	defer client.Close()
	var conns []*persistConn
	for i := range 20 {
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		answer, err := client.Do(t.Context(), Call{
			Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		})
		must.NoError(t, err)
		_, _ = io.Copy(io.Discard, answer.Body)
		must.NoError(t, answer.Body.Close())
		must.True(t, isOpen(answer.conn))
		conns = append(conns, answer.conn)
		if i%2 == 0 {
			server.Close()
		} else {
			defer server.Close()
		}
	}
	time.Sleep(2 * IdleTimeout)
	open := 0
	for _, conn := range conns {
		if isOpen(conn) {
			open++
		}
	}
	must.Zero(t, open, must.Sprintf("%d of %d connections open %v after their last use", open, len(conns), 2*IdleTimeout))
	client.mu.Lock()
	defer client.mu.Unlock()
	must.MapEmpty(t, client.idleConns)
}

// isOpen reports whether the client has not closed the connection.
func isOpen(conn *persistConn) bool {
	return !errors.Is(conn.SetDeadline(time.Time{}), net.ErrClosed)
}
