package agent

import (
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// nodeServiceName is the net/rpc name of nodeService.
const nodeServiceName = "Node"

// nodeService is the RPC service that other nodes call to query this node.
type nodeService struct{ agent *Agent }

// EventsArgs selects the events to return.
type EventsArgs struct{ Filter timeline.Filter }

// EventsReply holds the selected events, oldest first.
type EventsReply struct{ Events []timeline.Event }

// Events returns the node's recent events that match the filter.
func (s *nodeService) Events(args *EventsArgs, reply *EventsReply) error {
	reply.Events = s.agent.events.Events(args.Filter)
	return nil
}

// InFlightArgs requests the requests in flight.
type InFlightArgs struct{}

// InFlightReply holds the number of requests in flight from this node to the upstreams of
// each data centre that has any.
type InFlightReply struct{ Zones map[ident.Zone]int }

// InFlight returns the number of requests in flight from this node.
func (s *nodeService) InFlight(_ *InFlightArgs, reply *InFlightReply) error {
	reply.Zones = s.agent.inFlight()
	return nil
}
