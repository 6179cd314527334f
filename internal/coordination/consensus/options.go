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
	// DefaultSnapshotEntries is the number of applied entries after which a
	// snapshot is taken.
	DefaultSnapshotEntries = 8192
	// DefaultSnapshotBytes is the size of applied entries after which a
	// snapshot is taken, in bytes. The log in memory is up to three times as
	// large: before the latest snapshot, after it, and while one is saved.
	DefaultSnapshotBytes = 4 << 20
	// DefaultMinVoters tolerates the loss of one disk.
	DefaultMinVoters = 3
)

// Options configures a Node.
type Options struct {
	// ID identifies this replica. It stays the same across restarts.
	ID ident.NodeID
	// InitialReplicas lists the replicas that form the cluster, including this
	// one. A replica that is added later lists itself and the replicas that it
	// may ask to join.
	InitialReplicas []ident.NodeID
	// JoinOnly keeps this replica from forming a cluster: it adopts or joins an
	// existing one. It must be set at every start except the first start of a
	// system.
	JoinOnly bool
	// ReplaceDead lets the members change without an operator: a new replica takes
	// the place of a voter that has been silent for DeadVoterTimeout. While there
	// are more voters than MinVoters, a voter also loses its vote when it stops or
	// has been silent for SilentVoterTimeout, until it is back.
	ReplaceDead bool
	// MinVoters is the number of voters that ReplaceDead preserves. A majority of
	// them must be larger than the number of disks that may be lost at once, or
	// acknowledged entries could be lost with these disks; 0 means
	// DefaultMinVoters.
	MinVoters int
	// FS is the replica's data folder. Only one process may use it at a time.
	FS disk.FS
	// Peers sends requests to the other replicas.
	Peers Peers
	// Timing holds the periods and timeouts; zero fields take their defaults.
	Timing Timing
	// SnapshotEntries and SnapshotBytes are the number and the size in bytes of
	// applied entries after which a snapshot is taken; 0 means the default. The
	// size is at least that of the snapshot before.
	SnapshotEntries int
	SnapshotBytes   int

	// faults and clockRate are set only by tests. clockRate is the speed of the
	// replica's clock relative to the system clock; 0 means 1.
	faults    faults
	clockRate float64
}

// withDefaults validates the options and replaces zero values with their
// defaults.
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
	if o.MinVoters == 0 {
		o.MinVoters = DefaultMinVoters
	}
	if o.clockRate == 0 {
		o.clockRate = 1
	}
	return o, nil
}
