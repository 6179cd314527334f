package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// command is what the tests replicate: Put sets Key to Value; every command is
// unique by ID.
type command struct {
	ID    int
	Key   string
	Value int
}

// register is a state machine that keeps every applied command.
type register struct {
	mu      sync.Mutex
	oracle  *oracle
	applied []command
	values  map[string]int
}

func (m *register) Apply(index uint64, raw []byte) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c command
	if err := json.Unmarshal(raw, &c); err != nil {
		m.oracle.fail("apply %d: %v", index, err)
	}
	m.oracle.sawApplied(index, c)
	m.applied = append(m.applied, c)
	old := m.values[c.Key]
	m.values[c.Key] = c.Value
	return old
}

func (m *register) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.applied)
}

func (m *register) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applied = nil
	if err := json.Unmarshal(data, &m.applied); err != nil {
		return err
	}
	m.values = map[string]int{}
	for _, c := range m.applied {
		m.values[c.Key] = c.Value
	}
	return nil
}

func (m *register) get(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[key]
}

func (m *register) history() []command {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.applied)
}

// oracle collects what must hold over all replicas and the first violation.
type oracle struct {
	mu      sync.Mutex
	byIndex map[uint64]command
	acked   map[int]command
	err     error
}

func (o *oracle) fail(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failLocked(format, args...)
}

func (o *oracle) failLocked(format string, args ...any) {
	if o.err == nil {
		o.err = fmt.Errorf(format, args...)
	}
}

func (o *oracle) violation() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.err
}

// sawApplied checks that every replica applies the same command at an index.
func (o *oracle) sawApplied(index uint64, c command) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if seen, ok := o.byIndex[index]; ok && seen != c {
		o.failLocked("index %d: applied %+v and %+v", index, seen, c)
	}
	o.byIndex[index] = c
}

func (o *oracle) sawAcked(c command) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked[c.ID] = c
}

// member is one node of a test cluster with its disk.
type member struct {
	id     ident.NodeID
	fs     *disk.Fake
	rate   float64
	faults faults

	mu      sync.Mutex
	node    *Node[int]
	machine *register
}

// running returns the node, or nil while it is down.
func (m *member) running() *Node[int] {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// state returns the state machine of the last start.
func (m *member) state() *register {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine
}

// set replaces the node.
func (m *member) set(node *Node[int], machine *register) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node = node
	if machine != nil {
		m.machine = machine
	}
}

// cluster runs replicas over a network in memory.
type cluster struct {
	net     *network
	oracle  *oracle
	ids     []ident.NodeID
	members map[ident.NodeID]*member
	options Options
}

func newCluster(seed int64, count int, options Options) *cluster {
	c := &cluster{
		net:     newNetwork(seed),
		oracle:  &oracle{byIndex: map[uint64]command{}, acked: map[int]command{}},
		members: map[ident.NodeID]*member{},
		options: options,
	}
	for i := range count {
		id := ident.NodeID(rune('a' + i))
		c.ids = append(c.ids, id)
		c.members[id] = &member{id: id, fs: disk.NewFake(seed + int64(i)), rate: 1, faults: options.faults}
	}
	return c
}

// start runs a node that is down.
func (c *cluster) start(id ident.NodeID) error {
	m := c.members[id]
	if m.node != nil {
		return nil
	}
	options := c.options
	options.ID, options.InitialReplicas, options.FS = id, c.ids, m.fs
	options.Peers = memPeers{net: c.net, self: id}
	options.clockRate = m.rate
	options.faults = m.faults
	machine := &register{oracle: c.oracle, values: map[string]int{}}
	node, err := New(options, machine)
	if err != nil {
		return err
	}
	m.set(node, machine)
	c.net.attach(id, node.Service())
	node.Start()
	return nil
}

// kill ends a node's process at once. Its disk keeps what reached it.
func (c *cluster) kill(id ident.NodeID) {
	m := c.members[id]
	if m.node == nil {
		return
	}
	c.net.attach(id, nil)
	_ = m.node.replica.halt()
	m.set(nil, nil)
	m.fs.Release()
}

// crash takes the power from a node: what was not synced is lost.
func (c *cluster) crash(id ident.NodeID) {
	c.members[id].fs.Crash()
	c.kill(id)
}

// stop ends a node gracefully.
func (c *cluster) stop(id ident.NodeID) {
	if m := c.members[id]; m.node != nil {
		_ = m.node.Stop(context.Background())
		c.kill(id)
	}
}

func (c *cluster) stopAll() {
	for _, id := range c.ids {
		c.kill(id)
	}
}

func (c *cluster) startAll() error {
	for _, id := range c.ids {
		if err := c.start(id); err != nil {
			return err
		}
	}
	return nil
}

// leading returns the node with a valid lease, if any.
func (c *cluster) leading() *member {
	for _, id := range c.ids {
		if m := c.members[id]; m.running() != nil && m.running().Leadership().Leading {
			return m
		}
	}
	return nil
}

// waitLeading waits until a node leads.
func (c *cluster) waitLeading(limit time.Duration) (*member, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if m := c.leading(); m != nil {
			return m, nil
		}
	}
	return nil, errors.New("no replica leads")
}

// put proposes a command at a node.
func (c *cluster) put(ctx context.Context, m *member, cmd command) error {
	raw, err := json.Marshal(cmd)
	if err != nil {
		return err
	}
	node := m.running()
	if node == nil {
		return &NotLeaderError{}
	}
	if _, err = node.Propose(ctx, raw); err == nil {
		c.oracle.sawAcked(cmd)
	}
	return err
}

// repaired reports whether every running incarnation votes and can commit.
func (c *cluster) repaired() bool {
	m := c.leading()
	if m == nil {
		return false
	}
	voters := m.running().Members().Voters()
	if len(voters) != len(c.ids) {
		return false
	}
	for _, voter := range voters {
		other := c.members[voter.ID]
		if other.node == nil || other.node.Self() != voter {
			return false
		}
	}
	return m.running().ReadBarrier(context.Background()) == nil
}
