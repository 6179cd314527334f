package control

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// FleetState is what a leader tells all nodes besides the configuration. It is soft
// state: the next leader gathers it anew.
type FleetState struct {
	Version FleetVersion
	Members []Member
	// Listed is false until the leader has read the platform's list.
	Listed    bool
	Upstreams []Discovered
	Rollouts  []rollout.Record
	// HotTeams have used up most of their quotas.
	HotTeams []ident.TeamName
}

// FleetUpdate brings a node from one version of the spread to a later one.
type FleetUpdate struct {
	// From is the version that the node must have; it is zero for an update that
	// holds the whole spread.
	From FleetVersion
	To   FleetVersion
	// Members and Upstreams hold new and changed entries, MembersGone and
	// UpstreamsGone the names of those that left.
	Members       []Member
	MembersGone   []ident.NodeID
	Listed        bool
	Upstreams     []Discovered
	UpstreamsGone []ident.UpstreamName
	// Rollouts and HotTeams are told whole: there are few.
	Rollouts []rollout.Record
	HotTeams []ident.TeamName
}

// Whole reports whether the update needs no former version.
func (u *FleetUpdate) Whole() bool { return u.From == FleetVersion{} }

// Apply returns the spread that the update makes of s. It leaves s unchanged.
func (u *FleetUpdate) Apply(s FleetState) (FleetState, error) {
	if u.Whole() {
		s = FleetState{}
	} else if u.From != s.Version {
		return s, fmt.Errorf("control: update of the spread from %v, the node has %v", u.From, s.Version)
	}
	return FleetState{
		Version:   u.To,
		Members:   merge(s.Members, u.Members, u.MembersGone, func(m Member) ident.NodeID { return m.ID }),
		Listed:    u.Listed,
		Upstreams: merge(s.Upstreams, u.Upstreams, u.UpstreamsGone, func(d Discovered) ident.UpstreamName { return d.Name }),
		Rollouts:  u.Rollouts,
		HotTeams:  u.HotTeams,
	}, nil
}

// merge returns the entries with those set and without those gone, by name.
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

// versionedMap keeps entries by name with the sequence number of their latest change,
// so that a node is told only what changed since the one that it has.
type versionedMap[K cmp.Ordered, V comparable] struct {
	entries map[K]versionedEntry[V]
	// removed holds the sequence numbers at which names left.
	removed map[K]uint64
}

type versionedEntry[V any] struct {
	value    V
	sequence uint64
}

func newVersionedMap[K cmp.Ordered, V comparable]() versionedMap[K, V] {
	return versionedMap[K, V]{entries: make(map[K]versionedEntry[V]), removed: make(map[K]uint64)}
}

// put notes an entry under a sequence number and reports whether it changed.
func (c *versionedMap[K, V]) put(name K, value V, sequence uint64) bool {
	if known, ok := c.entries[name]; ok && known.value == value {
		return false
	}
	c.entries[name] = versionedEntry[V]{value: value, sequence: sequence}
	delete(c.removed, name)
	return true
}

// remove notes that a name left and reports whether it was there.
func (c *versionedMap[K, V]) remove(name K, sequence uint64) bool {
	if _, ok := c.entries[name]; !ok {
		return false
	}
	delete(c.entries, name)
	c.removed[name] = sequence
	return true
}

// replace makes the entries equal to the given ones.
func (c *versionedMap[K, V]) replace(values map[K]V, sequence uint64) (changed bool) {
	for name := range c.entries {
		if _, kept := values[name]; !kept {
			changed = c.remove(name, sequence) || changed
		}
	}
	for name, value := range values {
		changed = c.put(name, value, sequence) || changed
	}
	return changed
}

// since returns the entries that changed and the names that left after a
// sequence number, in order.
func (c *versionedMap[K, V]) since(sequence uint64) (changed []V, removed []K) {
	for _, name := range slices.Sorted(maps.Keys(c.entries)) {
		if e := c.entries[name]; e.sequence > sequence {
			changed = append(changed, e.value)
		}
	}
	for name, at := range c.removed {
		if at > sequence {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return changed, removed
}

// forgetRemoved drops the names that left.
func (c *versionedMap[K, V]) forgetRemoved() { clear(c.removed) }
