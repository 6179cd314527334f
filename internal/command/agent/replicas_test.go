package agent

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// TestReplicas_Remove removes one of three replicas: the leader refuses to
// remove itself, the removed replica no longer votes, and claims still succeed.
func TestReplicas_Remove(t *testing.T) {
	c := startCluster(t)
	leader := c.leader(t)
	remove := func(node int) control.RemoveReplicaReply {
		args := &control.RemoveReplicaArgs{Node: nodeID(node)}
		reply, err := control.Call[control.RemoveReplicaReply](t.Context(), c.nodes[leader].control, "RemoveReplica", args)
		must.NoError(t, err)
		return reply
	}
	must.Eq(t, machine.RefusedHolder, remove(leader).Refusal)
	other := (leader + 1) % len(c.nodes)
	must.Eq(t, machine.Refusal(""), remove(other).Refusal)
	must.Len(t, 2, c.nodes[leader].replica.node.Members().Voters())
	must.Eq(t, machine.RefusedUnknown, remove(other).Refusal)
	f := c.submitWithRetries(leader, newKey(), time.Now().Add(testTimeout))
	checkAtMostOnce(t, c.service, []finalOutcome{f})
	must.Nil(t, f.refusal)
}

// TestReplicas_DrainKeepsQuorum drains a replica while another is down: the
// drain is refused until the other is back.
func TestReplicas_DrainKeepsQuorum(t *testing.T) {
	c := startCluster(t)
	leader := c.leader(t)
	down, other := (leader+1)%3, (leader+2)%3
	c.nodes[down].Kill()
	c.eventually(t, "the dead node's lease to end", func() bool {
		_, live := c.nodes[leader].view.Members().Nodes[nodeID(down)]
		return !live
	})
	drain := func() machine.Refusal {
		args := &control.DrainArgs{Node: nodeID(other)}
		reply, err := control.Call[control.DrainReply](t.Context(), c.nodes[leader].control, "Drain", args)
		must.NoError(t, err)
		return reply.Refusal
	}
	must.Eq(t, machine.RefusedQuorum, drain())
	c.restart(t, down)
	c.eventually(t, "the node to serve again", func() bool { return c.lookupSucceeds(c.settings[down].CallerAdvertise) })
	must.Eq(t, machine.Refusal(""), drain())
}
