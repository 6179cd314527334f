package agent

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/disk"
)

// finalOutcome is the last answer to a request after all its retries.
type finalOutcome struct {
	key     string
	answer  answer
	refusal *callerapi.RefusalError
}

// submitWithRetries sends a non-idempotent request until it is answered or
// refused as possibly run. After a lost answer, or a refusal as not run, it
// retries under the same key through the next node.
func (c *cluster) submitWithRetries(node int, key string, end time.Time) finalOutcome {
	f := finalOutcome{key: key}
	for try := 0; time.Now().Before(end); try++ {
		request := call{method: http.MethodPost, path: "/submit", body: `{"key":"` + key + `"}`, key: key, deadline: "3s"}
		f.answer = c.send((node+try)%len(c.nodes), request)
		f.refusal = refusalOf(f.answer)
		if f.answer.err == nil && (f.refusal == nil || f.refusal.Outcome == callerapi.MayHaveRun) {
			return f
		}
		time.Sleep(20 * time.Millisecond)
	}
	return f
}

func refusalOf(a answer) *callerapi.RefusalError {
	var refusal callerapi.Refusal
	if a.err != nil || a.header.Get(callerapi.HeaderOutcome) == "" || json.Unmarshal([]byte(a.body), &refusal) != nil {
		return nil
	}
	return &refusal.Error
}

// checkAtMostOnce fails the test if a request got no final answer, if a key ran
// more than once, or if an answered key never ran.
func checkAtMostOnce(t *testing.T, s *fakes.Service, finals []finalOutcome) {
	t.Helper()
	runs := make(map[string]int)
	for _, r := range s.Runs() {
		runs[r.IdempotencyKey]++
	}
	for _, f := range finals {
		must.NoError(t, f.answer.err, must.Sprintf("key %s got no final answer", f.key))
		must.LessEq(t, 1, runs[f.key], must.Sprintf("key %s ran more than once", f.key))
		if f.refusal == nil {
			must.Eq(t, http.StatusOK, f.answer.status, must.Sprint(f.answer.body))
			must.Eq(t, 1, runs[f.key], must.Sprintf("key %s was answered but never ran", f.key))
		}
	}
}

// TestFault_NodeKilledWithRequestsWaiting kills a node that half of the callers
// use first, while their requests wait and run: no request runs twice, and more
// than half of all requests are answered.
func TestFault_NodeKilledWithRequestsWaiting(t *testing.T) {
	c := startCluster(t, withService(fakes.ServiceOptions{Latency: 30 * time.Millisecond}))
	const callers = 120
	finals := make([]finalOutcome, callers)
	end := time.Now().Add(2 * testTimeout)
	var group sync.WaitGroup
	var begun atomic.Int64
	for i := range callers {
		group.Go(func() {
			begun.Add(1)
			finals[i] = c.submitWithRetries(i%2, newKey(), end)
		})
	}
	c.eventually(t, "requests at the service", func() bool { return len(c.submits()) > 20 })
	c.nodes[0].Kill()
	group.Wait()
	checkAtMostOnce(t, c.service, finals)
	answered := 0
	for _, f := range finals {
		if f.refusal == nil {
			answered++
		}
	}
	must.Greater(t, callers/2, answered)
}

// TestFault_RestartRightAfterDrain restarts a drained node while the lease of
// its previous incarnation is still valid: the new incarnation is listed
// without the drain and serves.
func TestFault_RestartRightAfterDrain(t *testing.T) {
	c := startCluster(t)
	c.nodes[2].Drain()
	<-c.nodes[2].Drained()
	c.restart(t, 2)
	restarted := c.nodes[2]
	c.eventually(t, "the new incarnation to be listed", func() bool {
		node, listed := restarted.view.Members().Nodes[nodeID(2)]
		return listed && node.Incarnation == restarted.incarnation && !node.Draining
	})
	must.True(t, c.lookupSucceeds(c.settings[2].CallerAdvertise))
}

