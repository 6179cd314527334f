package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startServer starts a server with a limiter. The returned set changes the bounds.
func startServer(t *testing.T, bounds Bounds) (address string, set func(Bounds)) {
	t.Helper()
	var current atomic.Pointer[Bounds]
	current.Store(&bounds)
	limiter := New(func() Bounds { return *current.Load() })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			time.Sleep(300 * time.Millisecond)
		}
	}))
	server.Config.ConnState = limiter.State
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), func(b Bounds) { current.Store(&b) }
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	return conn
}

// get sends a GET request and checks that the answer has status 200.
func get(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
	must.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	must.Eq(t, 200, answer.StatusCode)
}

// mustBeClosed waits for the server to close the connection.
func mustBeClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

func TestLimiter_IncompleteHeader(t *testing.T) {
	address, _ := startServer(t, Bounds{Header: 50 * time.Millisecond, Idle: time.Hour})
	conn := dial(t, address)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n")
	must.NoError(t, err)
	// The connection is reset if the server has unread bytes.
	_, err = conn.Read(make([]byte, 1))
	must.Error(t, err)
	netErr, isNet := err.(net.Error)
	must.False(t, isNet && netErr.Timeout())
}

func TestLimiter_IdleConnection(t *testing.T) {
	address, _ := startServer(t, Bounds{Header: time.Millisecond * 50, Idle: 50 * time.Millisecond})
	conn := dial(t, address)
	get(t, conn, "/")
	mustBeClosed(t, conn)
}

// TestLimiter_SlowAnswer checks that a connection stays open while the server takes
// longer to answer than both bounds.
func TestLimiter_SlowAnswer(t *testing.T) {
	address, _ := startServer(t, Bounds{Header: 100 * time.Millisecond, Idle: 100 * time.Millisecond})
	get(t, dial(t, address), "/slow")
}

// TestLimiter_BoundsChange checks that changed bounds apply to an open connection
// from its next wait on.
func TestLimiter_BoundsChange(t *testing.T) {
	address, set := startServer(t, Bounds{})
	conn := dial(t, address)
	get(t, conn, "/")
	set(Bounds{Idle: 50 * time.Millisecond})
	get(t, conn, "/")
	mustBeClosed(t, conn)
}
