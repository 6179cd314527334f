package consensus

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"
)

// replaceDeadScriptGen generates scripts for replicas whose silent voters lose
// their votes. The numbers of voters are mostly even, and the pauses long enough
// for DeadVoterTimeout to expire.
var replaceDeadScriptGen = rapid.Custom(func(t *rapid.T) script {
	s := scriptGen.Draw(t, "script")
	s.ReplaceDead = true
	s.Replicas = rapid.SampledFrom([]int{3, 4, 4, 4, 5, 6, 6}).Draw(t, "replicas")
	s.Rates = rapid.SliceOfN(rapid.SampledFrom(clockRates), 6, 6).Draw(t, "rates")
	for i := range s.Steps {
		if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
			s.Steps[i].Pause = time.Duration(rapid.IntRange(2500, 4500).Draw(t, "pause")) * time.Millisecond
		}
		s.Steps[i].Node = rapid.IntRange(0, 5).Draw(t, "node")
	}
	return s
})

// TestFuzz_ReplaceDeadHistories plays the histories of TestFuzz_Histories with
// ReplaceDead, so that demotions, graceful leaves and returns happen amid the
// faults. The oracles are the same.
func TestFuzz_ReplaceDeadHistories(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		s := replaceDeadScriptGen.Draw(rt, "script")
		if err := checkReplaceDeadScript(t, s); err != nil {
			rt.Fatal(err)
		}
	})
}

func checkReplaceDeadScript(t *testing.T, s script) error {
	var err error
	var ops []porcupine.Operation
	synctest.Test(t, func(*testing.T) { ops, err = runScript(s, faults{}) })
	if err != nil {
		return err
	}
	if !porcupine.CheckOperations(registerModel, ops) {
		return fmt.Errorf("%d calls are not linearizable", len(ops))
	}
	return nil
}

// emptyRemoved empties the disks of the replicas that stopped because they were
// removed, as a deployment does, and starts them again.
func (r *scriptRun) emptyRemoved() {
	for _, id := range r.ids {
		m := r.members[id]
		if m.removed.CompareAndSwap(true, false) {
			r.crash(id)
			m.fs.Wipe()
			r.restart(id)
		}
	}
}

// tolerateRemoval reports whether err only says that the replica was removed.
func (m *member) tolerateRemoval(err error) bool {
	if errors.Is(err, ErrRemoved) {
		m.removed.Store(true)
		return true
	}
	return false
}
