package control

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// EvacuateArgs holds an operator's order to start or end the evacuation of a data centre.
type EvacuateArgs struct {
	Order evacuation.Order
	// Patience is how long the sender waits for a reply; zero if it doesn't say. An order
	// that is not proposed by then is dropped: its sender repeats it at another replica, and
	// may have ordered the opposite meanwhile.
	Patience time.Duration
	// Basis is what was certainly known of the data centre when the order was sent.
	Basis evacuation.Basis
}

// EvacuateReply answers an Evacuate call.
type EvacuateReply struct {
	Status
	// Refusal is the reason why the order was refused; empty if it was accepted.
	Refusal machine.Refusal
	// Waiting holds, after a refusal for the feature level, the nodes and voters that
	// have not stated that they support it, as far as they are known.
	Waiting []ident.NodeID
	// Basis is, after a refusal as outdated, what a new order is based on, and Age for how long
	// the leader has known it.
	Basis evacuation.Basis
	Age   time.Duration
}

// Evacuate commits an operator's order about the evacuation of a data centre. It is served
// once a quorum has the order on disk. The order has no effect if the term ends before: a
// delayed one can't overtake what the operator ordered at the next leader.
func (s *Service) Evacuate(args *EvacuateArgs, reply *EvacuateReply) error {
	arrived := time.Now()
	if _, status := s.readBarrier(); !status.OK() {
		reply.Status = status
		return nil
	}
	order := args.Order
	if s.fleet == nil && !s.knowsZone(order.Zone) {
		reply.Refusal = machine.RefusedUnknown
		return nil
	}
	if _, known := s.machine.Evacuation(order.Zone); known != order.End && order.Zone != "" {
		// A repeated order. The call that it repeats may not have published it yet.
		s.publishCommitted()
		return nil
	}
	if args.Patience > 0 && time.Since(arrived) >= args.Patience {
		reply.Status = Status{NotLeader: true, Redirect: s.self, Detail: "the sender no longer waits"}
		return nil
	}
	if s.machine.Features() < evacuationLevel {
		reply.Refusal = machine.RefusedFeatures
		if s.fleet == nil {
			reply.Waiting = s.nodesWithout(evacuationLevel)
		}
		return nil
	}
	command := &machine.Command{Evacuate: &order}
	if s.fleet != nil {
		if s.isOutdated(args, reply) {
			return nil
		}
		if args.Basis.Known && s.machine.Features() >= machine.BasisLevel {
			command.EvacuationBasis = &args.Basis
		}
	}
	result, status := s.propose(command)
	reply.Status, reply.Refusal = status, result.Refusal
	if status.OK() && s.fleet != nil {
		s.noteEvacuations()
		if result.Refusal == machine.RefusedOutdated {
			s.isOutdated(args, reply)
		}
		s.publishCommitted()
	}
	return nil
}

// evacuationLevel is the feature level from which replicas know evacuations.
const evacuationLevel = 1

// ReadEvacuationsArgs requests the evacuated data centres.
type ReadEvacuationsArgs struct{}

// ReadEvacuationsReply holds the evacuated data centres, in order.
type ReadEvacuationsReply struct {
	Status
	Evacuations []evacuation.Record
}

// ReadEvacuations returns the evacuated data centres.
func (s *Service) ReadEvacuations(_ *ReadEvacuationsArgs, reply *ReadEvacuationsReply) error {
	term, status := s.readBarrier()
	if !status.OK() {
		reply.Status = status
		return nil
	}
	reply.Evacuations = s.machine.Evacuations()
	reply.Status = s.stillServing(term)
	return nil
}
