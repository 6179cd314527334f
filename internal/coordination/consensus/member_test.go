package consensus

import (
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/wal"
)

func TestNode_RemovedReplicaNeverReturns(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 3)
		l := mustLead(t, c)
		var removed *member
		for _, id := range c.ids {
			if id != l.id {
				removed = c.members[id]
			}
		}
		replica := removed.node.Self()
		must.NoError(t, l.node.Remove(t.Context(), replica))
		must.ErrorIs(t, l.node.AddLearner(t.Context(), replica), ErrRemoved)
		must.Len(t, 2, l.node.Members().Voters())
		mustPut(t, c, 4, 6)
	})
}

func TestNode_MissingFilePreventsStart(t *testing.T) {
	for _, lost := range []string{identityFile, walDir + "/0000000000000001.wal"} {
		runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
			mustPut(t, c, 1, 3)
			c.kill("b")
			must.NoError(t, c.members["b"].fs.Remove(lost))
			must.ErrorIs(t, c.start("b"), ErrDataLost)
		})
	}
}

func TestNode_DamagedLogPreventsStart(t *testing.T) {
	runCluster(t, 3, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 3)
		c.kill("b")
		must.NoError(t, c.members["b"].fs.Corrupt(walDir+"/0000000000000001.wal", 20))
		var damage *wal.DamageError
		must.True(t, errors.As(c.start("b"), &damage))
	})
}

// TestNode_LaggingReplicaRestoresSnapshot checks that a replica whose missing
// entries were compacted is restored from a snapshot, and that it can restart
// from that snapshot.
func TestNode_LaggingReplicaRestoresSnapshot(t *testing.T) {
	runCluster(t, 3, Options{SnapshotEntries: 500}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 3)
		l := mustLead(t, c)
		lagging := c.ids[0]
		if lagging == l.id {
			lagging = c.ids[1]
		}
		c.crash(lagging)
		mustPut(t, c, 4, 3000)
		must.Less(t, 3000, l.node.Status().LogEntries)
		must.NoError(t, c.start(lagging))
		time.Sleep(2 * time.Second)
		must.Len(t, 3000, c.members[lagging].machine.history())
		c.crash(lagging)
		must.NoError(t, c.start(lagging))
		must.Positive(t, len(c.members[lagging].machine.history()))
	})
}

// TestNode_StoppedNodeRejectsProposals checks that a stopped node answers
// NotLeaderError, which promises that the command never commits, rather than
// ErrUncertain.
func TestNode_StoppedNodeRejectsProposals(t *testing.T) {
	runCluster(t, 1, Options{}, func(t *testing.T, c *cluster) {
		mustPut(t, c, 1, 1)
		node := mustLead(t, c).node
		c.stop("a")
		_, err := node.Propose(t.Context(), []byte("{}"))
		var notLeader *NotLeaderError
		must.True(t, errors.As(err, &notLeader))
		must.False(t, node.Leadership().Leading)
	})
}

// TestService_OverRPC checks that every request and reply can be sent with
// net/rpc and gob.
func TestService_OverRPC(t *testing.T) {
	c := newCluster(1, 1, Options{})
	must.NoError(t, c.start("a"))
	defer c.stopAll()
	server := rpc.NewServer()
	must.NoError(t, server.RegisterName("Consensus", c.members["a"].node.Service()))
	near, far := net.Pipe()
	go server.ServeConn(far)
	client := rpc.NewClient(near)
	defer client.Close()
	var probe ProbeReply
	for !probe.Formed {
		must.NoError(t, client.Call("Consensus.Probe", &ProbeRequest{}, &probe))
	}
	header := Header{Cluster: probe.Genesis.Cluster, From: Replica{ID: "x", Incarnation: 1}, To: probe.Replica}
	must.NoError(t, client.Call("Consensus.Vote", &VoteRequest{Header: header, Pre: true}, &VoteReply{}))
	var appended AppendReply
	entries := []wal.Entry{{Index: 900, Term: 1, Data: []byte("x")}}
	must.NoError(t, client.Call("Consensus.Append", &AppendRequest{Header: header, PrevIndex: 899, Entries: entries}, &appended))
	must.False(t, appended.Success)
	must.NoError(t, client.Call("Consensus.Snapshot", &SnapshotRequest{Header: header, Data: []byte("x")}, &SnapshotReply{}))
	must.NoError(t, client.Call("Consensus.Elect", &ElectRequest{Header: header}, &ElectReply{}))
	join := &JoinRequest{Cluster: header.Cluster, Replica: Replica{ID: "a", Incarnation: 99}}
	must.Error(t, client.Call("Consensus.Join", join, &JoinReply{}))
	header.To.Incarnation++
	must.Error(t, client.Call("Consensus.Vote", &VoteRequest{Header: header}, &VoteReply{}))
}
