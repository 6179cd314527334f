package gateway

import (
	"slices"
	"testing"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/region"
	"github.com/shoenig/test/must"
)

// plainRelays are gateways without known regions.
type plainRelays []ident.NodeID

func (r plainRelays) RelayAddress(peer ident.NodeID) string { return string(peer) }

func (r plainRelays) AnyRelay(except []ident.NodeID) ident.NodeID {
	for _, peer := range r {
		if !slices.Contains(except, peer) {
			return peer
		}
	}
	return ""
}

// regionalRelays are gateways, seen by one in eu; the first two letters are the region.
type regionalRelays struct{ plainRelays }

func (r regionalRelays) MayHold(peer ident.NodeID, regions []ident.Region) bool {
	return region.MayHold(regions, "eu", ident.Region(peer[:2]))
}

// Guards against the body of a request that passes through a gateway outside its regions and
// that of its caller, and against one relayed where regions aren't known.
func TestSending_RelaysInsideRegions(t *testing.T) {
	peers := plainRelays{"us1", "as1", "eu1", "us2"}
	for name, c := range map[string]struct {
		relays  Relays
		regions []ident.Region
		usable  []ident.NodeID
	}{
		"no regions named":          {relays: regionalRelays{peers}, usable: peers},
		"caller's own region":       {relays: regionalRelays{peers}, regions: []ident.Region{"eu"}, usable: []ident.NodeID{"eu1"}},
		"another region":            {relays: regionalRelays{peers}, regions: []ident.Region{"us"}, usable: []ident.NodeID{"us1", "eu1", "us2"}},
		"nowhere":                   {relays: regionalRelays{peers}, regions: region.Nowhere(), usable: []ident.NodeID{"eu1"}},
		"unknown regions":           {relays: peers, regions: []ident.Region{"eu"}},
		"unknown, no regions":       {relays: peers, usable: peers},
		"no relays at this gateway": {regions: []ident.Region{"eu"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &sending{gateway: &Gateway{relays: c.relays}, request: &Request{Regions: c.regions}}
			var tried []ident.NodeID
			for peer := s.anyRelay(tried); peer != ""; peer = s.anyRelay(tried) {
				tried = append(tried, peer)
			}
			must.SliceContainsAll(t, c.usable, tried)
			for _, peer := range peers {
				must.Eq(t, slices.Contains(c.usable, peer), s.relayAddress(peer) != "", must.Sprint(peer))
			}
		})
	}
}

// regionalEnv takes the names of data centres for their regions.
type regionalEnv struct{ Environment }

func (regionalEnv) Region(zone ident.Zone) ident.Region { return ident.Region(zone) }

// Guards against a grant of a scheduler that doesn't know regions.
func TestGateway_PermitsUpstreamsInside(t *testing.T) {
	inside, outside, unknown := config.Upstream{Zone: "eu"}, config.Upstream{Zone: "us"}, config.Upstream{}
	r := &Request{Regions: []ident.Region{"eu"}}
	g := &Gateway{env: regionalEnv{}}
	must.True(t, g.permits(r, inside))
	must.False(t, g.permits(r, outside))
	must.False(t, g.permits(r, unknown))
	must.True(t, g.permits(&Request{}, unknown))
	must.False(t, (&Gateway{}).permits(r, inside))
}
