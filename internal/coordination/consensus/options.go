package consensus

import (
	"errors"
	"fmt"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Defaults of Options.
const (
	// DefaultSnapshotEntries is after how many entries a snapshot is taken.
	DefaultSnapshotEntries = 8192
	// DefaultSnapshotBytes is after how many bytes of entries it is taken.
	DefaultSnapshotBytes = 32 << 20
)

// Options configures a Node.
type Options struct {
	// ID names this replica. It stays the same over restarts.
	ID ident.NodeID
	// InitialReplicas are the replicas that form the cluster, this one
	// included. A replica added later names the replicas it may ask to join.
	InitialReplicas []ident.NodeID
	// JoinOnly keeps this replica from forming a cluster: it adopts or joins the
	// one that exists. It is set at every start but the very first of a system.
	JoinOnly bool
	// ReplaceDead lets a new replica take the place of a voter that has been
	// silent for DeadAfter, without an operator.
	ReplaceDead bool
	// FS is the replica's data folder. One process at a time uses it.
	FS disk.FS
	// Peers reaches the other replicas.
	Peers Peers
	// Timing holds the periods; zero fields take their defaults.
	Timing Timing
	// SnapshotEntries and SnapshotBytes say after how much applied log a
	// snapshot is taken; 0 takes the default.
	SnapshotEntries int
	SnapshotBytes   int

	// faults and clockRate are set by tests only.
	faults    faults
	clockRate float64
}

// withDefaults checks the options and fills those that are zero.
func (o Options) withDefaults() (Options, error) {
	if o.ID == "" || o.FS == nil || o.Peers == nil {
		return o, errors.New("consensus: ID, FS and Peers are required")
	}
	if !slices.Contains(o.InitialReplicas, o.ID) {
		return o, fmt.Errorf("consensus: %q is not among the initial replicas %q", o.ID, o.InitialReplicas)
	}
	if len(o.InitialReplicas) > MaxMembers {
		return o, ErrTooManyMembers
	}
	o.Timing = o.Timing.withDefaults()
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.clockRate == 0 {
		o.clockRate = 1
	}
	return o, nil
}
