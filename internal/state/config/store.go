package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// maxHistory bounds the remembered accepted changes.
	maxHistory = 4096
	// maxOperations bounds the remembered outcomes of operations.
	maxOperations = 8192
	// maxDeltas bounds the deltas kept for nodes that are behind.
	maxDeltas = 512
	// maxDeltaObjects bounds the objects in all kept deltas together.
	maxDeltaObjects = 20_000
)

// OperationID identifies one operator's apply through all its resends.
type OperationID string

// Operation asks to replace the configuration of revision Base.
type Operation struct {
	ID   OperationID
	Base ident.Revision
	Who  string
	At   time.Time
	// Delta leads from the configuration of Base to the new one. It is nil
	// when the proposer knew already that Base is superseded.
	Delta *Delta
	// Digest is that of the new configuration.
	Digest Digest

	// Numbered, if set, replaces compare-and-set on Base by the policy that the
	// highest number wins; ID, Base and Delta are not used then.
	Numbered *Numbered `cbor:",omitempty"`
}

// Numbered is a whole configuration under a number that its author chose.
type Numbered struct {
	Number uint64
	Config Config
	// Document is the author's own text, for reading back.
	Document []byte
}

// Verdict tells what became of an operation.
type Verdict string

const (
	// VerdictAccepted means that the operation made a new revision.
	VerdictAccepted Verdict = "accepted"
	// VerdictOvertaken means that the number is not above the one in force; the
	// operation changes nothing.
	VerdictOvertaken Verdict = "overtaken"
	// VerdictConflict means that Base is not the present revision.
	VerdictConflict Verdict = "conflict"
	// VerdictReused means that the operation id was used for another content.
	VerdictReused Verdict = "reused_operation_id"
	// VerdictCorrupt means that the delta doesn't lead to the named digest.
	VerdictCorrupt Verdict = "corrupt"
)

// Outcome is the first and only outcome of an operation.
type Outcome struct {
	Verdict Verdict
	// Revision is the new revision of an accepted operation, and else the
	// revision that was present.
	Revision ident.Revision
	// Who made Revision.
	Who string
}

// Change is one accepted operation.
type Change struct {
	Revision  ident.Revision
	Operation OperationID
	Who       string
	At        time.Time
	Summary   string
	Digest    Digest
}

// FinishedOperation is a remembered operation.
type FinishedOperation struct {
	ID      OperationID
	Base    ident.Revision
	Digest  Digest
	Outcome Outcome
}

// Step is the delta that made a revision.
type Step struct {
	Revision ident.Revision
	Delta    Delta
}

// Store is the replicated configuration with its history. It is not safe for
// concurrent use. Its fields are exported for encoding only.
type Store struct {
	Revision   ident.Revision
	Config     Config
	Digest     Digest
	History    []Change
	Operations []FinishedOperation
	Steps      []Step
	// Number and Document are those of the latest numbered operation.
	Number   uint64 `cbor:",omitempty"`
	Document []byte `cbor:",omitempty"`
}

// NewStore returns a store with the empty configuration at revision 0.
func NewStore() *Store {
	return &Store{Digest: Config{}.Digest()}
}

// Apply decides on an operation. A copy of an earlier operation gets the first
// outcome again.
func (s *Store) Apply(op Operation) Outcome {
	if op.Numbered != nil {
		return s.applyNumbered(op)
	}
	if done, known := s.findFinished(op.ID); known {
		if done.Base != op.Base || done.Digest != op.Digest {
			return Outcome{Verdict: VerdictReused, Revision: s.Revision, Who: s.author()}
		}
		return done.Outcome
	}
	outcome := s.applyDelta(op)
	s.Operations = append(s.Operations, FinishedOperation{ID: op.ID, Base: op.Base, Digest: op.Digest, Outcome: outcome})
	s.Operations = lastN(s.Operations, maxOperations)
	return outcome
}

func (s *Store) applyDelta(op Operation) Outcome {
	if op.Base != s.Revision || op.Delta == nil {
		return Outcome{Verdict: VerdictConflict, Revision: s.Revision, Who: s.author()}
	}
	next := s.Config.Apply(*op.Delta).normalize()
	if next.Digest() != op.Digest {
		return Outcome{Verdict: VerdictCorrupt, Revision: s.Revision, Who: s.author()}
	}
	return s.accept(op, next)
}

