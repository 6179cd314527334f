package machine

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
	"github.com/flamingohaven/flamingohaven/internal/state/rollout"
)

// snapshotFormat is the version of the snapshot encoding.
const snapshotFormat = 1

// image is the encoded form of the machine's state.
type image struct {
	Format  int
	Index   uint64
	Clock   time.Time
	Begin   Begin
	Config  *config.Store
	Ledger  ledger.State
	Nodes   []lease.Node
	Pools   []lease.Pool
	Moves   []move.Record
	Orders  []Order
	Epoch   ident.Epoch
	Fencing FencingNumber
	Changes changeLog

	Rollouts      []rollout.Record `cbor:",omitempty"`
	RolloutNumber uint64           `cbor:",omitempty"`
	HotTeams      []ident.TeamName `cbor:",omitempty"`
	Poison        []poison.Record  `cbor:",omitempty"`

	Evacuations      []evacuation.Record `cbor:",omitempty"`
	EvacuationNumber uint64              `cbor:",omitempty"`
	Features         uint32              `cbor:",omitempty"`
}

// Snapshot returns the encoded state after the last applied command. The state is
// copied while the lock is held and encoded after its release.
func (m *Machine) Snapshot() ([]byte, error) {
	data, err := encoding.Marshal(m.image())
	if err != nil {
		return nil, fmt.Errorf("machine: encode snapshot: %w", err)
	}
	return data, nil
}

// image returns the state for encoding. It copies what Apply modifies in place. The
// maps of configurations, answers and the elements of append-only lists are never
// modified and are shared with the machine.
func (m *Machine) image() *image {
	m.mu.Lock()
	defer m.mu.Unlock()
	store := *m.config
	return &image{
		Format: snapshotFormat, Index: m.index, Clock: m.clock, Begin: m.begin,
		Config: &store, Ledger: m.ledger.State(),
		Nodes: sortedValues(m.nodes), Pools: sortedValues(m.pools), Moves: sortedValues(m.moves),
		Orders: slices.Clone(m.orders), Epoch: m.epoch, Fencing: m.fencing, Changes: m.changes,
		Rollouts: sortedValues(m.rollouts), RolloutNumber: m.rolloutNumber, HotTeams: m.hotTeams, Poison: m.poison,
		Evacuations: m.evacuations, EvacuationNumber: m.evacuationNumber, Features: m.features,
	}
}

// maxSnapshotElements is the maximum number of elements in one list or map of a
// snapshot.
const maxSnapshotElements = 16 << 20

var snapshotDecoding = newSnapshotDecoding()

func newSnapshotDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxSnapshotElements,
		MaxMapPairs:      maxSnapshotElements,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("machine: decoding options: %v", err))
	}
	return mode
}

// Restore replaces the state by that of a snapshot. If it returns an error, the
// state is unchanged.
func (m *Machine) Restore(snapshot []byte) error {
	var s image
	if err := snapshotDecoding.Unmarshal(snapshot, &s); err != nil {
		return fmt.Errorf("machine: decode snapshot: %w", err)
	}
	if s.Format != snapshotFormat || s.Config == nil {
		return fmt.Errorf("machine: snapshot has format %d, want %d, or lacks a configuration", s.Format, snapshotFormat)
	}
	if got := s.Config.Config.Digest(); got != s.Config.Digest {
		return fmt.Errorf("machine: snapshot of revision %d has digest %s, want %s", s.Config.Revision, got, s.Config.Digest)
	}
	restored, err := ledger.FromState(s.Ledger, m.limits)
	if err != nil {
		return fmt.Errorf("machine: restore ledger: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index, m.clock, m.begin = s.Index, s.Clock, s.Begin
	m.config, m.ledger = s.Config, restored
	m.nodes = indexBy(s.Nodes, func(n lease.Node) ident.NodeID { return n.ID })
	m.pools = indexBy(s.Pools, func(p lease.Pool) ident.PoolName { return p.Pool })
	m.moves = indexBy(s.Moves, func(r move.Record) ident.MoveName { return r.Name })
	m.rollouts = indexBy(s.Rollouts, func(r rollout.Record) ident.PoolName { return r.Pool })
	m.rolloutNumber, m.hotTeams, m.poison = s.RolloutNumber, s.HotTeams, s.Poison
	m.evacuations, m.evacuationNumber, m.features = s.Evacuations, s.EvacuationNumber, s.Features
	m.orders, m.epoch, m.fencing, m.changes = s.Orders, s.Epoch, s.Fencing, s.Changes
	m.notifyChanged()
	return nil
}

func indexBy[K comparable, V any](list []V, key func(V) K) map[K]V {
	objects := make(map[K]V, len(list))
	for _, object := range list {
		objects[key(object)] = object
	}
	return objects
}
