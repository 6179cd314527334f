package control

import (
	"context"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// fault is the outcome that a test selects for one proposal.
type fault string

const (
	faultNone fault = "none"
	// faultCommandLost drops the command, faultReplyLost commits it, and
	// faultCommitDelayed commits it before the next command. In all three cases
	// the proposer gets ErrUncertain.
	faultCommandLost   fault = "lost"
	faultReplyLost     fault = "reply"
	faultCommitDelayed fault = "late"
)

// cluster is a replicated log whose leader is chosen by the test.
type cluster struct {
	log      [][]byte
	delayed  [][]byte
	term     uint64
	leader   *replica
	replicas []*replica
	// fault selects the outcome of each proposal; beforeCommit runs before the
	// proposal commits.
	fault        func() fault
	beforeCommit func()
	// afterLeadershipRead runs after a replica has read its leadership, and can
	// delay the replica until what it read is outdated.
	afterLeadershipRead func(*replica)
	// onAppend is called with every command that is appended to the log.
	onAppend func(*machine.Command)
}

// replica is a state machine and its service, fed from the cluster's log.
type replica struct {
	cluster      *cluster
	id           ident.NodeID
	machine      *machine.Machine
	service      *Service
	appliedIndex int
}

func newCluster(ids ...ident.NodeID) *cluster {
	c := &cluster{
		fault:               func() fault { return faultNone },
		beforeCommit:        func() {},
		afterLeadershipRead: func(*replica) {},
		onAppend:            func(*machine.Command) {},
	}
	for _, id := range ids {
		r := &replica{cluster: c, id: id, machine: machine.New(ledger.DefaultLimits())}
		r.service = NewService(id, r, r.machine)
		c.replicas = append(c.replicas, r)
	}
	c.elect(c.replicas[0])
	return c
}

// elect starts a new term with r as the leader; nil leaves the cluster without
// one.
func (c *cluster) elect(r *replica) {
	c.leader = r
	c.term++
}

func (c *cluster) append(command []byte) {
	c.log = append(c.log, command)
	decoded, err := machine.DecodeCommand(command)
	if err != nil {
		panic(err)
	}
	c.onAppend(decoded)
}

func (c *cluster) flushDelayed() {
	for _, command := range c.delayed {
		c.append(command)
	}
	c.delayed = nil
}

// Propose implements consensus.Proposer.
func (r *replica) Propose(_ context.Context, command []byte) (machine.Result, error) {
	c := r.cluster
	if c.leader != r {
		return machine.Result{}, &consensus.NotLeaderError{}
	}
	term := c.term
	c.beforeCommit()
	kind := c.fault()
	if c.term != term || kind == faultCommandLost {
		return machine.Result{}, consensus.ErrUncertain
	}
	if kind == faultCommitDelayed {
		c.delayed = append(c.delayed, command)
		return machine.Result{}, consensus.ErrUncertain
	}
	c.flushDelayed()
	c.append(command)
	result := r.catchUp()
	if kind == faultReplyLost {
		return machine.Result{}, consensus.ErrUncertain
	}
	return result, nil
}

// catchUp applies the rest of the log and returns the last result.
func (r *replica) catchUp() (result machine.Result) {
	for ; r.appliedIndex < len(r.cluster.log); r.appliedIndex++ {
		result = r.machine.Apply(uint64(r.appliedIndex+1), r.cluster.log[r.appliedIndex])
	}
	return result
}

// ReadBarrier implements consensus.Proposer.
func (r *replica) ReadBarrier(context.Context) error {
	if r.cluster.leader != r {
		return &consensus.NotLeaderError{}
	}
	r.catchUp()
	return nil
}

// Leadership implements consensus.Proposer.
func (r *replica) Leadership() consensus.Leadership {
	l := consensus.Leadership{Term: r.cluster.term, Leading: r.cluster.leader == r}
	if r.cluster.leader != nil {
		l.Leader = r.cluster.leader.id
	}
	r.cluster.afterLeadershipRead(r)
	return l
}