// applyNumbered puts the configuration in force if its number is the highest.
// A number that was accepted is never replaced by other content.
func (s *Store) applyNumbered(op Operation) Outcome {
	if op.Numbered.Number <= s.Number {
		return Outcome{Verdict: VerdictOvertaken, Revision: s.Revision, Who: s.author()}
	}
	next := op.Numbered.Config.normalize()
	delta := Diff(s.Config, next)
	op.Delta = &delta
	op.Digest = next.Digest()
	s.Number = op.Numbered.Number
	s.Document = op.Numbered.Document
	return s.accept(op, next)
}

// accept makes next the new revision.
func (s *Store) accept(op Operation, next Config) Outcome {
	s.Revision++
	s.Config = next
	s.Digest = op.Digest
	s.History = lastN(append(s.History, Change{
		Revision: s.Revision, Operation: op.ID, Who: op.Who, At: op.At.Round(0).UTC(),
		Summary: op.Delta.Summary(), Digest: op.Digest,
	}), maxHistory)
	s.Steps = append(s.Steps, Step{Revision: s.Revision, Delta: *op.Delta})
	s.trimSteps()
	return Outcome{Verdict: VerdictAccepted, Revision: s.Revision, Who: op.Who}
}

// findFinished finds the outcome of an operation, the latest first.
func (s *Store) findFinished(id OperationID) (FinishedOperation, bool) {
	for i := range slices.Backward(s.Operations) {
		if s.Operations[i].ID == id {
			return s.Operations[i], true
		}
	}
	return FinishedOperation{}, false
}

// author returns who made the present revision.
func (s *Store) author() string {
	if len(s.History) == 0 {
		return ""
	}
	return s.History[len(s.History)-1].Who
}

// trimSteps drops the oldest deltas beyond the bounds.
func (s *Store) trimSteps() {
	objects := 0
	keep := 0
	for i := range slices.Backward(s.Steps) {
		objects += s.Steps[i].Delta.Size()
		if keep == maxDeltas || objects > maxDeltaObjects {
			break
		}
		keep++
	}
	s.Steps = lastN(s.Steps, keep)
}

// lastN returns the last n elements; it copies when the unused front has grown
// as large as the rest, so that memory stays bounded.
func lastN[T any](list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	return slices.Clone(list[len(list)-n:])
}

// Update carries a node from one revision to a later one: exactly one of Full
// and Delta is set.
type Update struct {
	From   ident.Revision
	To     ident.Revision
	Digest Digest
	Full   *Config
	Delta  *Delta
}

// UpdateFrom returns what a node at revision have needs, or nil.
func (s *Store) UpdateFrom(have ident.Revision) *Update {
	if have >= s.Revision {
		return nil
	}
	update := &Update{From: have, To: s.Revision, Digest: s.Digest}
	behind := int(s.Revision - have)
	if behind > len(s.Steps) {
		full := s.Config
		update.Full = &full
		return update
	}
	var delta Delta
	for _, step := range s.Steps[len(s.Steps)-behind:] {
		delta = delta.Then(step.Delta)
	}
	update.Delta = &delta
	return update
}

// Apply returns the configuration that the update makes of c, which must be
// that of revision From. It fails when the result has another digest; the node
// then asks again from revision 0.
func (u *Update) Apply(c Config) (Config, error) {
	var next Config
	switch {
	case u.Full != nil:
		next = u.Full.normalize()
	case u.Delta != nil:
		next = c.Apply(*u.Delta).normalize()
	default:
		return Config{}, fmt.Errorf("config: update to revision %d is empty", u.To)
	}
	if next.Digest() != u.Digest {
		return Config{}, fmt.Errorf("config: update from revision %d to %d gives another digest", u.From, u.To)
	}
	return next, nil
}

// Summary describes a delta in one line for the history.
func (d Delta) Summary() string {
	var parts []string
	add := func(kind string, set, removed int) {
		if set+removed > 0 {
			parts = append(parts, fmt.Sprintf("%s +%d -%d", kind, set, removed))
		}
	}
	add("tiers", len(d.Tiers.Set), len(d.Tiers.Removed))
	add("teams", len(d.Teams.Set), len(d.Teams.Removed))
	add("pools", len(d.Pools.Set), len(d.Pools.Removed))
	add("upstreams", len(d.Upstreams.Set), len(d.Upstreams.Removed))
	add("routes", len(d.Routes.Set), len(d.Routes.Removed))
	add("moves", len(d.Moves.Set), len(d.Moves.Removed))
	if len(parts) == 0 {
		return "no change"
	}
	return strings.Join(parts, ", ")
}
