package agent

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
)

// TestCallers_BadInput sends malformed and hostile requests: each is refused
// with its own reason and as not run, and none reaches an upstream.
func TestCallers_BadInput(t *testing.T) {
	c := startCluster(t)
	completions := "/v1/chat/completions"
	cases := map[string]struct {
		call   call
		status int
		reason callerapi.Reason
	}{
		"unknown path":      {call{method: http.MethodGet, path: "/nowhere"}, 404, callerapi.ReasonUnknownRoute},
		"unknown route":     {call{method: http.MethodGet, path: "/lookup", route: "nowhere"}, 404, callerapi.ReasonUnknownRoute},
		"unknown team":      {call{method: http.MethodGet, path: "/lookup", team: "nobody"}, 403, callerapi.ReasonUnknownTeam},
		"unknown model":     {call{method: http.MethodPost, path: completions, body: `{"model":"other"}`}, 404, callerapi.ReasonUnknownModel},
		"no model":          {call{method: http.MethodPost, path: completions, body: `{}`}, 400, callerapi.ReasonBadRequest},
		"malformed body":    {call{method: http.MethodPost, path: completions, body: `{"model":`}, 400, callerapi.ReasonBadRequest},
		"not an object":     {call{method: http.MethodPost, path: completions, body: `[1]`}, 400, callerapi.ReasonBadRequest},
		"negative length":   {call{method: http.MethodPost, path: completions, body: `{"model":"writer-8b","max_tokens":-1}`}, 400, callerapi.ReasonBadRequest},
		"wrong method":      {call{method: http.MethodGet, path: completions}, 405, callerapi.ReasonMethod},
		"bad deadline":      {call{method: http.MethodGet, path: "/lookup", deadline: "soon"}, 400, callerapi.ReasonBadDeadline},
		"negative deadline": {call{method: http.MethodGet, path: "/lookup", deadline: "-1s"}, 400, callerapi.ReasonBadDeadline},
		"endless deadline":  {call{method: http.MethodGet, path: "/lookup", deadline: "9000h"}, 400, callerapi.ReasonBadDeadline},
		"no key":            {call{method: http.MethodPost, path: "/submit", body: `{}`}, 400, callerapi.ReasonKeyMissing},
		"malformed key":     {call{method: http.MethodPost, path: "/submit", body: `{}`, key: "again"}, 400, callerapi.ReasonKeyMalformed},
		"random key":        {call{method: http.MethodPost, path: "/submit", body: `{}`, key: "9b2f1c1e-6f0a-4c1b-9d3e-1f2a3b4c5d6e"}, 400, callerapi.ReasonKeyMalformed},
		"oversized body":    {call{method: http.MethodPost, path: completions, body: strings.Repeat("x", 2<<20)}, 413, callerapi.ReasonTooLarge},
	}
	for name, test := range cases {
		a := c.send(0, test.call)
		must.NoError(t, a.err, must.Sprint(name))
		must.Eq(t, test.status, a.status, must.Sprint(name, a.body))
		refusal := refusalOf(a)
		must.NotNil(t, refusal, must.Sprint(name))
		must.Eq(t, test.reason, refusal.Reason, must.Sprint(name))
		must.Eq(t, callerapi.NotRun, refusal.Outcome, must.Sprint(name))
		must.Eq(t, a.header.Get(callerapi.HeaderRequestID), string(refusal.RequestID), must.Sprint(name))
	}
	must.SliceEmpty(t, c.submits())
	must.SliceEmpty(t, c.engines[0].Runs())
	must.SliceEmpty(t, c.engines[1].Runs())
}

// TestCallers_EndlessHeaders sends a request whose header never ends: it is
// refused with status 431 and the node keeps serving.
func TestCallers_EndlessHeaders(t *testing.T) {
	c := startCluster(t)
	conn, err := net.Dial("tcp", c.settings[0].CallerAdvertise)
	must.NoError(t, err)
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "GET /lookup HTTP/1.1\r\nHost: x\r\n")
	go func() {
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(conn, "X-%d: %s\r\n", i, strings.Repeat("y", 1000)); err != nil {
				return
			}
		}
	}()
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	line, err := bufio.NewReader(conn).ReadString('\n')
	must.NoError(t, err)
	must.StrContains(t, line, "431")
	must.True(t, c.lookupSucceeds(c.settings[0].CallerAdvertise))
}

// TestCallers_SlowBody sends one byte of a longer body and then nothing: the
// request is refused with a timeout and as not run.
func TestCallers_SlowBody(t *testing.T) {
	c := startCluster(t)
	conn, err := net.Dial("tcp", c.settings[0].CallerAdvertise)
	must.NoError(t, err)
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Team: alpha\r\nContent-Length: 1000\r\n\r\n{")
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	defer response.Body.Close()
	must.Eq(t, http.StatusRequestTimeout, response.StatusCode)
	must.Eq(t, string(callerapi.NotRun), response.Header.Get(callerapi.HeaderOutcome))
}

// TestCallers_ConnectionFlood opens more connections than the limit: those
// above it are closed at once and those within it keep working.
func TestCallers_ConnectionFlood(t *testing.T) {
	c := startCluster(t, withConnections(32))
	must.True(t, c.lookupSucceeds(c.settings[0].CallerAdvertise))
	var flood []net.Conn
	defer func() {
		for _, conn := range flood {
			_ = conn.Close()
		}
	}()
	for range 100 {
		conn, err := net.Dial("tcp", c.settings[0].CallerAdvertise)
		must.NoError(t, err)
		flood = append(flood, conn)
	}
	closed := 0
	for _, conn := range flood {
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); err != nil && !isTimeout(err) {
			closed++
		}
	}
	must.GreaterEq(t, 100-32, closed)
	must.True(t, c.lookupSucceeds(c.settings[0].CallerAdvertise), must.Sprint("the connection opened before the flood no longer works"))
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// TestCallers_TeamFlood has one team overload the service while another sends
// few requests: all of the other team's requests are answered in time.
func TestCallers_TeamFlood(t *testing.T) {
	c := startCluster(t, withService(fakes.ServiceOptions{Latency: 20 * time.Millisecond, Workers: 16}))
	stop := make(chan struct{})
	var flood sync.WaitGroup
	var flooded atomic.Int64
	for i := range 160 {
		flood.Go(func() {
			for isOpen(stop) {
				c.send(i%3, call{method: http.MethodGet, path: "/lookup?item=1", team: "alpha", deadline: "1s"})
				flooded.Add(1)
			}
		})
	}
	c.eventually(t, "the flood", func() bool { return flooded.Load() > 500 })
	failed := 0
	for range 30 {
		began := time.Now()
		a := c.send(1, call{method: http.MethodGet, path: "/lookup?item=2", team: "beta", deadline: "2s"})
		if a.status != http.StatusOK {
			failed++
			t.Logf("lookup failed after %s: err %v, status %d, body %s", time.Since(began), a.err, a.status, a.body)
		}
	}
	close(stop)
	flood.Wait()
	must.Zero(t, failed)
}
