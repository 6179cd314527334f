package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// FleetState is what a leader distributes to all nodes besides the configuration.
// It is soft state: a new leader starts from the copy that it has as a follower.
type FleetState struct {
	Version FleetVersion
	Members []Member
	// Listed is false until a leader has read the platform's complete list.
	Listed    bool
	Upstreams []Discovered
	Rollouts  []rollout.Record
	// HotTeams are the teams that have used most of their quotas.
	HotTeams []ident.TeamName
	// Poison holds the records of refused prompt parts and requests.
	Poison []poison.Record
	// Ends holds the latest ends of upstreams under requests.
	Ends []poison.End
	// Evacuations holds the evacuated data centres, in order.
	Evacuations []evacuation.Record
}

// FleetUpdate updates a node from one version of the fleet state to a later one.
type FleetUpdate struct {
	// From is the version that the node must have; zero for a full update.
	From FleetVersion
	To   FleetVersion
	// Members and Upstreams hold new and changed entries, MembersGone and
	// UpstreamsGone the names of the removed ones.
	Members       []Member
	MembersGone   []ident.NodeID
	Listed        bool
	Upstreams     []Discovered
	UpstreamsGone []ident.UpstreamName
	// Rollouts, HotTeams, Poison and Evacuations are always complete, because there are
	// few.
	Rollouts    []rollout.Record
	HotTeams    []ident.TeamName
	Poison      []poison.Record
	Evacuations []evacuation.Record
	// Ends holds new entries, and EndsGone the keys of those that were dropped.
	Ends     []poison.End
	EndsGone []string
}

// Full reports whether this is a full update, which applies to any version.
func (u *FleetUpdate) Full() bool { return u.From == FleetVersion{} }

// Apply returns the fleet state after the update and leaves s unchanged. It fails
// if s is not at version From.
func (u *FleetUpdate) Apply(s FleetState) (FleetState, error) {
	if u.Full() {
		s = FleetState{}
	} else if u.From != s.Version {
		return s, fmt.Errorf("control: fleet update from version %v does not apply to version %v", u.From, s.Version)
	}
	return FleetState{
		Version:   u.To,
		Members:   merge(s.Members, u.Members, u.MembersGone, func(m Member) ident.NodeID { return m.ID }),
		Listed:    u.Listed,
		Upstreams: merge(s.Upstreams, u.Upstreams, u.UpstreamsGone, func(d Discovered) ident.UpstreamName { return d.Name }),
		Rollouts:  u.Rollouts,
		HotTeams:  u.HotTeams,
		Poison:    u.Poison,
		Ends:      merge(s.Ends, u.Ends, u.EndsGone, poison.End.Key),

		Evacuations: u.Evacuations,
	}, nil
}

// merge returns the entries with the changed ones set and the removed names left
// out, sorted by name.
func merge[K cmp.Ordered, V any](entries, changed []V, removed []K, name func(V) K) []V {
	if len(changed) == 0 && len(removed) == 0 {
		return entries
	}
	byName := make(map[K]V, len(entries)+len(changed))
	for _, v := range entries {
		byName[name(v)] = v
	}
	for _, k := range removed {
		delete(byName, k)
	}
	for _, v := range changed {
		byName[name(v)] = v
	}
	merged := make([]V, 0, len(byName))
	for _, k := range slices.Sorted(maps.Keys(byName)) {
		merged = append(merged, byName[k])
	}
	return merged
}

// versionedMap holds entries by name, each with the sequence number of its latest
// change, so that a node is sent only the changes after the version that it has.
type versionedMap[K cmp.Ordered, V any] struct {
	equal   func(a, b V) bool
	entries map[K]versionedEntry[V]
	// removed holds the sequence numbers at which names were removed.
	removed map[K]uint64
}

type versionedEntry[V any] struct {
	value    V
	sequence uint64
}

func newVersionedMap[K cmp.Ordered, V any](equal func(a, b V) bool) versionedMap[K, V] {
	return versionedMap[K, V]{equal: equal, entries: make(map[K]versionedEntry[V]), removed: make(map[K]uint64)}
}

// isSame compares entries that are comparable.
func isSame[V comparable](a, b V) bool { return a == b }

// put stores an entry under a sequence number and reports whether it changed.
func (m *versionedMap[K, V]) put(name K, value V, sequence uint64) bool {
	if known, ok := m.entries[name]; ok && m.equal(known.value, value) {
		return false
	}
	m.entries[name] = versionedEntry[V]{value: value, sequence: sequence}
	delete(m.removed, name)
	return true
}

// remove removes a name and reports whether it was present.
func (m *versionedMap[K, V]) remove(name K, sequence uint64) bool {
	if _, ok := m.entries[name]; !ok {
		return false
	}
	delete(m.entries, name)
	m.removed[name] = sequence
	return true
}

// replace makes the entries equal to the given ones and reports whether any
// changed.
func (m *versionedMap[K, V]) replace(values map[K]V, sequence uint64) (changed bool) {
	for name := range m.entries {
		if _, kept := values[name]; !kept {
			changed = m.remove(name, sequence) || changed
		}
	}
	for name, value := range values {
		changed = m.put(name, value, sequence) || changed
	}
	return changed
}

// since returns the entries that changed and the names that were removed after a
// sequence number, sorted by name.
func (m *versionedMap[K, V]) since(sequence uint64) (changed []V, removed []K) {
	for _, name := range slices.Sorted(maps.Keys(m.entries)) {
		if e := m.entries[name]; e.sequence > sequence {
			changed = append(changed, e.value)
		}
	}
	for name, at := range m.removed {
		if at > sequence {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// forgetRemoved drops the record of removed names.
func (m *versionedMap[K, V]) forgetRemoved() { clear(m.removed) }
