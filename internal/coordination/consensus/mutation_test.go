package consensus

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

// mutations are the deliberate errors that the scripts on whole replicas must
// detect.
var mutations = map[string]faults{
	"lease without margin":                    {leaseWithoutMargin: true},
	"votes right after a restart":             {voteAfterRestart: true},
	"empty disk votes under its old identity": {incarnation: 7},
}

// TestFuzz_FindsMutations checks that each deliberate error is detected by as
// many generated scripts as a default run plays.
func TestFuzz_FindsMutations(t *testing.T) {
	budget, err := strconv.Atoi(defaultHistories)
	must.NoError(t, err)
	for name, injected := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range budget {
				if err := checkScript(t, scriptGen.Example(seed), injected); err != nil {
					t.Logf("found by history %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// TestFuzz_ReplacementsFindDeadVoters checks that scripts with replacements detect
// that dead voters keep their votes.
func TestFuzz_ReplacementsFindDeadVoters(t *testing.T) {
	budget, err := strconv.Atoi(defaultHistories)
	must.NoError(t, err)
	for seed := range budget / replacementShare {
		if err := checkReplacements(t, replacementScriptGen.Example(seed), false); err != nil {
			t.Logf("found by history %d: %v", seed, err)
			return
		}
	}
	t.Error("not found")
}

// TestCore_FindsMutations does the same with core histories, in which every
// AppendRequest carries a single entry, so that a message can be lost between
// any two entries.
func TestCore_FindsMutations(t *testing.T) {
	budget, err := strconv.Atoi(defaultHistories)
	must.NoError(t, err)
	for name, injected := range map[string]faults{
		"replies before the sync":      {replyWithoutSync: true},
		"commits older terms by count": {commitOldTerms: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range budget * coreHistoriesPerRun {
				if err := runCoreHistory(int64(seed), 3, injected); err != nil {
					t.Logf("found by history %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// TestCore_RecoveryFindsMutations does the same for the histories in which votes are
// recovered. A change of votes without an announcement is found by about one history in
// 1,200, so those begin shortly before one of them.
func TestCore_RecoveryFindsMutations(t *testing.T) {
	budget, err := strconv.Atoi(defaultHistories)
	must.NoError(t, err)
	for name, mutation := range map[string]struct {
		injected faults
		from     int
	}{
		"recovered votes for any log": {faults{recoverWithoutTip: true}, 0},
		"a single answer suffices":    {faults{recoverWithOne: true}, 0},
		"changes without notice":      {faults{unannounced: true}, 102500},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range budget * recoveryHistoriesPerRun {
				if _, err := runRecoveryHistory(int64(mutation.from+seed), mutation.injected); err != nil {
					t.Logf("found by history %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}

// TestCore_LateVotesDontCount delivers a vote after the campaign's timeout. A voter that
// recovers its vote relies on that no campaign counts one that it granted before.
func TestCore_LateVotesDontCount(t *testing.T) {
	for _, late := range []bool{false, true} {
		s := newCoreSim(1, 3, faults{})
		c := s.nodes[0].core
		s.now = latest(s.now, c.electionAt)
		c.campaign(s.now, false)
		if late {
			s.now = c.electionAt
		}
		c.countVote(s.now, s.replicas[0])
		c.countVote(s.now, s.replicas[1])
		must.Eq(t, !late, c.role == leader)
	}
}
