package consensus

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// mutations are the deliberate errors that the histories of whole replicas
// must find.
var mutations = map[string]faults{
	"lease without margin":                    {leaseWithoutMargin: true},
	"votes right after a restart":             {voteAfterRestart: true},
	"empty disk votes under its old identity": {incarnation: 7},
}

// TestFuzz_FindsMutations checks that as many generated histories as an
// ordinary run plays find each deliberate error.
func TestFuzz_FindsMutations(t *testing.T) {
	budget, err := strconv.Atoi(defaultHistories)
	must.NoError(t, err)
	for name, injected := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range budget {
				if err := check(t, scriptGen.Example(seed), injected); err != nil {
					t.Logf("found by history %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// TestCore_FindsMutations does the same with the histories of bare cores, where
// a message can be lost between two entries.
func TestCore_FindsMutations(t *testing.T) {
	budget, err := strconv.Atoi(defaultHistories)
	must.NoError(t, err)
	for name, injected := range map[string]faults{
		"replies before the sync":      {replyWithoutSync: true},
		"commits older terms by count": {commitOldTerms: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range budget * coreHistories {
				if err := playCore(int64(seed), 3, injected); err != nil {
					t.Logf("found by history %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}
