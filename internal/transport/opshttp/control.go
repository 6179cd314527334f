package opshttp

import (
	"context"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Control implements the methods of Backend that call the leader.
type Control struct {
	Client *control.Client
}

// ApplyConfig replaces the configuration.
func (c Control) ApplyConfig(ctx context.Context, args *control.ApplyConfigArgs) (control.ApplyConfigReply, error) {
	return control.Call[control.ApplyConfigReply](ctx, c.Client, "ApplyConfig", args)
}

// ShowConfig returns the current configuration.
func (c Control) ShowConfig(ctx context.Context) (control.ShowConfigReply, error) {
	return control.Call[control.ShowConfigReply](ctx, c.Client, "ShowConfig", &control.ShowConfigArgs{})
}

// History returns the latest accepted changes.
func (c Control) History(ctx context.Context, limit int) (control.HistoryReply, error) {
	return control.Call[control.HistoryReply](ctx, c.Client, "History", &control.HistoryArgs{Limit: limit})
}

// Status returns the state of the system.
func (c Control) Status(ctx context.Context) (control.StatusReply, error) {
	return control.Call[control.StatusReply](ctx, c.Client, "Status", &control.StatusArgs{})
}

// RemoveReplica removes a node's replica from the membership.
func (c Control) RemoveReplica(ctx context.Context, node ident.NodeID) (control.RemoveReplicaReply, error) {
	return control.Call[control.RemoveReplicaReply](ctx, c.Client, "RemoveReplica", &control.RemoveReplicaArgs{Node: node})
}

// Evacuate starts or ends the evacuation of a data centre.
func (c Control) Evacuate(ctx context.Context, order evacuation.Order) (control.EvacuateReply, error) {
	return control.Call[control.EvacuateReply](ctx, c.Client, "Evacuate", &control.EvacuateArgs{Order: order})
}

// Drain marks a node as draining.
func (c Control) Drain(ctx context.Context, node ident.NodeID) (control.DrainReply, error) {
	return control.Call[control.DrainReply](ctx, c.Client, "Drain", &control.DrainArgs{Node: node})
}
