package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// command is the replicated command of the tests: it sets Key to Value. Every
// command has its own ID.
type command struct {
	ID    int
	Key   string
	Value int
}

// registerMachine is a state machine with one register per key. It also keeps
// every applied command.
type registerMachine struct {
	mu      sync.Mutex
	oracle  *oracle
	applied []command
	values  map[string]int
	// latestOnly leaves all commands but the last one out of snapshots, whose size
	// then doesn't depend on the number of commands.
	latestOnly bool
}

func (m *registerMachine) Apply(index uint64, raw []byte) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c command
	if err := json.Unmarshal(raw, &c); err != nil {
		m.oracle.fail("apply %d: %v", index, err)
	}
	m.oracle.recordApplied(index, c)
	m.applied = append(m.applied, c)
	old := m.values[c.Key]
	m.values[c.Key] = c.Value
	return old
}

func (m *registerMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.latestOnly {
		return json.Marshal(m.applied[max(0, len(m.applied)-1):])
	}
	return json.Marshal(m.applied)
}

func (m *registerMachine) Restore(data []byte) error {
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

func (m *registerMachine) get(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[key]
}

func (m *registerMachine) history() []command {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.applied)
}

// oracle records the applied commands by index, the acknowledged commands by ID
// and the first violation of an invariant, over all replicas.
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

// recordApplied records an applied command and checks that no replica applied
// another command at the same index.
func (o *oracle) recordApplied(index uint64, c command) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if seen, ok := o.byIndex[index]; ok && seen != c {
		o.failLocked("index %d: applied %+v and %+v", index, seen, c)
	}
	o.byIndex[index] = c
}

func (o *oracle) recordAcked(c command) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked[c.ID] = c
}

// ackedIDs returns the IDs of the acknowledged commands.
func (o *oracle) ackedIDs() []int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.acked))
}

// member is one node of a test cluster with its disk, which survives restarts.
type member struct {
	id        ident.NodeID
	fs        *disk.Fake
	clockRate float64
	faults    faults
	// joinOnly is set for a node that may not form the cluster.
	joinOnly bool

	mu      sync.Mutex
	node    *Node[int]
	machine *registerMachine

	// removed is set once the node stopped because it was removed.
	removed atomic.Bool
}

// running returns the node, or nil while it is down.
func (m *member) running() *Node[int] {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

// state returns the state machine of the most recent start.
func (m *member) state() *registerMachine {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine
}

// setNode sets the node, or nil while it is down, and the state machine unless
// it is nil.
func (m *member) setNode(node *Node[int], machine *registerMachine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node = node
	if machine != nil {
		m.machine = machine
	}
}

// cluster runs replicas connected by an in-memory network.
type cluster struct {
	net    *network
	oracle *oracle
	// ids lists the nodes that exist now, without those that were replaced. Only
	// the goroutine of the test changes it; all others call current.
	idsMu   sync.Mutex
	ids     []ident.NodeID
	members map[ident.NodeID]*member
	options Options
	// latestOnly is that of the state machines.
	latestOnly bool
}

// current returns ids.
func (c *cluster) current() []ident.NodeID {
	c.idsMu.Lock()
	defer c.idsMu.Unlock()
	return c.ids
}

// setIDs replaces ids. The slice must be a new one.
func (c *cluster) setIDs(ids []ident.NodeID) {
	c.idsMu.Lock()
	defer c.idsMu.Unlock()
	c.ids = ids
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
		c.members[id] = &member{id: id, fs: disk.NewFake(seed + int64(i)), clockRate: 1, faults: options.faults}
	}
	return c
}

// start starts a node if it is down.
func (c *cluster) start(id ident.NodeID) error { return c.startWith(id, New[int]) }

// startAwaitingSpace is start, but waits while the node's disk is full.
func (c *cluster) startAwaitingSpace(id ident.NodeID) error {
	return c.startWith(id, NewAwaitingSpace[int])
}

func (c *cluster) startWith(id ident.NodeID, open func(Options, StateMachine[int]) (*Node[int], error)) error {
	m := c.members[id]
	if m.node != nil {
		return nil
	}
	options := c.options
	options.ID, options.InitialReplicas, options.FS = id, c.initialReplicas(m), m.fs
	options.JoinOnly = m.joinOnly
	options.Peers = memPeers{net: c.net, self: id}
	options.clockRate = m.clockRate
	options.faults = m.faults
	machine := &registerMachine{oracle: c.oracle, values: map[string]int{}, latestOnly: c.latestOnly}
	node, err := open(options, machine)
	if err != nil {
		return err
	}
	m.setNode(node, machine)
	c.net.attach(id, node.Service())
	node.Start()
	return nil
}

// initialReplicas returns the replicas that form the cluster or, for a node that
// joins it, that node and three existing ones.
func (c *cluster) initialReplicas(m *member) []ident.NodeID {
	if !m.joinOnly {
		return c.ids
	}
	initial := slices.Clone(c.ids[:min(3, len(c.ids))])
	if !slices.Contains(initial, m.id) {
		initial = append(initial, m.id)
	}
	return initial
}

// kill stops a node's process without a graceful shutdown. Writes that reached
// the disk are kept, even if they were not synced.
func (c *cluster) kill(id ident.NodeID) {
	m := c.members[id]
	if m.node == nil {
		return
	}
	c.net.attach(id, nil)
	_ = m.node.replica.halt()
	m.setNode(nil, nil)
	m.fs.ExitProcess()
}

// crash simulates a power failure of a node: writes that were not synced are
// lost.
func (c *cluster) crash(id ident.NodeID) {
	c.members[id].fs.Crash()
	c.kill(id)
}

// stopTimeout bounds a graceful stop, as a deployment does.
const stopTimeout = time.Second

// stop stops a node gracefully.
func (c *cluster) stop(id ident.NodeID) {
	if m := c.members[id]; m.node != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = m.node.Stop(ctx)
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

// leading returns a node that leads with a valid lease, or nil.
func (c *cluster) leading() *member {
	for _, id := range c.current() {
		if m := c.members[id]; m.running() != nil && m.running().Leadership().Leading {
			return m
		}
	}
	return nil
}

// waitLeading waits until a node leads, at most limit.
func (c *cluster) waitLeading(limit time.Duration) (*member, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if m := c.leading(); m != nil {
			return m, nil
		}
	}
	return nil, errors.New("no replica leads")
}

// put proposes a command at a node and records it in the oracle once it is
// acknowledged.
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
		c.oracle.recordAcked(cmd)
	}
	return err
}

// fullyRepaired reports whether every node runs and votes under its current
// incarnation, and the leader can confirm a read.
func (c *cluster) fullyRepaired() bool {
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
