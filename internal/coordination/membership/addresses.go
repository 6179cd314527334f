package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// AddressLimit is the maximum number of addresses in one list.
const AddressLimit = 8

// loadClasses is the number of classes that the loads from 0 to 1 are divided
// into. Nodes of one class count as equally loaded.
const loadClasses = 8

// Candidate is a live node that could serve callers.
type Candidate struct {
	lease.Node
	// Load is the used part of the node's limits, 0 to 1.
	Load float64
	// CutOff is true if the node's lease is not fresh.
	CutOff bool
}

// Address is one entry of a caller's list.
type Address struct {
	Node    ident.NodeID
	Zone    ident.Zone
	Address string
}

// AddressList is an ordered list of addresses, best first.
type AddressList struct {
	Addresses []Address
	// TTL is how long a caller may keep the list.
	TTL time.Duration
}

// Addresses returns up to AddressLimit addresses for a caller in a data centre,
// best first. They are ordered by the caller's own data centre first, then by
// load class, then by a hash of node and caller, so that callers do not all
// choose the same node. Draining and cut-off nodes are left out. The result
// depends only on the arguments.
func Addresses(nodes []Candidate, zone ident.Zone, caller uint64, ttl time.Duration) AddressList {
	usable := make([]Candidate, 0, len(nodes))
	for _, n := range nodes {
		if !n.Draining && !n.CutOff && n.CallerAddress != "" {
			usable = append(usable, n)
		}
	}
	slices.SortFunc(usable, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(zoneRank(a, zone), zoneRank(b, zone)),
			cmp.Compare(loadClass(a.Load), loadClass(b.Load)),
			cmp.Compare(callerHash(a.ID, caller), callerHash(b.ID, caller)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	usable = usable[:min(len(usable), AddressLimit)]
	list := AddressList{TTL: ttl}
	for _, n := range usable {
		list.Addresses = append(list.Addresses, Address{Node: n.ID, Zone: n.Zone, Address: n.CallerAddress})
	}
	return list
}

func zoneRank(n Candidate, zone ident.Zone) int {
	if n.Zone == zone {
		return 0
	}
	return 1
}

func loadClass(load float64) int {
	return min(max(int(load*loadClasses), 0), loadClasses)
}

func callerHash(id ident.NodeID, caller uint64) uint64 {
	buf := binary.LittleEndian.AppendUint64(nil, caller)
	return xxhash.Sum64(append(buf, id...))
}
