// Package lease defines the leases of nodes and of pool schedulers as stored in
// the replicated state machine. The state machine records only grants and
// revocations; the leader tracks expiry.
package lease

import "github.com/flamingohaven/flamingohaven/internal/state/ident"

// Node is the lease of a live node.
type Node struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
	Zone        ident.Zone
	// CallerAddress is the host:port of the HTTP listener for callers.
	CallerAddress string
	// InternalAddress is the host:port of the net/rpc listener.
	InternalAddress string
	// Draining nodes receive no new callers.
	Draining bool
	// Unreachable nodes are granted no scheduler leases because other nodes
	// can't connect to them.
	Unreachable bool
}

// Pool is the lease that permits its holder to run a pool's scheduler.
type Pool struct {
	Pool ident.PoolName
	// Holder is empty while nobody holds the lease.
	Holder ident.NodeID
	// HolderIncarnation is the incarnation of Holder that was granted the lease.
	HolderIncarnation ident.Incarnation
	Epoch             ident.Epoch
	// Former is the previous holder, if it was live when it lost the lease. It
	// may still act on the lease until it has acknowledged the change or its
	// node lease has ended; the lease isn't granted again before that.
	Former            ident.NodeID
	FormerIncarnation ident.Incarnation
	// Sequence is the sequence number of the last change to this record.
	Sequence uint64
}
