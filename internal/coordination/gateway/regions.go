package gateway

import (
	"fmt"
	"slices"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/region"
)

// RegionalEnvironment is implemented by an Environment that knows regions. At one that does
// not, requests that name regions are not sent.
type RegionalEnvironment interface {
	// Region returns the region of a data centre; empty if it isn't known.
	Region(zone ident.Zone) ident.Region
}

// RegionalRelays is implemented by Relays that know regions. Others relay no request that
// names some.
type RegionalRelays interface {
	// MayHold reports whether a gateway may hold the body of a request of a caller of this
	// gateway that may be served in the given regions.
	MayHold(peer ident.NodeID, regions []ident.Region) bool
}

// permits reports whether a request may be sent to an upstream. The scheduler keeps to the
// regions of a request, except one of a build that doesn't know them.
func (g *Gateway) permits(r *Request, u config.Upstream) bool {
	if r.Regions == nil {
		return true
	}
	env, known := g.env.(RegionalEnvironment)
	return known && region.Contains(r.Regions, env.Region(u.Zone))
}

// mayRelay reports whether the request may pass through another gateway.
func (s *sending) mayRelay(peer ident.NodeID) bool {
	if s.request.Regions == nil {
		return true
	}
	relays, known := s.gateway.relays.(RegionalRelays)
	return known && relays.MayHold(peer, s.request.Regions)
}

// anyRelay returns a gateway through which the request may be sent, drawn at random; empty if
// there is none but the excepted ones.
func (s *sending) anyRelay(except []ident.NodeID) ident.NodeID {
	if s.gateway.relays == nil {
		return ""
	}
	except = slices.Clip(except)
	for {
		peer := s.gateway.relays.AnyRelay(except)
		if peer == "" || s.mayRelay(peer) {
			return peer
		}
		except = append(except, peer)
	}
}

// relayAddress returns the address at which another gateway relays the request; empty if it
// can't be used.
func (s *sending) relayAddress(peer ident.NodeID) string {
	if s.gateway.relays == nil || peer == "" || !s.mayRelay(peer) {
		return ""
	}
	return s.gateway.relays.RelayAddress(peer)
}

// describeRegions names the regions of a request for logs; empty for one without.
func (r *Request) describeRegions() string {
	switch {
	case r.Regions == nil:
		return ""
	case region.IsNowhere(r.Regions):
		return ", allowed in no region"
	default:
		return fmt.Sprintf(", allowed in %q", r.Regions)
	}
}
