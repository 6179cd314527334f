package consensus

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// registers is the sequential model: one register a key.
var registers = porcupine.Model{
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

// check plays a history and returns what it violates.
func check(t *testing.T, s script, injected faults) error {
	var err error
	var ops []porcupine.Operation
	synctest.Test(t, func(*testing.T) { ops, err = play(s, injected) })
	if err != nil {
		return err
	}
	if !porcupine.CheckOperations(registers, ops) {
		return fmt.Errorf("%d calls are not linearizable", len(ops))
	}
	return nil
}

// TestFuzz_Histories plays generated histories of crashes, lost disks,
// partitions, failed syncs and clocks that drift.
func TestFuzz_Histories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := check(t, scriptGen.Draw(rt, "script"), faults{}); err != nil {
			rt.Fatal(err)
		}
	})
}
