package agent

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// zonedConfiguration puts the first engine into data centre east, and the second one and the
// service into west.
func (c *cluster) zonedConfiguration() string {
	text := strings.NewReplacer("fast: {", "fast: {zone: east, ", "slow: {", "slow: {zone: west, ", "entries: {", "entries: {zone: west, ")
	return text.Replace(c.configuration())
}

// evacuate orders an evacuation or its end, and repeats the order until all nodes have
// stated the feature level.
func (c *cluster) evacuate(t *testing.T, node int, zone ident.Zone, end bool) {
	t.Helper()
	c.eventually(t, "the order to be accepted", func() bool {
		args := &control.EvacuateArgs{Order: evacuation.Order{Zone: zone, End: end, By: "test"}}
		reply, err := control.Call[control.EvacuateReply](t.Context(), c.nodes[node].control, "Evacuate", args)
		must.True(t, err != nil || reply.Refusal == "" || reply.Refusal == machine.RefusedFeatures, must.Sprint(reply.Refusal))
		return err == nil && reply.Refusal == ""
	})
}

// awaitEvacuated waits until the nodes know whether a data centre is evacuated, and returns
// how long that took.
func (c *cluster) awaitEvacuated(t *testing.T, zone ident.Zone, want bool, nodes ...int) time.Duration {
	t.Helper()
	start := time.Now()
	c.eventually(t, "the order to be in force", func() bool {
		for _, i := range nodes {
			if c.nodes[i].view.Evacuated(zone) != want {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

func (c *cluster) inFlight(zone ident.Zone) (sum int) {
	for _, n := range c.nodes {
		sum += n.inFlight()[zone]
	}
	return sum
}

// TestEvacuation_UnderLoad evacuates the data centre of one of two engines while callers send
// through all nodes. It guards against requests that go there by any path once the order is in
// force, against a stream there that is cut, and against requests that are queued or refused
// with a wrong reason when no data centre is left.
func TestEvacuation_UnderLoad(t *testing.T) {
	c := startCluster(t)
	c.apply(t, c.zonedConfiguration())
	long := strings.Replace(chatBody, `{"model":"writer-8b","max_tokens":8`, `{"stream":true,"model":"writer-8b","max_tokens":400`, 1)
	streams := make(chan answer, 12)
	for i := range cap(streams) {
		go func() {
			streams <- c.send(i%3, call{method: http.MethodPost, path: "/v1/chat/completions", body: long})
		}()
	}
	c.eventually(t, "streams at the engine", func() bool { return c.inFlight("east") > 0 })

	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			for isOpen(stop) {
				a := c.send(i%3, call{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody})
				if a.err != nil || a.status != http.StatusOK {
					t.Errorf("a request beside the evacuation failed: %v, status %d, %s", a.err, a.status, a.body)
				}
			}
		})
	}
	c.evacuate(t, 0, "east", false)
	t.Logf("in force at all nodes %s after the acknowledgement, %d in flight", c.awaitEvacuated(t, "east", true, 0, 1, 2), c.inFlight("east"))
	// A gateway may have asked for its upstream just before the order.
	time.Sleep(100 * time.Millisecond)
	before := len(c.engines[0].Runs())
	for range cap(streams) {
		a := <-streams
		must.NoError(t, a.err)
		must.Eq(t, 402, strings.Count(a.body, "data: "))
	}
	c.eventually(t, "no request in flight", func() bool { return c.inFlight("east") == 0 })
	elsewhere := len(c.engines[1].Runs())
	c.eventually(t, "requests at the other engine", func() bool { return len(c.engines[1].Runs()) > elsewhere+30 })
	must.Eq(t, before, len(c.engines[0].Runs()), must.Sprint("the evacuated engine got requests"))
	close(stop)
	group.Wait()

	c.evacuate(t, 1, "west", false)
	c.awaitEvacuated(t, "west", true, 0, 1, 2)
	service := len(c.service.Runs())
	requests := []call{
		{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody},
		{method: http.MethodGet, path: "/lookup?item=1"},
		{method: http.MethodPost, path: "/submit", body: `{}`, key: newKey()},
	}
	// Under a key the refusal speaks for this send only (docs/design/ledger.md).
	outcomes := []callerapi.Outcome{callerapi.NotRun, callerapi.NotRun, callerapi.NotSent}
	for i, request := range requests {
		asked := time.Now()
		refused := refusalOf(c.send(i, request))
		must.NotNil(t, refused)
		must.Eq(t, callerapi.Reason("no_upstream"), refused.Reason, must.Sprint(request.path))
		must.Eq(t, outcomes[i], refused.Outcome)
		must.Less(t, 2*time.Second, time.Since(asked), must.Sprint("the request was queued"))
	}
	must.Eq(t, service, len(c.service.Runs()))

	c.evacuate(t, 2, "east", true)
	c.evacuate(t, 2, "west", true)
	c.awaitEvacuated(t, "west", false, 0, 1, 2)
	// There are more callers than the other engine has slots.
	again := make(chan struct{})
	load := c.startLoad(12, again)
	c.eventually(t, "requests at the engine again", func() bool { return len(c.engines[0].Runs()) > before })
	close(again)
	load.Wait()
	for i, n := range c.nodes {
		changes := 0
		for _, e := range n.events.Events(timeline.Filter{}) {
			if e.Kind == timeline.KindEvacuation {
				changes++
			}
		}
		must.Eq(t, 4, changes, must.Sprint("node ", i))
	}
}

// TestEvacuation_NodeCutOff orders an evacuation while one node is cut off. It guards against
// a gateway that is back in contact and sends to the data centre before it has learned of the
// evacuation, and against evacuations that are lost when all nodes restart.
func TestEvacuation_NodeCutOff(t *testing.T) {
	c := startCluster(t)
	c.apply(t, c.zonedConfiguration())
	leader := c.leader(t)
	victim, other := (leader+1)%3, (leader+2)%3
	c.evacuate(t, leader, "east", true)
	c.isolate(victim)
	c.eventually(t, "the node's lease to end", func() bool { return !c.nodes[victim].Fresh() })
	c.evacuate(t, other, "east", false)
	c.awaitEvacuated(t, "east", true, leader, other)
	must.False(t, c.nodes[victim].view.Evacuated("east"))

	time.Sleep(100 * time.Millisecond)
	before := len(c.engines[0].Runs())
	c.rejoin(victim)
	served := 0
	c.eventually(t, "the node to serve again", func() bool {
		if c.send(victim, call{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody}).status == http.StatusOK {
			served++
		}
		return served > 20
	})
	must.Eq(t, before, len(c.engines[0].Runs()), must.Sprint("the evacuated engine got requests"))

	for _, n := range c.nodes {
		n.Kill()
	}
	for i := range c.nodes {
		c.restart(t, i)
	}
	c.awaitEvacuated(t, "east", true, 0, 1, 2)
	c.eventually(t, "requests to be served", func() bool {
		return c.send(victim, call{method: http.MethodPost, path: "/v1/chat/completions", body: chatBody}).status == http.StatusOK
	})
	must.Eq(t, before, len(c.engines[0].Runs()))
}
