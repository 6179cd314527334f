package consensus

import (
	"errors"
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
	return errors.Join(err, checkLinearizable(ops))
}

// emptyRemoved restarts the replicas that stopped because they were removed, with
// empty disks, as a deployment does.
func (r *scriptRun) emptyRemoved() {
	for _, id := range r.ids {
		if m := r.members[id]; m.node != nil && m.expelled.Load() == m.node {
			r.restart(id)
		}
	}
}
