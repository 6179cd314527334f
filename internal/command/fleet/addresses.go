package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/region"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// Lookup is what a caller says of itself when it asks for gateways. Any part may be empty.
type Lookup struct {
	// Host is the host that the caller wants to reach.
	Host   string
	Region ident.Region
	Zone   ident.Zone
}

// CallerAddresses returns the caller addresses of up to limit gateways that are not
// draining. If there are more gateways, each call returns a random sample of them,
// so that callers spread over all gateways.
func (n *Node) CallerAddresses(l Lookup, limit int) []string {
	members := n.namedMembers(boottime.Now(), time.Now())
	return sampleGateways(n.nearGateways(l, members), limit, rand.Perm)
}

// nearGateways returns the gateways in the caller's own region, or in a region in which
// requests to the host may be served, as long as there are some.
func (n *Node) nearGateways(l Lookup, members []control.Member) []control.Member {
	hosts := n.hosts.Load()
	if hosts == nil {
		return members
	}
	caller := l.Region
	if caller == "" {
		caller = n.settings.region(l.Zone)
	}
	return gatewaysInside(members, hosts.Regions(l.Host), caller, n.settings.region)
}

// gatewaysInside returns the gateways that may hold the bodies of a caller's requests, if any
// of them takes new callers; otherwise all members.
func gatewaysInside(members []control.Member, allowed []ident.Region, caller ident.Region, regionOf func(ident.Zone) ident.Region) []control.Member {
	if allowed == nil {
		return members
	}
	var inside []control.Member
	for _, m := range members {
		if m.Gateway() && !m.Draining && region.MayHold(allowed, caller, regionOf(m.Zone)) {
			inside = append(inside, m)
		}
	}
	if len(inside) == 0 {
		return members
	}
	return inside
}

// namedMembers returns the members that the directory may name: those that the leader knows,
// or, if this node's knowledge of them is too old, those that it has heard of itself. Now is
// the time since boot.
func (n *Node) namedMembers(now time.Duration, wall time.Time) []control.Member {
	members := n.Members()
	age, known := n.trust.age(now)
	outdated := !known || age > n.settings.maxMembersAge()
	if outdated {
		n.learnSessions(now, wall)
		members = n.heard.members(members, n.settings, n.member(), now)
	}
	// Before the first contact there is nothing to be outdated.
	if known && n.outdated.Swap(outdated) != outdated {
		n.events.Record(timeline.Event{Kind: timeline.KindContact, Detail: fmt.Sprintf("members known %d ms ago, the directory names only those heard of here: %t, %d members", age.Milliseconds(), outdated, len(members))})
	}
	return members
}

// learnSessions records the gateways that have sessions with schedulers of this node.
func (n *Node) learnSessions(now time.Duration, wall time.Time) {
	n.mu.Lock()
	masters := make([]sessions, 0, len(n.masters))
	for _, m := range n.masters {
		masters = append(masters, m)
	}
	n.mu.Unlock()
	for _, m := range masters {
		for gateway, at := range m.Heard() {
			n.heard.record(control.Member{ID: gateway}, now-wall.Sub(at))
		}
	}
}

// sessions knows when gateways last sent a message.
type sessions interface {
	Heard() map[ident.NodeID]time.Time
}

// sampleGateways returns the caller addresses of up to limit gateways that are not
// draining, in the order given by permute.
func sampleGateways(members []control.Member, limit int, permute func(n int) []int) []string {
	var all []string
	for _, m := range members {
		if m.Gateway() && !m.Draining {
			all = append(all, m.CallerAddress)
		}
	}
	sample := make([]string, 0, min(limit, len(all)))
	for _, i := range permute(len(all))[:cap(sample)] {
		sample = append(sample, all[i])
	}
	return slices.Clip(sample)
}
