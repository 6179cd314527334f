// Package ledger records claims on requests that must run at most once. It is
// part of the replicated state machine, so it is deterministic and does no I/O.
package ledger

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Shard selects the replica group that owns a key.
type Shard uint16

// Key identifies a non-idempotent request.
type Key struct {
	Shard Shard
	Team  ident.TeamName
	Route ident.RouteName
	// Idempotency is the caller's Idempotency-Key, a UUIDv7 in text form.
	Idempotency string
}

// Digest is the hash of a request's method, path and body. The zero value means
// that the hash is unknown.
type Digest [32]byte

// Claim requests the exclusive right to dispatch a request.
type Claim struct {
	Key         Key
	Digest      Digest
	Gateway     ident.NodeID
	Incarnation ident.Incarnation
	Request     ident.RequestID
	// Attempt numbers the claims of a request: a new claim after a release has a
	// higher attempt.
	Attempt uint32
	// At is the proposer's wall-clock time. It advances the ledger's clock, which
	// never goes back.
	At time.Time
}

// Verdict is the ledger's decision on a claim.
type Verdict string

const (
	// VerdictGranted permits the claimant to dispatch the request.
	VerdictGranted Verdict = "granted"
	// VerdictRunning means that another claim, whose claimant is live, holds the
	// key.
	VerdictRunning Verdict = "running"
	// VerdictRecorded means that the request ran before and its recorded answer
	// is returned.
	VerdictRecorded Verdict = "recorded"
	// VerdictMayHaveRun means that the outcome of an earlier claim is unknown: its
	// claimant's node lease ended, or the answer was lost.
	VerdictMayHaveRun Verdict = "may_have_run"
	// VerdictMismatch means that the key was used with a different request.
	VerdictMismatch Verdict = "mismatch"
	// VerdictExpired means that the key is older than the retention window.
	VerdictExpired Verdict = "expired"
	// VerdictFull means that the ledger has reached its memory bound.
	VerdictFull Verdict = "full"
	// VerdictMalformed means that the key is not a UUIDv7 or was issued too far in
	// the future.
	VerdictMalformed Verdict = "malformed"
	// VerdictStale means that the claimant's node lease has ended, or that the
	// claim was released before it arrived.
	VerdictStale Verdict = "stale"
)

// Answer is a recorded upstream answer.
type Answer struct {
	Status      int
	ContentType string
	// Body is empty if Truncated is set, which means that the body exceeded a
	// limit and was not recorded.
	Body      []byte
	Truncated bool
}

// ClaimResult is the result of a claim or a lookup.
type ClaimResult struct {
	Verdict Verdict
	// Answer is set with VerdictRecorded.
	Answer *Answer
	// Holder is the gateway of the existing claim. It is set with VerdictRunning
	// and VerdictMayHaveRun.
	Holder ident.NodeID
}

// Release releases a claim whose request was provably never sent.
type Release struct {
	Key     Key
	Request ident.RequestID
	// Attempt identifies the claim to release, so that a delayed duplicate of the
	// release can't undo a later claim.
	Attempt uint32
	// At is the proposer's wall-clock time.
	At time.Time
}

// Complete records the outcome of a claimed request. A nil Answer means that the
// request may have run and its answer was lost.
type Complete struct {
	Key     Key
	Request ident.RequestID
	Answer  *Answer
	At      time.Time
}

// Resolve records the outcome of a request whose answer was lost, as obtained from
// the service's own status query.
type Resolve struct {
	Key    Key
	Answer Answer
	At     time.Time
}

// Outcome is the result of a Release, a Complete or a Resolve.
type Outcome string

const (
	// OutcomeDone means that the change is recorded, either now or by an earlier
	// copy of the same command.
	OutcomeDone Outcome = "done"
	// OutcomeNotHeld means that the request doesn't hold the key.
	OutcomeNotHeld Outcome = "not_held"
	// OutcomeKnown means that an outcome was already recorded. That outcome
	// remains in effect.
	OutcomeKnown Outcome = "known"
)

// Limits bounds the memory of a ledger and the age of its keys.
type Limits struct {
	// Retention is how long a key is kept, measured from its time of issue.
	Retention time.Duration
	// MaxSkew is how far in the future a key's time of issue may be.
	MaxSkew time.Duration
	// MaxEntries is the maximum number of keys.
	MaxEntries int
	// MaxBytes is the maximum accounted memory of keys and answers, in bytes.
	MaxBytes int64
	// MaxAnswerBytes is the maximum size of a recorded answer's body, in bytes.
	MaxAnswerBytes int
}

// DefaultLimits returns the limits used in production. All replicas of a group
// must use the same limits, or their states would diverge.
func DefaultLimits() Limits {
	return Limits{
		Retention:      time.Hour,
		MaxSkew:        5 * time.Minute,
		MaxEntries:     200_000,
		MaxBytes:       96 << 20,
		MaxAnswerBytes: 64 << 10,
	}
}
