package machine

import (
	"fmt"
	"maps"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// minKeptChanges is the number of changes to nodes, pools, moves and evacuations to which the
// changeLog is trimmed when it reaches twice as many. A node that lags further than
// the log reaches gets a full view.
const minKeptChanges = 2048

// ChangedObject identifies an object that changed. Exactly one field is set.
type ChangedObject struct {
	Node ident.NodeID   `cbor:",omitempty"`
	Pool ident.PoolName `cbor:",omitempty"`
	Move ident.MoveName `cbor:",omitempty"`
	// Evacuation is the data centre whose evacuation started or ended.
	Evacuation ident.Zone `cbor:",omitempty"`
}

// changeLog records the latest changes to nodes, pools, moves and evacuations and numbers
// them. Its fields are exported only so that they are encoded.
type changeLog struct {
	// Sequence is the number of the latest change.
	Sequence uint64
	// Recent holds the latest changes, oldest first.
	Recent []ChangedObject
}

func (l *changeLog) add(c ChangedObject) {
	l.Sequence++
	l.Recent = append(l.Recent, c)
	if len(l.Recent) >= 2*minKeptChanges {
		l.Recent = slices.Clone(l.Recent[len(l.Recent)-minKeptChanges:])
	}
}

// since returns the objects that changed after change number have, without
// duplicates. It returns ok == false if have is 0, lies ahead of the log, or is older
// than the log reaches.
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

// View brings the Members of a node up to date.
type View struct {
	// Sequence is the number of the latest change that the view includes.
	Sequence uint64
	// Full marks a view that replaces the whole state of the node. Other views hold
	// only the objects that changed.
	Full         bool
	Nodes        []lease.Node
	RemovedNodes []ident.NodeID
	Pools        []lease.Pool
	RemovedPools []ident.PoolName
	Moves        []move.Record
	RemovedMoves []ident.MoveName
	// Evacuations and RemovedEvacuations are unknown to nodes of builds below feature
	// level 1. They are empty until all nodes support that level.
	Evacuations        []evacuation.Record
	RemovedEvacuations []ident.Zone
}

// ViewFrom returns the view for a node that has applied the changes up to number
// have, or nil if the node is up to date.
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

		Evacuations: m.evacuations,
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
	case c.Evacuation != "":
		if r, evacuated := evacuation.Find(m.evacuations, c.Evacuation); evacuated {
			v.Evacuations = append(v.Evacuations, r)
		} else {
			v.RemovedEvacuations = append(v.RemovedEvacuations, c.Evacuation)
		}
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

// Members is a node's copy of the node leases, the scheduler leases, the move records
// and the evacuations. The zero value is empty.
type Members struct {
	Sequence uint64
	Nodes    map[ident.NodeID]lease.Node
	Pools    map[ident.PoolName]lease.Pool
	Moves    map[ident.MoveName]move.Record
	// Evacuations holds the evacuated data centres.
	Evacuations map[ident.Zone]evacuation.Record
}

// Apply returns m updated by a view, or m itself if the view is not newer. It doesn't
// modify m, so that concurrent readers can keep using it. It returns an error if the
// view is not full and m is empty.
func (m Members) Apply(v *View) (Members, error) {
	if v.Sequence <= m.Sequence {
		return m, nil
	}
	if !v.Full && m.Sequence == 0 {
		return m, fmt.Errorf("machine: view %d is incremental, but no full view was applied before", v.Sequence)
	}
	if v.Full {
		m = Members{}
	}
	return Members{
		Sequence: v.Sequence,
		Nodes:    merge(m.Nodes, v.Nodes, v.RemovedNodes, func(n lease.Node) ident.NodeID { return n.ID }),
		Pools:    merge(m.Pools, v.Pools, v.RemovedPools, func(p lease.Pool) ident.PoolName { return p.Pool }),
		Moves:    merge(m.Moves, v.Moves, v.RemovedMoves, func(r move.Record) ident.MoveName { return r.Name }),

		Evacuations: merge(m.Evacuations, v.Evacuations, v.RemovedEvacuations, func(r evacuation.Record) ident.Zone { return r.Zone }),
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
