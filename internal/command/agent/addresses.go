package agent

import (
	"github.com/cespare/xxhash/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/membership"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
)

// Addresses returns the address list shown to operators. Callers get the same
// nodes in an order that depends on the caller.
func (a *Agent) Addresses() callerapi.AddressList {
	return a.AddressesFor("")
}

// AddressesFor implements callerhttp.Directory.
func (a *Agent) AddressesFor(caller string) callerapi.AddressList {
	ordered := membership.Addresses(a.candidates(), a.settings.Zone, xxhash.Sum64String(caller), a.settings.AddressTTL)
	list := callerapi.AddressList{TTLSeconds: ordered.TTL.Seconds()}
	for _, entry := range ordered.Addresses {
		list.Addresses = append(list.Addresses, callerapi.Address{
			Node:    entry.Node,
			Address: entry.Address,
			Zone:    entry.Zone,
		})
	}
	return list
}

// candidates returns the live nodes with their loads. This node counts as cut
// off while its own lease is not fresh.
func (a *Agent) candidates() []membership.Candidate {
	fresh := a.Fresh()
	loads := a.view.Loads()
	members := a.view.Members().Nodes
	candidates := make([]membership.Candidate, 0, len(members))
	for _, n := range members {
		candidates = append(candidates, membership.Candidate{
			Node:   n,
			Load:   float64(loads[n.ID]) / maxLoad,
			CutOff: n.ID == a.settings.Node && !fresh,
		})
	}
	return candidates
}
