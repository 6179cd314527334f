// Package ledger records claims of requests that may run at most once. It is
// part of the replicated state machine: deterministic, without I/O.
package ledger

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Shard selects the replica group that owns a key.
type Shard uint16

// Key identifies one non-idempotent request.
type Key struct {
	Shard Shard
	Team  ident.TeamName
	Route ident.RouteName
	// Idempotency is the caller's Idempotency-Key, a UUIDv7 in text form.
	Idempotency string
}

// Digest is the hash of a request's method, path and body.
type Digest [32]byte

// Claim asks for the sole right to dispatch a request.
type Claim struct {
	Key         Key
	Digest      Digest
	Gateway     ident.NodeID
	Incarnation ident.Incarnation
	Request     ident.RequestID
	// Attempt counts the claims of one request: a request that claims again
	// after a release names a higher attempt.
	Attempt uint32
	// At is the proposer's wall-clock time; the ledger's clock never goes back.
	At time.Time
}

// Verdict is the ledger's answer to a claim.
type Verdict string

const (
	// VerdictGranted permits the claimant to dispatch.
	VerdictGranted Verdict = "granted"
	// VerdictRunning means that another live claimant holds the key.
	VerdictRunning Verdict = "running"
	// VerdictRecorded means that the outcome is known and replayed.
	VerdictRecorded Verdict = "recorded"
	// VerdictMayHaveRun means that the claimant was lost; the outcome is unknown.
	VerdictMayHaveRun Verdict = "may_have_run"
	// VerdictMismatch means that the key was used with another request.
	VerdictMismatch Verdict = "mismatch"
	// VerdictExpired means that the key is older than the retention window.
	VerdictExpired Verdict = "expired"
	// VerdictFull means that the ledger has reached its memory bound.
	VerdictFull Verdict = "full"
	// VerdictMalformed means that the key is not a UUIDv7.
	VerdictMalformed Verdict = "malformed"
	// VerdictStale means that the claimant's node lease has ended.
	VerdictStale Verdict = "stale"
)

// Answer is a recorded upstream answer.
type Answer struct {
	Status      int
	ContentType string
	// Body is empty when Truncated is set: the answer exceeded the limit.
	Body      []byte
	Truncated bool
}

// ClaimResult is the outcome of a claim.
type ClaimResult struct {
	Verdict Verdict
	// Answer is set with VerdictRecorded.
	Answer *Answer
	// Holder is set with VerdictRunning and VerdictMayHaveRun.
	Holder ident.NodeID
}

// Release gives back a claim whose request was provably never sent.
type Release struct {
	Key     Key
	Request ident.RequestID
	// Attempt names the claim that is given back, so that a late duplicate of
	// this release can't undo a later claim.
	Attempt uint32
	// At is the proposer's wall-clock time.
	At time.Time
}

// Complete records the outcome of a claimed request. A nil Answer records that
// the request may have run and its answer was lost.
type Complete struct {
	Key     Key
	Request ident.RequestID
	Answer  *Answer
	At      time.Time
}

// Resolve records what the service's own status query says about a request
// whose outcome was lost.
type Resolve struct {
	Key    Key
	Answer Answer
	At     time.Time
}

// Outcome is the ledger's answer to a release, a completion or a resolution.
type Outcome string

const (
	// OutcomeDone means that the change is recorded, now or by an earlier copy
	// of the same command.
	OutcomeDone Outcome = "done"
	// OutcomeNotHeld means that the request doesn't hold the key.
	OutcomeNotHeld Outcome = "not_held"
	// OutcomeKnown means that another outcome was recorded before; it stands.
	OutcomeKnown Outcome = "known"
)

// Limits bound the memory of a ledger.
type Limits struct {
	// Retention is how long after its time of issue a key is remembered.
	Retention time.Duration
	// MaxSkew is how far in the future a key's time of issue may lie.
	MaxSkew time.Duration
	// MaxEntries bounds the remembered keys.
	MaxEntries int
	// MaxBytes bounds the accounted memory of keys and answers, in bytes.
	MaxBytes int64
	// MaxAnswerBytes bounds the body of one recorded answer, in bytes.
	MaxAnswerBytes int
}

// DefaultLimits returns the limits of a production ledger. All replicas of one
// group must use the same.
func DefaultLimits() Limits {
	return Limits{
		Retention:      time.Hour,
		MaxSkew:        5 * time.Minute,
		MaxEntries:     200_000,
		MaxBytes:       96 << 20,
		MaxAnswerBytes: 64 << 10,
	}
}
