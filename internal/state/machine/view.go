package machine

import (
	"fmt"
	"maps"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// maxChanges bounds the remembered changes of members, pools and moves.
const maxChanges = 2048

// ChangedObject names one object that changed: exactly one field is set.
type ChangedObject struct {
	Node ident.NodeID   `cbor:",omitempty"`
	Pool ident.PoolName `cbor:",omitempty"`
	Move ident.MoveName `cbor:",omitempty"`
}

// changeLog numbers the changes of members, pools and moves. Its fields are
// exported for encoding only.
type changeLog struct {
	// Sequence is the number of the latest change.
	Sequence uint64
	// Recent holds the latest changes, the latest last.
	Recent []ChangedObject
}

func (l *changeLog) add(c ChangedObject) {
	l.Sequence++
	l.Recent = append(l.Recent, c)
	if len(l.Recent) >= 2*maxChanges {
		l.Recent = slices.Clone(l.Recent[len(l.Recent)-maxChanges:])
	}
}

// since returns the objects changed after sequence have; ok is false when the
// log doesn't reach back so far.
func (l *changeLog) since(have uint64) (changed []ChangedObject, ok bool) {
	behind := l.Sequence - have
	if have > l.Sequence || behind > uint64(len(l.Recent)) || have == 0 {
		return nil, false
	}
	seen := make(map[ChangedObject]bool, behind)
	for _, c := range l.Recent[uint64(len(l.Recent))-behind:] {
		if !seen[c] {
			seen[c] = true
			changed = append(changed, c)
		}
	}
	return changed, true
}

// View carries a node from one sequence of changes to a later one.
type View struct {
	// Sequence is what the node has after it took the view in.
	Sequence uint64
	// Full views replace all that the node has.
	Full         bool
	Nodes        []lease.Node
	RemovedNodes []ident.NodeID
	Pools        []lease.Pool
	RemovedPools []ident.PoolName
	Moves        []move.Record
	RemovedMoves []ident.MoveName
}

// ViewFrom returns what a node at sequence have needs, or nil.
func (m *Machine) ViewFrom(have uint64) *View {
	m.mu.Lock()
	defer m.mu.Unlock()
	if have == m.changes.Sequence && have != 0 {
		return nil
	}
	changed, ok := m.changes.since(have)
	if !ok {
		return m.fullView()
	}
	view := &View{Sequence: m.changes.Sequence}
	for _, c := range changed {
		m.addChange(view, c)
	}
	return view
}

func (m *Machine) fullView() *View {
	return &View{
		Sequence: m.changes.Sequence,
		Full:     true,
		Nodes:    sortedValues(m.nodes),
		Pools:    sortedValues(m.pools),
		Moves:    sortedValues(m.moves),
	}
}

func (m *Machine) addChange(v *View, c ChangedObject) {
	switch {
	case c.Node != "":
		v.Nodes, v.RemovedNodes = appendObject(m.nodes, c.Node, v.Nodes, v.RemovedNodes)
	case c.Pool != "":
		v.Pools, v.RemovedPools = appendObject(m.pools, c.Pool, v.Pools, v.RemovedPools)
	case c.Move != "":
		v.Moves, v.RemovedMoves = appendObject(m.moves, c.Move, v.Moves, v.RemovedMoves)
	}
}

func appendObject[K ~string, V any](objects map[K]V, name K, current []V, removed []K) ([]V, []K) {
	object, known := objects[name]
	if !known {
		return current, append(removed, name)
	}
	return append(current, object), removed
}

// ViewSequence returns the number of the latest change.
func (m *Machine) ViewSequence() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changes.Sequence
}

// Members is what a node knows of the other nodes, the scheduler leases and
// the moves. The zero value knows nothing.
type Members struct {
	Sequence uint64
	Nodes    map[ident.NodeID]lease.Node
	Pools    map[ident.PoolName]lease.Pool
	Moves    map[ident.MoveName]move.Record
}

// Apply returns the members after a view, or m itself when the view is no
// newer. It leaves m unchanged, so that readers may keep it.
func (m Members) Apply(v *View) (Members, error) {
	if v.Sequence <= m.Sequence {
		return m, nil
	}
	if !v.Full && m.Sequence == 0 {
		return m, fmt.Errorf("machine: view %d is a difference and there is nothing to apply it to", v.Sequence)
	}
	if v.Full {
		m = Members{}
	}
	return Members{
		Sequence: v.Sequence,
		Nodes:    merge(m.Nodes, v.Nodes, v.RemovedNodes, func(n lease.Node) ident.NodeID { return n.ID }),
		Pools:    merge(m.Pools, v.Pools, v.RemovedPools, func(p lease.Pool) ident.PoolName { return p.Pool }),
		Moves:    merge(m.Moves, v.Moves, v.RemovedMoves, func(r move.Record) ident.MoveName { return r.Name }),
	}, nil
}

func merge[K ~string, V any](old map[K]V, set []V, removed []K, name func(V) K) map[K]V {
	next := make(map[K]V, len(old)+len(set))
	maps.Copy(next, old)
	for _, key := range removed {
		delete(next, key)
	}
	for _, object := range set {
		next[name(object)] = object
	}
	return next
}
