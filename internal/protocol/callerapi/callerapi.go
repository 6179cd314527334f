// Package callerapi defines the callers' HTTP interface apart from the upstreams'
// answers: headers, refusals and the list of node addresses.
package callerapi

import (
	"net/http"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Headers of callers' requests and of answers to them.
const (
	// HeaderRequestID carries the request id on every answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderTeam names the caller's team.
	HeaderTeam = "X-Team"
	// HeaderRoute names the route where path and model do not determine it.
	HeaderRoute = "X-Route"
	// HeaderDeadline is the caller's time limit for the request: a Go duration
	// such as 1.5s or a whole number of milliseconds.
	HeaderDeadline = "X-Deadline"
	// HeaderIdempotencyKey carries a UUIDv7 on non-idempotent routes.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" on an answer that is replayed from the ledger.
	HeaderReplayed = "Idempotent-Replayed"
	// HeaderOutcome repeats the outcome of a refusal.
	HeaderOutcome = "X-Outcome"
	// HeaderUpstream names the upstream that ran the request.
	HeaderUpstream = "X-Upstream"
	// HeaderVersion names the version that ran the request.
	HeaderVersion = "X-Upstream-Version"
)

// PathAddresses answers GET with an AddressList.
const PathAddresses = "/v1/addresses"

// Outcome states whether a refused request may have run.
type Outcome string

const (
	// NotRun means that no byte of this send reached an upstream and, for a request
	// with an idempotency key, that no other send of it had run.
	NotRun Outcome = "not_run"
	// NotSent means that no byte of this send reached an upstream, and that it is not
	// known whether another send under its idempotency key did.
	NotSent Outcome = "not_sent"
	// MayHaveRun means that the request may have run or may still run.
	MayHaveRun Outcome = "may_have_run"
)

// Reason is the machine-readable cause of a refusal. Besides the constants below
// it may have any value of scheduler.Reason.
type Reason string

// Reasons in addition to those of the scheduler.
const (
	ReasonBadRequest     Reason = "bad_request"
	ReasonUnknownRoute   Reason = "unknown_route"
	ReasonUnknownTeam    Reason = "unknown_team"
	ReasonUnknownModel   Reason = "unknown_model"
	ReasonBadDeadline    Reason = "bad_deadline"
	ReasonKeyMissing     Reason = "idempotency_key_missing"
	ReasonKeyMalformed   Reason = "idempotency_key_malformed"
	ReasonKeyMismatch    Reason = "idempotency_key_reused"
	ReasonKeyExpired     Reason = "idempotency_key_expired"
	ReasonTooLarge       Reason = "too_large"
	ReasonTooSlow        Reason = "too_slow"
	ReasonMethod         Reason = "method_not_allowed"
	ReasonLedgerFull     Reason = "ledger_full"
	ReasonNoQuorum       Reason = "no_quorum"
	ReasonUpstreamFailed Reason = "upstream_failed"
	ReasonAnswerMismatch Reason = "answer_mismatch"
	ReasonAnswerLost     Reason = "answer_lost"
	ReasonTimeout        Reason = "timeout"
	// ReasonQuota is also a scheduler.Reason: the team has used up its quota.
	ReasonQuota      Reason = "quota"
	ReasonCallerLeft Reason = "caller_left"
	// ReasonPoisonPart is also a scheduler.Reason: upstreams end when they answer a
	// request with a part of this prompt.
	ReasonPoisonPart Reason = "poison_part"
	// ReasonPoisonRequest is also a scheduler.Reason: upstreams end when they run this
	// request.
	ReasonPoisonRequest Reason = "poison_request"
)

// Refusal is the JSON body of an answer to a request that was refused or failed.
type Refusal struct {
	Error RefusalError `json:"error"`
}

// RefusalError is the content of a Refusal.
type RefusalError struct {
	Message   string          `json:"message"`
	Reason    Reason          `json:"reason"`
	Outcome   Outcome         `json:"outcome"`
	Tier      ident.TierName  `json:"tier,omitempty"`
	RequestID ident.RequestID `json:"request_id"`
	// RetryAfterSeconds repeats the Retry-After header; zero means none.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
	// Addresses lists other nodes to try when this node can't serve requests.
	Addresses []string `json:"addresses,omitempty"`
}

// Status returns the HTTP status for the refusal's reason.
func (e *RefusalError) Status() int {
	switch e.Reason {
	case ReasonBadRequest, ReasonBadDeadline, ReasonKeyMissing, ReasonKeyMalformed:
		return http.StatusBadRequest
	case ReasonUnknownRoute, ReasonUnknownModel:
		return http.StatusNotFound
	case ReasonUnknownTeam:
		return http.StatusForbidden
	case ReasonMethod:
		return http.StatusMethodNotAllowed
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonTooSlow:
		return http.StatusRequestTimeout
	case ReasonKeyMismatch, ReasonPoisonPart, ReasonPoisonRequest:
		return http.StatusUnprocessableEntity
	case ReasonKeyExpired:
		return http.StatusGone
	case ReasonUpstreamFailed, ReasonAnswerMismatch, ReasonAnswerLost:
		return http.StatusBadGateway
	case ReasonTimeout:
		return http.StatusGatewayTimeout
	case ReasonQuota:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// AddressList lists the nodes that a caller should use, best first.
type AddressList struct {
	Addresses []Address `json:"addresses"`
	// TTLSeconds is how long a caller may keep the list.
	TTLSeconds float64 `json:"ttl_seconds"`
}

// Address is a node that serves callers.
type Address struct {
	Node    ident.NodeID `json:"node"`
	Address string       `json:"address"`
	Zone    ident.Zone   `json:"zone,omitempty"`
}
