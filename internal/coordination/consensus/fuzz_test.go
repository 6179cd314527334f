package consensus

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// registerModel is the sequential specification: one register per key,
// initially 0.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(call).Key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return 0 },
	Step: func(state, input, output any) (bool, any) {
		in := input.(call)
		if in.Write {
			return true, in.Value
		}
		return output.(int) == state.(int), state
	},
}

// checkScript runs a script and returns the first violation, including calls
// that are not linearizable.
func checkScript(t *testing.T, s script, injected faults) error {
	var err error
	var ops []porcupine.Operation
	synctest.Test(t, func(*testing.T) { ops, err = runScript(s, injected) })
	if err != nil {
		return err
	}
	return checkLinearizable(ops)
}

// checkLinearizable returns an error if the calls are not linearizable.
func checkLinearizable(ops []porcupine.Operation) error {
	if !porcupine.CheckOperations(registerModel, ops) {
		return fmt.Errorf("%d calls are not linearizable", len(ops))
	}
	return nil
}

// TestFuzz_Histories runs generated scripts of crashes, lost disks, partitions,
// failed syncs and clock drift.
func TestFuzz_Histories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := checkScript(t, scriptGen.Draw(rt, "script"), faults{}); err != nil {
			rt.Fatal(err)
		}
	})
}
