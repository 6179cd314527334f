package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const (
	// maxHistory is the maximum number of accepted changes in the history.
	maxHistory = 4096
	// maxOperations is the maximum number of operations whose outcomes are
	// remembered to recognize retries.
	maxOperations = 8192
	// maxDeltas is the maximum number of deltas kept for nodes that lag behind.
	maxDeltas = 512
	// maxDeltaObjects is the maximum number of objects in all kept deltas together.
	maxDeltaObjects = 20_000
)

// OperationID identifies an operation. Retries of an operation use the same ID.
type OperationID string

// Operation is a request to replace the configuration of revision Base.
type Operation struct {
	ID   OperationID
	Base ident.Revision
	Who  string
	At   time.Time
	// Delta turns the configuration of Base into the new one. It is nil if the
	// proposer already knew that Base was outdated.
	Delta *Delta
	// Digest is the digest of the new configuration.
	Digest Digest

	// Numbered, if set, replaces the compare-and-swap on Base by the rule that the
	// highest number wins. Base, Delta and Digest are then ignored, and retries
	// are not recognized by ID.
	Numbered *Numbered `cbor:",omitempty"`
	// Refresh replaces the configuration of the current number by what a newer build
	// reads in the same text.
	Refresh bool `cbor:",omitempty"`
}

// Numbered is a complete configuration with a version number chosen by its author.
type Numbered struct {
	Number uint64
	Config Config
	// Document is the text that the author submitted. It is stored so that it can
	// be read back unchanged.
	Document []byte
	// Level is the feature level of the build that read Document.
	Level uint32 `cbor:",omitempty"`
}

// Reader reads a configuration from the text that an operator submitted. It returns an
// error if the text is no valid configuration.
type Reader func(text []byte) (Numbered, error)

// ErrInvalid means that a submitted text is no valid configuration.
var ErrInvalid = errors.New("invalid configuration")

// Verdict is the result of an operation.
type Verdict string

const (
	// VerdictAccepted means that the operation created a new revision.
	VerdictAccepted Verdict = "accepted"
	// VerdictOvertaken means that the number of the operation is not greater than
	// the current one, so that nothing was changed.
	VerdictOvertaken Verdict = "overtaken"
	// VerdictConflict means that Base is not the current revision.
	VerdictConflict Verdict = "conflict"
	// VerdictReused means that the operation ID was used before with different
	// content.
	VerdictReused Verdict = "reused_operation_id"
	// VerdictCorrupt means that the result of applying the delta doesn't have the
	// digest of the operation.
	VerdictCorrupt Verdict = "corrupt"
)

// Outcome is the outcome of an operation. It is final: a retry gets the same one.
type Outcome struct {
	Verdict Verdict
	// Revision is the new revision if the operation was accepted, and otherwise
	// the revision that was current.
	Revision ident.Revision
	// Who is the author of Revision.
	Who string
}

// Change is the history entry of an accepted operation.
type Change struct {
	Revision  ident.Revision
	Operation OperationID
	Who       string
	At        time.Time
	Summary   string
	Digest    Digest
}

// FinishedOperation is an operation that was decided, with its outcome.
type FinishedOperation struct {
	ID      OperationID
	Base    ident.Revision
	Digest  Digest
	Outcome Outcome
}

// Step is the delta that led to a revision from the one before it.
type Step struct {
	Revision ident.Revision
	Delta    Delta
}

// Store is the replicated configuration with its history. It is not safe for
// concurrent use. Its fields are exported only so that they are encoded.
type Store struct {
	Revision   ident.Revision
	Config     Config
	Digest     Digest
	History    []Change
	Operations []FinishedOperation
	Steps      []Step
	// Number and Document are those of the latest accepted numbered operation.
	Number   uint64 `cbor:",omitempty"`
	Document []byte `cbor:",omitempty"`
	// Level is the feature level of the build that read Document.
	Level uint32 `cbor:",omitempty"`
}

