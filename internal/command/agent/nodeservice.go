package agent

import (
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// nodeServiceName is the net/rpc name of nodeService.
const nodeServiceName = "Node"

// nodeService answers other nodes about this one.
type nodeService struct{ agent *Agent }

// EventsArgs asks for recent events.
type EventsArgs struct{ Filter timeline.Filter }

// EventsReply holds recent events, oldest first.
type EventsReply struct{ Events []timeline.Event }

// Events returns the node's recent events.
func (s *nodeService) Events(args *EventsArgs, reply *EventsReply) error {
	reply.Events = s.agent.events.Events(args.Filter)
	return nil
}
