package agent

import (
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
