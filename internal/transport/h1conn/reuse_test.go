package h1conn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestClient_ReuseOnly checks that a call which may only reuse a connection is not sent on
// a new one, and that each call tells which kind it was sent on.
func TestClient_ReuseOnly(t *testing.T) {
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { calls++ }))
	defer server.Close()
	client := New(DefaultDialTimeout)
	defer client.Close()
	fresh := false
	send := func(reuseOnly bool) error {
		answer, err := client.Do(context.Background(), Call{
			Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
			ReuseOnly: reuseOnly, OnConn: func(use ConnUse) { fresh = use.Calls == 0 },
		})
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		return answer.Body.Close()
	}
	err := send(true)
	var unsent *UnsentError
	must.True(t, errors.As(err, &unsent))
	must.ErrorIs(t, err, ErrNoIdleConn)
	must.Zero(t, calls)
	must.NoError(t, send(false))
	must.True(t, fresh)
	must.NoError(t, send(true))
	must.False(t, fresh)
	must.Eq(t, 2, calls)
}
