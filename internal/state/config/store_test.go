package config

import (
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// drawConfig generates a small configuration of teams and moves, which may be
// invalid.
func drawConfig(t *rapid.T) Config {
	c := Config{Teams: map[ident.TeamName]Team{}, Moves: map[ident.MoveName]Move{}}
	for _, name := range []ident.TeamName{"a", "b", "c"} {
		if shares := rapid.IntRange(0, 2).Draw(t, "shares"); shares > 0 {
			c.Teams[name] = Team{Shares: shares}
		}
	}
	if rapid.Bool().Draw(t, "move") {
		zone := time.FixedZone("x", rapid.IntRange(0, 2).Draw(t, "zone")*3600)
		c.Moves["m"] = Move{Deadline: time.Unix(1_900_000_000, 5).In(zone)}
	}
	return c.normalize()
}

// TestDelta_ApplyAndCompose checks that applying the delta between two
// configurations to the first gives the second, that deltas compose, and that
// equal configurations have equal encodings.
func TestDelta_ApplyAndCompose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawConfig(t), drawConfig(t), drawConfig(t)
		ab, bc := Diff(a, b), Diff(b, c)
		must.Eq(t, b, a.Apply(ab).normalize())
		must.Eq(t, c, a.Apply(compose([]Step{{Delta: ab}, {Delta: bc}})).normalize())
		must.Eq(t, 0, Diff(a, a).Size())
		must.Eq(t, a.Digest() == b.Digest(), ab.Size() == 0)
		decoded, err := Decode(a.Encode())
		must.NoError(t, err)
		must.Eq(t, a, decoded)
	})
}

// TestStore_AgreesWithModel runs concurrent and repeated operations against a store
// that is encoded and restored at arbitrary points, while a node follows it by
// updates. The reference model is the list of accepted configurations and the first
// outcome of each operation ID.
func TestStore_AgreesWithModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore()
		accepted := []Config{{}}
		authors := []string{""}
		first := map[OperationID]Outcome{}
		var sent []Operation
		have, node := ident.Revision(0), Config{}
		send := func(t *rapid.T, op Operation) {
			outcome := store.Apply(op)
			if want, known := first[op.ID]; known {
				must.Eq(t, want, outcome)
				return
			}
			latest := ident.Revision(len(accepted) - 1)
			want := Outcome{Verdict: VerdictConflict, Revision: latest, Who: authors[latest]}
			if op.Base == latest {
				want = Outcome{Verdict: VerdictAccepted, Revision: latest + 1, Who: op.Who}
				accepted = append(accepted, accepted[latest].Apply(*op.Delta).normalize())
				authors = append(authors, op.Who)
			}
			must.Eq(t, want, outcome)
			first[op.ID] = outcome
		}
		t.Repeat(map[string]func(*rapid.T){
			"apply": func(t *rapid.T) {
				base := rapid.IntRange(max(0, len(accepted)-3), len(accepted)-1).Draw(t, "base")
				next := drawConfig(t)
				delta := Diff(accepted[base], next)
				name := string(rune('a' + len(sent)%26))
				op := Operation{
					ID: OperationID(name) + OperationID(rune('0'+len(sent)/26)), Base: ident.Revision(base),
					Who: name, At: testNow, Delta: &delta, Digest: next.Digest(),
				}
				sent = append(sent, op)
				send(t, op)
			},
			"resend": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("no operation sent yet")
				}
				op := rapid.SampledFrom(sent).Draw(t, "op")
				send(t, op)
				op.Digest[0]++
				must.Eq(t, VerdictReused, store.Apply(op).Verdict)
			},
			"corrupt": func(t *rapid.T) {
				delta := Delta{}
				op := Operation{ID: "corrupt", Base: store.Revision, Delta: &delta, Digest: Digest{1}}
				got := store.Apply(op).Verdict
				must.True(t, got == VerdictCorrupt || got == VerdictReused)
			},
			"follow": func(t *rapid.T) {
				update := store.UpdateFrom(have)
				if update == nil {
					must.Eq(t, store.Revision, have)
					return
				}
				next, err := update.Apply(node)
				must.NoError(t, err)
				have, node = update.To, next
				must.Eq(t, accepted[have], node)
			},
			"restore": func(t *rapid.T) {
				data, err := encoding.Marshal(store)
				must.NoError(t, err)
				restored := &Store{}
				must.NoError(t, cbor.Unmarshal(data, restored))
				store = restored
			},
			"": func(t *rapid.T) {
				must.Eq(t, ident.Revision(len(accepted)-1), store.Revision)
				must.Eq(t, accepted[store.Revision], store.Config)
				must.Eq(t, len(accepted)-1, len(store.History))
			},
		})
	})
}

// TestStore_FullUpdateBeyondKeptDeltas checks that a node that lags by more than
// maxDeltas revisions gets the full configuration, and that the outcome of the
// latest operation is still known.
func TestStore_FullUpdateBeyondKeptDeltas(t *testing.T) {
	store := NewStore()
	var last Operation
	for i := range maxDeltas + 100 {
		next := Config{Teams: map[ident.TeamName]Team{"a": {Shares: i + 1}}}
		delta := Diff(store.Config, next)
		last = Operation{ID: OperationID(time.Duration(i).String()), Base: store.Revision, Delta: &delta, Digest: next.Digest()}
		must.Eq(t, VerdictAccepted, store.Apply(last).Verdict)
	}
	must.Len(t, maxDeltas, store.Steps)
	must.NotNil(t, store.UpdateFrom(store.Revision-maxDeltas).Delta)
	must.NotNil(t, store.UpdateFrom(store.Revision-maxDeltas-1).Full)
	must.Eq(t, VerdictAccepted, store.Apply(last).Verdict)
	must.True(t, slices.IsSortedFunc(store.History, func(a, b Change) int { return int(a.Revision) - int(b.Revision) }))
}
