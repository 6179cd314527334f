package agent

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
)

// TestSilence_EngineStream makes every open connection to the engines silent in
// the middle of a stream, while new connections work: the stream is resumed on
// a new connection and not run again.
func TestSilence_EngineStream(t *testing.T) {
	c := startCluster(t)
	body := strings.Replace(chatBody, `{"model":"writer-8b","max_tokens":8`, `{"stream":true,"model":"writer-8b","max_tokens":400`, 1)
	answers := make(chan answer, 1)
	go func() {
		answers <- c.send(0, call{method: http.MethodPost, path: "/v1/chat/completions", body: body})
	}()
	c.eventually(t, "the stream to run", func() bool {
		return len(c.engines[0].Runs())+len(c.engines[1].Runs()) > 0
	})
	time.Sleep(100 * time.Millisecond)
	for _, e := range c.engines {
		e.Silence()
	}
	a := <-answers
	must.NoError(t, a.err)
	must.Eq(t, 402, strings.Count(a.body, "data: "))
	must.Eq(t, 1, len(c.engines[0].Runs())+len(c.engines[1].Runs()))
}

// TestSilence_ServiceCall makes the connection of a non-idempotent call silent:
// the call is not run again, and its outcome is read from the service's status
// path.
func TestSilence_ServiceCall(t *testing.T) {
	c := startCluster(t)
	c.service.SetSlow(20)
	key := newKey()
	request := call{method: http.MethodPost, path: "/submit", body: `{"item":1}`, key: key, deadline: "2s"}
	answers := make(chan answer, 1)
	go func() { answers <- c.send(0, request) }()
	c.eventually(t, "the call to run", func() bool { return len(c.submits()) > 0 })
	c.service.Silence()
	c.service.SetSlow(1)
	a := <-answers
	must.NoError(t, a.err)
	must.Eq(t, http.StatusOK, a.status, must.Sprint(a.body))
	again := c.send(1, request)
	must.Eq(t, a.body, again.body)
	must.Len(t, 1, c.submits())
}

// TestSilence_Caller has a caller stop sending in the middle of a request body:
// its connection is closed and the node keeps serving.
func TestSilence_Caller(t *testing.T) {
	c := startCluster(t)
	conn, err := net.Dial("tcp", c.settings[0].CallerAdvertise)
	must.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /lookup HTTP/1.1\r\nHost: x\r\nX-Team: alpha\r\nContent-Length: 10\r\n\r\n{"))
	must.NoError(t, err)
	must.True(t, c.lookupSucceeds(c.settings[0].CallerAdvertise))
	c.eventually(t, "the silent caller's connection to end", func() bool {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := conn.Read(make([]byte, 4096))
		return err != nil && !isTimeout(err)
	})
}

// TestSilence_ReplicaToReplica makes all open connections between replicas
// silent, twice in a row: claims still succeed.
func TestSilence_ReplicaToReplica(t *testing.T) {
	c := startCluster(t)
	for range 2 {
		for _, r := range c.relays {
			r.silenceOpenConnections()
		}
		f := c.submitWithRetries(0, newKey(), time.Now().Add(testTimeout))
		checkAtMostOnce(t, c.service, []finalOutcome{f})
		must.Nil(t, f.refusal)
	}
}

// TestSilence_LeaderReceivesNothing drops everything that is sent to a leading
// replica, but nothing that it sends: the other nodes keep serving.
func TestSilence_LeaderReceivesNothing(t *testing.T) {
	c := startCluster(t)
	victim := c.leader(t)
	c.relays[victim].dropTo.Store(true)
	c.dialers[victim].dropReads.Store(true)
	c.checkOthersServe(t, victim)
	c.dialers[victim].dropReads.Store(false)
	c.relays[victim].heal()
	c.eventually(t, "the node to serve", func() bool { return c.lookupSucceeds(c.settings[victim].CallerAdvertise) })
}

// TestSilence_LeaderUnreachable drops what the other nodes send on connections
// to the leading replica, which can still call them: the leader gives up its
// leadership, and the other nodes keep serving.
func TestSilence_LeaderUnreachable(t *testing.T) {
	c := startCluster(t)
	victim := c.leader(t)
	c.relays[victim].dropTo.Store(true)
	c.checkOthersServe(t, victim)
	c.relays[victim].heal()
	c.eventually(t, "the node to serve", func() bool { return c.lookupSucceeds(c.settings[victim].CallerAdvertise) })
}

// checkOthersServe checks that a request through another node than the victim
// is answered, and that the victim answers a lookup or refuses it as not run.
func (c *cluster) checkOthersServe(t *testing.T, victim int) {
	t.Helper()
	other := (victim + 1) % len(c.nodes)
	f := c.submitWithRetries(other, newKey(), time.Now().Add(testTimeout))
	checkAtMostOnce(t, c.service, []finalOutcome{f})
	must.Nil(t, f.refusal)
	c.eventually(t, "a refusal or an answer at the victim", func() bool {
		a := c.send(victim, call{method: http.MethodGet, path: "/lookup?item=1", deadline: "1s"})
		refusal := refusalOf(a)
		return a.status == http.StatusOK || refusal != nil && refusal.Outcome == callerapi.NotRun
	})
}