// NewStore returns a store with the empty configuration at revision 0.
func NewStore() *Store {
	return &Store{Digest: Config{}.Digest()}
}

// Apply accepts or rejects an operation. A retry of a remembered operation gets
// the first outcome again.
func (s *Store) Apply(op Operation) Outcome {
	switch {
	case op.Numbered != nil && op.Refresh:
		return s.refresh(op)
	case op.Numbered != nil:
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

// applyNumbered accepts a numbered configuration if its number is greater than all
// accepted ones. The content of an accepted number is therefore never replaced.
func (s *Store) applyNumbered(op Operation) Outcome {
	if op.Numbered.Number <= s.Number {
		return Outcome{Verdict: VerdictOvertaken, Revision: s.Revision, Who: s.author()}
	}
	next := op.Numbered.Config.normalize()
	delta := Diff(s.Config, next)
	op.Delta = &delta
	op.Digest = next.Digest()
	s.Number = op.Numbered.Number
	s.Document, s.Level = op.Numbered.Document, op.Numbered.Level
	return s.accept(op, next)
}

// refresh replaces the configuration of the current number. Replicas and nodes that have run
// an older build may lack different fields of it, so all of them get it as a whole: it is a
// new revision even if it changes nothing here.
func (s *Store) refresh(op Operation) Outcome {
	if op.Numbered.Number != s.Number {
		return Outcome{Verdict: VerdictOvertaken, Revision: s.Revision, Who: s.author()}
	}
	next := op.Numbered.Config.normalize()
	delta := Diff(s.Config, next)
	op.Delta = &delta
	op.Digest = next.Digest()
	s.Level = op.Numbered.Level
	outcome := s.accept(op, next)
	s.Steps = nil
	return outcome
}

// accept makes next the configuration of a new revision.
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

// findFinished returns the latest remembered operation with the given ID.
func (s *Store) findFinished(id OperationID) (FinishedOperation, bool) {
	for i := range slices.Backward(s.Operations) {
		if s.Operations[i].ID == id {
			return s.Operations[i], true
		}
	}
	return FinishedOperation{}, false
}

// author returns who made the current revision, or "" for revision 0.
func (s *Store) author() string {
	if len(s.History) == 0 {
		return ""
	}
	return s.History[len(s.History)-1].Who
}

// trimSteps drops the oldest deltas that exceed maxDeltas or maxDeltaObjects.
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

// lastN returns the last n elements. It copies them if elements are dropped, so
// that the dropped ones can be garbage collected.
func lastN[T any](list []T, n int) []T {
	if len(list) <= n {
		return list
	}
	return slices.Clone(list[len(list)-n:])
}

// Update brings a node from revision From to revision To. Exactly one of Full and
// Delta is set.
type Update struct {
	From   ident.Revision
	To     ident.Revision
	Digest Digest
	Full   *Config
	Delta  *Delta
}

// UpdateFrom returns the update from revision have to the current revision, or nil
// if have is up to date. The update holds the full configuration if the deltas
// since have are no longer kept.
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
	delta := compose(s.Steps[len(s.Steps)-behind:])
	update.Delta = &delta
	return update
}

// Apply returns the configuration of revision To; c must be that of revision From.
// It returns an error if the result doesn't have the expected digest; the node then
// requests an update from revision 0.
func (u *Update) Apply(c Config) (Config, error) {
	var next Config
	switch {
	case u.Full != nil:
		next = u.Full.normalize()
	case u.Delta != nil:
		next = c.Apply(*u.Delta).normalize()
	default:
		return Config{}, fmt.Errorf("config: update from revision %d to %d has neither a full configuration nor a delta", u.From, u.To)
	}
	if next.Digest() != u.Digest {
		return Config{}, fmt.Errorf("config: update from revision %d to %d: result does not have the expected digest %s", u.From, u.To, u.Digest)
	}
	return next, nil
}

// Summary returns a one-line description of the delta for the history.
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
