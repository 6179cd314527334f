package fleet

import (
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/region"
)

var (
	_ gateway.RegionalEnvironment = (*Node)(nil)
	_ gateway.RegionalRelays      = (*Node)(nil)
	_ gateway.RelayObserver       = (*Node)(nil)
)

// Region implements gateway.RegionalEnvironment.
func (n *Node) Region(zone ident.Zone) ident.Region { return n.settings.region(zone) }

// MayHold implements gateway.RegionalRelays. The caller's own region isn't told by its
// requests, so it is taken to be that of this gateway, to which it connected. A gateway's region
// follows from its data centre and this node's settings, also for one of a build that states
// none.
func (n *Node) MayHold(peer ident.NodeID, regions []ident.Region) bool {
	own := n.settings.region(n.settings.Zone)
	for _, m := range n.follower.State().Members {
		if m.ID == peer {
			return region.MayHold(regions, own, n.settings.region(m.Zone))
		}
	}
	return false
}

// RelayAnswered implements gateway.RelayObserver.
func (n *Node) RelayAnswered(peer ident.NodeID) {
	n.heard.record(control.Member{ID: peer}, boottime.Now())
}
