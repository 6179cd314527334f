package opshttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

func (s *Server) evacuate(ctx context.Context, r *http.Request) (any, error) {
	var request opsapi.EvacuateRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Zone == "" {
		return nil, badRequest("an evacuation needs the name of a data centre")
	}
	if len(request.Zone) > evacuation.MaxNameBytes || len(request.Who) > evacuation.MaxNameBytes {
		return nil, badRequest(fmt.Sprintf("the names of a data centre and of an operator have at most %d bytes", evacuation.MaxNameBytes))
	}
	reply, err := s.backend.Evacuate(ctx, evacuation.Order{Zone: request.Zone, End: request.End, By: request.Who})
	if err != nil {
		return nil, err
	}
	if refused := evacuationRefusal(request.Zone, &reply); refused != nil {
		return nil, refused
	}
	return &opsapi.EvacuateReply{Zone: request.Zone, End: request.End}, nil
}

// evacuationRefusal returns the error for an order that the leader refused; nil if it
// accepted the order.
func evacuationRefusal(zone ident.Zone, reply *control.EvacuateReply) error {
	switch reply.Refusal {
	case "":
		return nil
	case machine.RefusedUnknown:
		message := fmt.Sprintf("no upstream and no live node is in data centre %q, and it is not evacuated", zone)
		return &opsapi.Error{Code: opsapi.CodeNotFound, Message: message}
	case machine.RefusedFeatures:
		message := fmt.Sprintf("evacuations need all nodes to run a build that knows them; an older one runs, or the leader has not heard from them yet: %v", reply.Waiting)
		return &opsapi.Error{Code: opsapi.CodeRefused, Message: message}
	case machine.RefusedFull:
		message := fmt.Sprintf("%d data centres are evacuated, which is the limit", evacuation.MaxEvacuations)
		return &opsapi.Error{Code: opsapi.CodeRefused, Message: message}
	default:
		return &opsapi.Error{Code: opsapi.CodeRefused, Message: fmt.Sprintf("the order was refused: %s", reply.Refusal)}
	}
}

func toEvacuations(records []evacuation.Record, inFlight map[ident.Zone]int, missing []ident.NodeID) []opsapi.Evacuation {
	out := make([]opsapi.Evacuation, 0, len(records))
	for _, r := range records {
		out = append(out, opsapi.Evacuation{Zone: r.Zone, By: r.By, Since: r.At, InFlight: inFlight[r.Zone], Missing: missing})
	}
	return out
}
