package opshttp

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// defaultTimelineLimit is the number of events returned to a call without a limit.
const defaultTimelineLimit = 1000

func (s *Server) status(ctx context.Context, _ *http.Request) (any, error) {
	reply, err := s.backend.Status(ctx)
	if err != nil {
		return nil, err
	}
	out := toStatusReply(&reply)
	if len(reply.Evacuations) > 0 {
		inFlight, missing := s.backend.InFlight(ctx, reply.Nodes)
		out.Evacuations = toEvacuations(reply.Evacuations, inFlight, missing)
	}
	return out, nil
}

func toStatusReply(r *control.StatusReply) *opsapi.StatusReply {
	out := &opsapi.StatusReply{
		Leader:        r.Leader,
		Term:          r.Term,
		Index:         r.Index,
		Revision:      r.Revision,
		Moves:         toMoves(r.Moves),
		LedgerEntries: r.LedgerEntries,
		LedgerBytes:   r.LedgerBytes,
		Features:      r.Features,
	}
	for _, n := range r.Nodes {
		out.Nodes = append(out.Nodes, opsapi.Node{
			Node:            n.ID,
			Zone:            n.Zone,
			CallerAddress:   n.CallerAddress,
			InternalAddress: n.InternalAddress,
			Draining:        n.Draining,
			Revision:        n.Revision,
			Load:            n.Load,
			SilentSeconds:   n.Silent.Seconds(),
		})
	}
	for _, p := range r.Pools {
		out.Pools = append(out.Pools, opsapi.Pool{Pool: p.Pool, Scheduler: p.Holder, Epoch: p.Epoch})
	}
	for _, m := range r.Replicas {
		out.Replicas = append(out.Replicas, opsapi.Replica{
			Node:        m.Replica.ID,
			Incarnation: fmt.Sprintf("%x", uint64(m.Replica.Incarnation)),
			Role:        m.Role.String(),
		})
	}
	for _, o := range r.OpenOrders {
		out.Orders = append(out.Orders, opsapi.Order{
			Upstream: o.Upstream, Kind: string(o.Kind), Subject: o.Subject, Fence: uint64(o.Number),
		})
	}
	return out
}

func toMoves(records []move.Record) []opsapi.Move {
	var out []opsapi.Move
	for _, m := range records {
		out = append(out, opsapi.Move{
			Name:               m.Name,
			Pool:               m.Pool,
			From:               m.From,
			To:                 m.To,
			State:              m.State,
			Share:              m.Share,
			NonIdempotentShare: m.NonIdempotentShare,
			Reason:             m.Reason,
			At:                 m.At,
		})
	}
	return out
}

func (s *Server) moves(ctx context.Context, _ *http.Request) (any, error) {
	reply, err := s.backend.Status(ctx)
	if err != nil {
		return nil, err
	}
	return &opsapi.MovesReply{Moves: toMoves(reply.Moves)}, nil
}

func (s *Server) timeline(ctx context.Context, r *http.Request) (any, error) {
	limit, err := parseLimit(r, defaultTimelineLimit)
	if err != nil {
		return nil, err
	}
	events, missing := s.backend.Timeline(ctx, timeline.Filter{
		Request: ident.RequestID(r.FormValue("request")),
		Move:    ident.MoveName(r.FormValue("move")),
		Node:    ident.NodeID(r.FormValue("node")),
		Pool:    ident.PoolName(r.FormValue("pool")),
	})
	if len(events) > limit {
		events = events[len(events)-limit:]
	}
	return &opsapi.TimelineReply{Events: events, Missing: missing}, nil
}

func (s *Server) drain(ctx context.Context, r *http.Request) (any, error) {
	var request opsapi.DrainRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Node == "" {
		return nil, badRequest("a drain needs the name of a node")
	}
	reply, err := s.backend.Drain(ctx, request.Node)
	if err != nil {
		return nil, err
	}
	if reply.Refusal == machine.RefusedQuorum {
		message := fmt.Sprintf("without %s too few replicas would be left; start another first (SIGTERM drains it all the same)", request.Node)
		return nil, badRequest(message)
	}
	if reply.Refusal != "" {
		message := fmt.Sprintf("node %q cannot be drained: %s", request.Node, reply.Refusal)
		return nil, &opsapi.Error{Code: opsapi.CodeNotFound, Message: message}
	}
	return &opsapi.DrainReply{Node: request.Node}, nil
}

func (s *Server) removeReplica(ctx context.Context, r *http.Request) (any, error) {
	var request opsapi.RemoveReplicaRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Node == "" {
		return nil, badRequest("a removal needs the name of a node")
	}
	reply, err := s.backend.RemoveReplica(ctx, request.Node)
	switch {
	case err != nil:
		return nil, err
	case reply.Refusal == machine.RefusedHolder:
		return nil, badRequest(fmt.Sprintf("%s leads; drain it first, then remove it", request.Node))
	case reply.Refusal != "":
		message := fmt.Sprintf("%s is no replica; see status", request.Node)
		return nil, &opsapi.Error{Code: opsapi.CodeNotFound, Message: message}
	}
	return &opsapi.RemoveReplicaReply{Node: request.Node}, nil
}

func (s *Server) addresses(context.Context, *http.Request) (any, error) {
	list := s.backend.Addresses()
	return &list, nil
}
