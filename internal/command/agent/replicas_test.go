package agent

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// TestReplicas_Remove shrinks the replicas to two: the leader refuses to remove
// itself, the removed one votes no more, and claims go on.
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
	f := c.submitUntilFinal(leader, newKey(), time.Now().Add(testTimeout))
	checkOnce(t, c.service, []final{f})
	must.Nil(t, f.refusal)
}
