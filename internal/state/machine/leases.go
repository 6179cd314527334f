package machine

import (
	"maps"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// grantNode grants a lease or replaces the attributes of a live one. A lease of
// another incarnation must have been revoked first.
func (m *Machine) grantNode(n lease.Node) Result {
	old, leased := m.nodes[n.ID]
	if leased && old.Incarnation != n.Incarnation {
		return Result{Refusal: RefusedIncarnation}
	}
	if leased && old == n {
		return Result{}
	}
	m.nodes[n.ID] = n
	m.changes.add(ChangedObject{Node: n.ID})
	return Result{}
}

// revokeNode ends the lease of one incarnation of a node. The ledger marks its
// running claims as lost, since their requests may or may not have been executed,
// and its scheduler leases are released.
func (m *Machine) revokeNode(r RevokedNode) {
	node, leased := m.nodes[r.ID]
	if !leased || node.Incarnation != r.Incarnation {
		return
	}
	delete(m.nodes, r.ID)
	m.changes.add(ChangedObject{Node: r.ID})
	m.ledger.Revoke(r.ID, r.Incarnation)
	for _, name := range slices.Sorted(maps.Keys(m.pools)) {
		m.releasePool(m.pools[name], r.ID)
	}
}

// releasePool removes a node, whose own lease has ended, as holder or former holder
// of a scheduler lease.
func (m *Machine) releasePool(p lease.Pool, id ident.NodeID) {
	changed := false
	if p.Former == id {
		p.Former, p.FormerIncarnation = "", 0
		changed = true
	}
	if p.Holder == id {
		p.Holder, p.HolderIncarnation = "", 0
		p.Epoch = m.nextEpoch()
		changed = true
	}
	if changed {
		m.setPool(p)
	}
}

func (m *Machine) setPool(p lease.Pool) {
	m.changes.add(ChangedObject{Pool: p.Pool})
	p.Sequence = m.changes.Sequence
	m.pools[p.Pool] = p
}

// grantPools changes scheduler leases. Each change is accepted or refused
// independently of the others; the result holds the last refusal.
func (m *Machine) grantPools(changes []PoolChange) Result {
	var result Result
	for _, change := range changes {
		if refusal := m.grantPool(change); refusal != "" {
			result.Refusal = refusal
		}
	}
	return result
}

func (m *Machine) grantPool(c PoolChange) Refusal {
	p := m.pools[c.Pool]
	if p.Epoch != c.Epoch {
		return RefusedEpoch
	}
	if c.Drop {
		delete(m.pools, c.Pool)
		m.changes.add(ChangedObject{Pool: c.Pool})
		return ""
	}
	if c.Holder == "" {
		return m.revokePool(p)
	}
	node, leased := m.nodes[c.Holder]
	if !leased || node.Incarnation != c.HolderIncarnation || p.Holder != "" {
		return RefusedHolder
	}
	m.setPool(lease.Pool{
		Pool: c.Pool, Holder: c.Holder, HolderIncarnation: c.HolderIncarnation, Epoch: m.nextEpoch(),
	})
	return ""
}

func (m *Machine) nextEpoch() ident.Epoch {
	m.epoch++
	return m.epoch
}

// revokePool revokes a lease from a live holder. The holder is recorded as Former
// until it has definitely stopped acting on the lease.
func (m *Machine) revokePool(p lease.Pool) Refusal {
	if p.Holder == "" {
		return RefusedHolder
	}
	m.setPool(lease.Pool{
		Pool: p.Pool, Epoch: m.nextEpoch(),
		Former: p.Holder, FormerIncarnation: p.HolderIncarnation,
	})
	return ""
}

// Node returns the live lease of a node.
func (m *Machine) Node(id ident.NodeID) (lease.Node, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n, leased := m.nodes[id]
	return n, leased
}

// Nodes returns all live node leases in the order of their IDs.
func (m *Machine) Nodes() []lease.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sortedValues(m.nodes)
}

// Pool returns the scheduler lease of a pool.
func (m *Machine) Pool(name ident.PoolName) (lease.Pool, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, known := m.pools[name]
	return p, known
}

// Pools returns all scheduler leases in the order of their pools' names.
func (m *Machine) Pools() []lease.Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return sortedValues(m.pools)
}

func sortedValues[K ~string, V any](objects map[K]V) []V {
	values := make([]V, 0, len(objects))
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		values = append(values, objects[name])
	}
	return values
}
