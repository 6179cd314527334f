package opsapi

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// PathEvacuate accepts POST with an EvacuateRequest and answers with an EvacuateReply.
const PathEvacuate = "/v1/evacuate"

// EvacuateRequest asks that the upstreams of a data centre get no new requests, or that
// they get them again. A repeated request changes nothing.
type EvacuateRequest struct {
	Zone ident.Zone `json:"zone"`
	// End is true to end the evacuation.
	End bool `json:"end,omitempty"`
	// Who names who gave the order.
	Who string `json:"who,omitempty"`
}

// EvacuateReply confirms that the order is committed. Nodes in contact with the leader
// have it in force when their lease is next renewed at the latest.
type EvacuateReply struct {
	Zone ident.Zone `json:"zone"`
	End  bool       `json:"end"`
}

// Evacuation is an evacuated data centre.
type Evacuation struct {
	Zone  ident.Zone `json:"zone"`
	By    string     `json:"by"`
	Since time.Time  `json:"since"`
	// InFlight is the number of requests that still run on its upstreams, summed over
	// the nodes that answered.
	InFlight int `json:"in_flight"`
	// Missing names nodes that did not answer.
	Missing []ident.NodeID `json:"missing,omitempty"`
}
