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
}

// Complete records the outcome of a claimed request. A nil Answer records that
// the request may have run and its answer was lost.
type Complete struct {
	Key     Key
	Request ident.RequestID
	Answer  *Answer
	At      time.Time
}
