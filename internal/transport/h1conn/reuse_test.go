package h1conn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
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

// TestClient_RequestOnceOnEachConnection checks that a request which comes again is sent on
// a connection that has not carried it, that other requests still share connections, and
// that these age.
func TestClient_RequestOnceOnEachConnection(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	client := New(DefaultDialTimeout)
	defer client.Close()
	send := func(id string, reuseOnly bool) (use ConnUse, err error) {
		answer, err := client.Do(t.Context(), Call{
			Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
			ID: id, ReuseOnly: reuseOnly, OnConn: func(u ConnUse) { use = u },
		})
		if err != nil {
			return use, err
		}
		_, _ = io.Copy(io.Discard, answer.Body)
		return use, answer.Body.Close()
	}
	ages := make(map[uint64]time.Duration)
	for _, c := range []struct {
		id   string
		want ConnUse
	}{
		{"a", ConnUse{Number: 1}},
		{"b", ConnUse{Number: 1, Calls: 1}},
		{"a", ConnUse{Number: 2}},
		{"c", ConnUse{Number: 2, Calls: 1}},
		{"b", ConnUse{Number: 2, Calls: 2}},
		{"c", ConnUse{Number: 1, Calls: 2}},
		{"a", ConnUse{Number: 3}},
		{"", ConnUse{Number: 3, Calls: 1}},
		{"", ConnUse{Number: 3, Calls: 2}},
	} {
		use, err := send(c.id, false)
		must.NoError(t, err)
		must.Greater(t, ages[use.Number], use.Age)
		ages[use.Number], c.want.Age = use.Age, use.Age
		must.Eq(t, c.want, use, must.Sprint(c.id))
	}
	_, err := send("a", true)
	must.ErrorIs(t, err, ErrNoIdleConn)
}

// TestClient_MemoryOfAConnectionIsBounded checks that a connection which has carried many
// requests that may come again is not kept.
func TestClient_MemoryOfAConnectionIsBounded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	withDeadline, cancel := context.WithTimeout(t.Context(), time.Hour)
	defer cancel()
	for _, ctx := range []context.Context{t.Context(), withDeadline} {
		client := New(DefaultDialTimeout)
		for i := range 2*maxCarried + 1 {
			answer, err := client.Do(ctx, Call{
				Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
				ID: strconv.Itoa(i),
			})
			must.NoError(t, err)
			_, _ = io.Copy(io.Discard, answer.Body)
			must.NoError(t, answer.Body.Close())
			must.LessEq(t, maxCarried, len(answer.conn.carried))
		}
		must.Eq(t, 3, client.Dialed())
		client.Close()
	}
}

// TestConn_ForgetsRequestsPastTheirDeadline checks that requests which can't come again
// don't count, so that a busy connection is kept.
func TestConn_ForgetsRequestsPastTheirDeadline(t *testing.T) {
	began := time.Now().Add(-time.Hour)
	pc := &persistConn{}
	pc.carry("lasting", time.Now().Add(time.Hour), began)
	for i := range 4 * maxCarried {
		pc.carry(strconv.Itoa(i), time.Now().Add(-time.Millisecond), began)
		must.LessEq(t, 2, len(pc.carried))
	}
	must.True(t, pc.hasCarried(xxhash.Sum64String("lasting")))
	must.False(t, pc.hasCarried(xxhash.Sum64String("0")))
}
