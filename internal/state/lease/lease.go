// Package lease defines the leases of nodes and of pools' schedulers, as the
// replicated state machine keeps them. Expiry is the leader's business: the
// state machine records only grants and revocations.
package lease

import "github.com/flamingohaven/flamingohaven/internal/state/ident"

// Node is the lease of one live process.
type Node struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
	Zone        ident.Zone
	// CallerAddress is host:port of the callers' HTTP listener.
	CallerAddress string
	// InternalAddress is host:port of the net/rpc listener.
	InternalAddress string
	// Draining nodes get no new callers.
	Draining bool
	// Unreachable nodes get no scheduler leases: others can't connect to them.
	Unreachable bool
}

// Pool is the lease of a pool's scheduler.
type Pool struct {
	Pool ident.PoolName
	// Holder is empty while nobody holds the lease.
	Holder ident.NodeID
	// HolderIncarnation is the life of Holder that got the lease.
	HolderIncarnation ident.Incarnation
	Epoch             ident.Epoch
	// Former is the node that lost the lease while it was live. It may act on
	// it until it has acknowledged the change or its node lease has ended; the
	// lease isn't granted again before.
	Former            ident.NodeID
	FormerIncarnation ident.Incarnation
	// Sequence is the number of the change that made this record.
	Sequence uint64
}
