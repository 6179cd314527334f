package command

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/evacuation"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// TestEvacuate_ExitCodes guards against a refused or uncertain order that a script takes for
// one that was carried out, or the other way round.
func TestEvacuate_ExitCodes(t *testing.T) {
	for name, c := range map[string]struct {
		reply  any
		exit   int
		output string
	}{
		"accepted":  {&opsapi.EvacuateReply{Zone: "z1"}, 0, "get no new requests"},
		"ended":     {&opsapi.EvacuateReply{Zone: "z1", End: true}, 0, "get requests again"},
		"unknown":   {&opsapi.Error{Code: opsapi.CodeNotFound, Message: "m"}, int(ExitFailed), "nothing was changed"},
		"features":  {&opsapi.Error{Code: opsapi.CodeRefused, Message: "older builds"}, int(ExitFailed), "older builds\nnext: nothing was changed"},
		"no leader": {&opsapi.Error{Code: opsapi.CodeUnavailable, Message: "m"}, int(ExitFailed), "nothing was changed"},
		"uncertain": {&opsapi.Error{Code: opsapi.CodeUncertain, Message: "m"}, int(ExitUncertain), "run the same command again"},
		"token":     {&opsapi.Error{Code: opsapi.CodeUnauthorized, Message: "m"}, int(ExitUnauthorized), "-token-file"},
	} {
		env := operatorEnv(t, map[string]any{"POST " + opsapi.PathEvacuate: c.reply})
		r := execute(t, env, "evacuate", "-end", "z1")
		must.Eq(t, c.exit, r.exit, must.Sprint(name, r))
		must.StrContains(t, r.out+r.err, c.output)
	}
	env := operatorEnv(t, nil)
	for _, args := range [][]string{{}, {""}, {"a", "b"}, {strings.Repeat("z", evacuation.MaxNameBytes+1)}} {
		must.Eq(t, int(ExitUsage), execute(t, env, append([]string{"evacuate"}, args...)...).exit, must.Sprint(args))
	}
}

// TestStatus_Evacuations guards against a status that shows an evacuation without what an
// operator waits for: the requests still in flight, and the nodes that aren't counted.
func TestStatus_Evacuations(t *testing.T) {
	reply := &opsapi.StatusReply{Leader: "n1", Evacuations: []opsapi.Evacuation{
		{Zone: "z1", By: "alice", Since: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC), InFlight: 12, Missing: []ident.NodeID{"n2"}},
		{Zone: "z2", By: "bob"},
	}}
	env := operatorEnv(t, map[string]any{"GET " + opsapi.PathStatus: reply})
	r := execute(t, env, "status")
	must.Eq(t, 0, r.exit)
	lines := strings.Split(r.out, "\n")
	must.SliceContainsFunc(t, lines, []string{"z1", "alice", "2026-03-01T08:00:00Z", "12", "[n2]"}, hasCells)
	must.SliceContainsFunc(t, lines, []string{"z2", "bob", "0001-01-01T00:00:00Z", "0", "-"}, hasCells)
	reply.Evacuations = nil
	must.StrNotContains(t, execute(t, env, "status").out, "EVACUATED")
}

func hasCells(line string, cells []string) bool {
	return strings.Join(strings.Fields(line), " ") == strings.Join(cells, " ")
}