// TestFault_DrainUnderLoad drains a node while callers use it: no request
// fails. Callers fetch the address list again when its time to live has passed.
func TestFault_DrainUnderLoad(t *testing.T) {
	c := startCluster(t)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var sent, failed atomic.Int64
	for range 24 {
		group.Go(func() {
			for isOpen(stop) {
				address := c.fetchAddress(t)
				fetched := time.Now()
				for isOpen(stop) && time.Since(fetched) < c.settings[0].AddressTTL {
					sent.Add(1)
					if !c.lookupSucceeds(address) {
						failed.Add(1)
					}
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	c.nodes[2].Drain()
	select {
	case <-c.nodes[2].Drained():
	case <-time.After(testTimeout):
		t.Fatal("the drain did not end before the test timeout")
	}
	time.Sleep(300 * time.Millisecond)
	close(stop)
	group.Wait()
	must.Positive(t, sent.Load())
	must.Zero(t, failed.Load(), must.Sprintf("failed lookups, of %d sent", sent.Load()))
}

func isOpen(stop chan struct{}) bool {
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

// fetchAddress returns a random address of the list that node 0 returns. A
// draining node still returns the list.
func (c *cluster) fetchAddress(t *testing.T) string {
	list := c.send(0, call{method: http.MethodGet, path: callerapi.PathAddresses})
	var parsed callerapi.AddressList
	if list.err != nil || json.Unmarshal([]byte(list.body), &parsed) != nil || len(parsed.Addresses) == 0 {
		t.Errorf("no addresses: %v %s", list.err, list.body)
		return c.nodes[0].settings.CallerAdvertise
	}
	return parsed.Addresses[int(time.Now().UnixNano())%len(parsed.Addresses)].Address
}

func (c *cluster) lookupSucceeds(address string) bool {
	return lookup(c.client, address, "") == nil
}

// TestFault_UpstreamLeaving lists one of two engines as leaving under load: it
// gets no more work and the other engine continues.
func TestFault_UpstreamLeaving(t *testing.T) {
	c := startCluster(t)
	stop := make(chan struct{})
	var group sync.WaitGroup
	// There are more callers than the fast engine has slots, so that both engines
	// get work.
	for i := range 24 {
		group.Go(func() {
			for isOpen(stop) {
				c.send(i%3, call{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody})
			}
		})
	}
	c.eventually(t, "runs at both engines", func() bool {
		return len(c.engines[0].Runs()) > 5 && len(c.engines[1].Runs()) > 5
	})
	c.platform.SetLeaving(c.engines[0].Addr())
	c.eventually(t, "all nodes to see the engine as leaving", func() bool {
		for _, n := range c.nodes {
			if !n.view.Leaving(c.engines[0].Addr()) {
				return false
			}
		}
		return true
	})
	time.Sleep(50 * time.Millisecond)
	before, other := len(c.engines[0].Runs()), len(c.engines[1].Runs())
	c.eventually(t, "further runs at the other engine", func() bool { return len(c.engines[1].Runs()) > other+20 })
	must.Eq(t, before, len(c.engines[0].Runs()))
	close(stop)
	group.Wait()
}

// TestFault_StreamBroken breaks every stream connection of both engines after
// three events: the stream is resumed with no token lost or duplicated.
func TestFault_StreamBroken(t *testing.T) {
	c := startCluster(t)
	for _, e := range c.engines {
		e.BreakStreamsAfter(3)
	}
	body := `{"stream":true,"model":"writer-8b","max_tokens":12,"prompt":"count"}`
	route := `
  plain: {path: /v1/completions, pool: writer, tier: normal, idempotent: true}
`
	c.apply(t, c.configuration()+route)
	a := c.send(1, call{method: http.MethodPost, path: "/v1/completions", body: body})
	must.NoError(t, a.err)
	must.Eq(t, 14, strings.Count(a.body, "data: "), must.Sprint(a.body))
	must.Eq(t, 1, strings.Count(a.body, "data: [DONE]"))
	must.Eq(t, 1, len(c.engines[0].Runs())+len(c.engines[1].Runs()))
}

// TestFault_EnginesStopMidStream stops both engines in the middle of a stream:
// the caller gets an error event and a broken connection, and no end-of-stream
// marker.
func TestFault_EnginesStopMidStream(t *testing.T) {
	c := startCluster(t)
	body := `{"stream":true,"model":"writer-8b","max_tokens":2000,"messages":[{"role":"user","content":"long"}]}`
	go func() {
		for len(c.engines[0].Runs())+len(c.engines[1].Runs()) == 0 {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		_ = c.engines[0].Close()
		_ = c.engines[1].Close()
	}()
	a := c.send(0, call{method: http.MethodPost, path: "/v1/chat/completions", body: body})
	must.Error(t, a.err)
	must.StrNotContains(t, a.body, "[DONE]")
	must.StrContains(t, a.body, "event: error")
	must.StrContains(t, a.body, string(callerapi.MayHaveRun))
}

// TestFault_AnswersCrossed has upstreams answer with another request's answer
// and ID: the caller gets a refusal as possibly run.
func TestFault_AnswersCrossed(t *testing.T) {
	c := startCluster(t)
	c.service.CrossAnswers(true)
	c.engines[0].CrossAnswers(true)
	c.engines[1].CrossAnswers(true)
	for _, r := range []call{
		{method: http.MethodGet, path: "/lookup?item=1"},
		{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody},
	} {
		a := c.send(0, r)
		must.NoError(t, a.err)
		must.Eq(t, http.StatusBadGateway, a.status, must.Sprint(a.body))
		refusal := refusalOf(a)
		must.Eq(t, callerapi.ReasonAnswerMismatch, refusal.Reason)
		must.Eq(t, callerapi.MayHaveRun, refusal.Outcome)
	}
}

// TestFault_NodeConnectionsSilent makes every open connection between nodes
// silent for good, while new connections work: every node serves again.
func TestFault_NodeConnectionsSilent(t *testing.T) {
	c := startCluster(t)
	must.True(t, c.lookupSucceeds(c.settings[0].CallerAdvertise))
	for _, r := range c.relays {
		r.silenceOpenConnections()
	}
	c.eventually(t, "every node to serve again", func() bool {
		for i := range c.nodes {
			if a := c.send(i, call{method: http.MethodGet, path: "/lookup?item=1", deadline: "1s"}); a.status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestFault_NodePartitioned partitions the leading replica from the other
// nodes: it refuses requests as not run, and the others drop it from their
// address lists and serve. After the partition it serves again.
func TestFault_NodePartitioned(t *testing.T) {
	c := startCluster(t)
	victim := c.leader(t)
	c.isolate(victim)
	other := (victim + 1) % len(c.nodes)
	c.eventually(t, "the partitioned node to refuse requests", func() bool {
		a := c.send(victim, call{method: http.MethodGet, path: "/lookup?item=1", deadline: "500ms"})
		refusal := refusalOf(a)
		return refusal != nil && refusal.Outcome == callerapi.NotRun && len(refusal.Addresses) > 0
	})
	c.eventually(t, "the other nodes to drop it from their lists and to serve", func() bool {
		list := c.send(other, call{method: http.MethodGet, path: callerapi.PathAddresses})
		a := c.send(other, call{method: http.MethodGet, path: "/lookup?item=1", deadline: "1s"})
		return !strings.Contains(list.body, c.settings[victim].CallerAdvertise) && a.status == http.StatusOK
	})
	submitted := c.submitWithRetries(other, newKey(), time.Now().Add(testTimeout))
	checkAtMostOnce(t, c.service, []finalOutcome{submitted})
	c.rejoin(victim)
	c.eventually(t, "the node to serve again", func() bool {
		return c.send(victim, call{method: http.MethodGet, path: "/lookup?item=1", deadline: "1s"}).status == http.StatusOK
	})
}

// leader returns the index of the leading replica.
func (c *cluster) leader(t testing.TB) int {
	t.Helper()
	found := -1
	c.eventually(t, "a leader", func() bool {
		for i, n := range c.nodes {
			if n.replica.node.Leadership().Leading {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// isolate drops all bytes sent to the node and all that it sends to other
// nodes.
func (c *cluster) isolate(victim int) {
	c.relays[victim].blackhole()
	c.dialers[victim].dropWrites.Store(true)
}

func (c *cluster) rejoin(victim int) {
	c.relays[victim].heal()
	c.dialers[victim].dropWrites.Store(false)
}

// TestFault_SecondReplicaLostAfterRepair loses a replica with its disk, waits
// until it is repaired, and loses another: no acknowledged request is lost.
func TestFault_SecondReplicaLostAfterRepair(t *testing.T) {
	c := startCluster(t)
	first := c.submitWithRetries(0, newKey(), time.Now().Add(testTimeout))
	checkAtMostOnce(t, c.service, []finalOutcome{first})
	c.nodes[2].Kill()
	c.disks[2] = disk.NewFake(20)
	c.restart(t, 2)
	self := c.nodes[2].replica.node.Self()
	c.eventually(t, "the repaired replica to vote", func() bool {
		for _, n := range c.nodes[:2] {
			for _, v := range n.replica.node.Members().Voters() {
				if v == self {
					return true
				}
			}
		}
		return false
	})
	c.nodes[0].Kill()
	again := c.submitWithRetries(1, first.key, time.Now().Add(testTimeout))
	checkAtMostOnce(t, c.service, []finalOutcome{again})
	must.Eq(t, first.answer.body, again.answer.body)
	fresh := c.submitWithRetries(2, newKey(), time.Now().Add(testTimeout))
	checkAtMostOnce(t, c.service, []finalOutcome{fresh})
}

// TestFault_RestartAfterManyChanges restarts all nodes after 300 configuration
// changes: the last one is in force at every node.
func TestFault_RestartAfterManyChanges(t *testing.T) {
	c := startCluster(t)
	_, revision := c.nodes[0].view.Config()
	for i := range 300 {
		text := strings.Replace(c.configuration(), "shares: 2", fmt.Sprintf("shares: %d", 3+i%5), 1)
		args := applyArgs(text, revision)
		args.Wait = time.Millisecond
		reply, err := control.Call[control.ApplyConfigReply](t.Context(), c.nodes[i%3].control, "ApplyConfig", args)
		must.NoError(t, err)
		must.Eq(t, config.VerdictAccepted, reply.Outcome.Verdict)
		revision = reply.Outcome.Revision
	}
	for _, n := range c.nodes {
		n.Kill()
	}
	for i := range c.nodes {
		c.restart(t, i)
	}
	c.eventually(t, "the last revision at every node", func() bool {
		for _, n := range c.nodes {
			if _, have := n.view.Config(); have != revision {
				return false
			}
		}
		return true
	})
	c.eventually(t, "a node to serve", func() bool { return c.lookupSucceeds(c.settings[1].CallerAdvertise) })
}

// TestFault_ConcurrentApplies sends four concurrent applies with the same base
// revision: one is accepted and the others are conflicts.
func TestFault_ConcurrentApplies(t *testing.T) {
	c := startCluster(t)
	_, base := c.nodes[0].view.Config()
	var group sync.WaitGroup
	var accepted, conflicts atomic.Int64
	for i := range 4 {
		group.Go(func() {
			args := applyArgs(strings.Replace(c.configuration(), "shares: 2", "shares: 3", 1), base)
			reply, err := control.Call[control.ApplyConfigReply](t.Context(), c.nodes[i%3].control, "ApplyConfig", args)
			if err != nil {
				t.Errorf("apply: %v", err)
				return
			}
			if reply.Outcome.Verdict == config.VerdictAccepted {
				accepted.Add(1)
			} else {
				conflicts.Add(1)
			}
		})
	}
	group.Wait()
	must.Eq(t, 1, accepted.Load())
	must.Eq(t, 3, conflicts.Load())
}

// TestFault_ApplyResent sends the same apply three times, as an operator does
// after a lost answer: all get the first outcome, and only one revision is
// created.
func TestFault_ApplyResent(t *testing.T) {
	c := startCluster(t)
	_, base := c.nodes[0].view.Config()
	args := applyArgs(strings.Replace(c.configuration(), "shares: 2", "shares: 3", 1), base)
	var outcomes []config.Outcome
	for i := range c.nodes {
		reply, err := control.Call[control.ApplyConfigReply](t.Context(), c.nodes[i].control, "ApplyConfig", args)
		must.NoError(t, err)
		outcomes = append(outcomes, reply.Outcome)
	}
	must.Eq(t, config.VerdictAccepted, outcomes[0].Verdict)
	must.Eq(t, base+1, outcomes[0].Revision)
	must.Eq(t, outcomes[0], outcomes[1])
	must.Eq(t, outcomes[0], outcomes[2])
}

// TestFault_SeveralFaultsAtOnce makes all connections between nodes silent,
// kills a node, has the service lose answers and lists an engine as leaving,
// while callers submit requests: no request runs twice.
func TestFault_SeveralFaultsAtOnce(t *testing.T) {
	c := startCluster(t, withService(fakes.ServiceOptions{Latency: 20 * time.Millisecond}))
	const callers = 90
	finals := make([]finalOutcome, callers)
	end := time.Now().Add(2 * testTimeout)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			finals[i] = c.submitWithRetries(i, newKey(), end)
		})
	}
	c.eventually(t, "requests at the service", func() bool { return len(c.submits()) > 10 })
	for _, r := range c.relays {
		r.silenceOpenConnections()
	}
	c.service.SetFail(fakes.FailAnswerLost)
	c.platform.SetLeaving(c.engines[0].Addr())
	c.nodes[1].Kill()
	time.Sleep(300 * time.Millisecond)
	c.service.SetFail(fakes.FailNone)
	group.Wait()
	checkAtMostOnce(t, c.service, finals)
}
