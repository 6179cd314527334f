package opshttp

import (
	"errors"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// TestServer_Evacuate guards against a refused order that changes something or whose reason
// the operator doesn't get, and against a repeated order that fails.
func TestServer_Evacuate(t *testing.T) {
	backend, address := startServer(t)
	c := NewClient([]string{address}, testToken)
	refused := func(zone ident.Zone, who string, code opsapi.Code, message string) {
		t.Helper()
		_, err := c.Evacuate(t.Context(), &opsapi.EvacuateRequest{Zone: zone, Who: who})
		var failed *opsapi.Error
		must.True(t, errors.As(err, &failed))
		must.Eq(t, code, failed.Code)
		must.StrContains(t, failed.Message, message)
		status, err := c.Status(t.Context())
		must.NoError(t, err)
		must.SliceEmpty(t, status.Evacuations)
	}
	var reply control.HeartbeatReply
	args := &control.HeartbeatArgs{Node: lease.Node{ID: "a", Incarnation: 1, Zone: "z1"}}
	must.NoError(t, backend.service.Heartbeat(args, &reply))
	refused("z1", "w", opsapi.CodeRefused, "not heard from them yet: [a]")
	args.Features = 1
	must.NoError(t, backend.service.Heartbeat(args, &reply))
	backend.service.Tick()
	long := strings.Repeat("z", evacuation.MaxNameBytes+1)
	refused("z2", "w", opsapi.CodeNotFound, `"z2"`)
	refused("", "w", opsapi.CodeBadRequest, "needs the name")
	refused(ident.Zone(long), "w", opsapi.CodeBadRequest, "at most 256 bytes")
	refused("z1", long, opsapi.CodeBadRequest, "at most 256 bytes")

	for range 2 {
		done, err := c.Evacuate(t.Context(), &opsapi.EvacuateRequest{Zone: "z1", Who: "w"})
		must.NoError(t, err)
		must.Eq(t, &opsapi.EvacuateReply{Zone: "z1"}, done)
	}
	status, err := c.Status(t.Context())
	must.NoError(t, err)
	must.Len(t, 1, status.Evacuations)
	shown := status.Evacuations[0]
	must.False(t, shown.Since.IsZero())
	must.Eq(t, opsapi.Evacuation{Zone: "z1", By: "w", Since: shown.Since, InFlight: 3, Missing: []ident.NodeID{"a"}}, shown)
	_, err = c.Evacuate(t.Context(), &opsapi.EvacuateRequest{Zone: "z1", End: true})
	must.NoError(t, err)
	refused("z2", "w", opsapi.CodeNotFound, `"z2"`)
}
