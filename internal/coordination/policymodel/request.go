package policymodel

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Request is one request of a run.
type Request struct {
	ID         ident.RequestID
	Gateway    ident.NodeID
	Tier       ident.TierName
	Team       ident.TeamName
	Route      ident.RouteName
	Idempotent bool
	// Prompt and Output are the true token counts.
	Prompt int
	Output int
	// EstimatedOutput is the gateway's guess at Output.
	EstimatedOutput int
	// Prefixes holds the chained hashes of the prompt's blocks.
	Prefixes []uint64
	Arrival  time.Duration
	Deadline time.Duration

	// Engine is the engine that ran the request, nil if none did.
	Engine *Engine
	// Load is the engine's requests over its bound at dispatch.
	LoadAtDispatch float64
	Dispatched     time.Duration
	FirstToken     time.Duration
	Ended          time.Duration
	Outcome        Outcome
	// prefilled counts prompt tokens computed for the request, also in vain.
	prefilled int
}

// Outcome is how a request ended.
type Outcome uint8

const (
	// OutcomePending means that the request has not ended.
	OutcomePending Outcome = iota
	// OutcomeDone means that the whole answer came by the deadline.
	OutcomeDone
	// OutcomeLate means that the caller left at the deadline.
	OutcomeLate
	// OutcomeRefused means that the policy refused the request unsent.
	OutcomeRefused
	// OutcomeFailed means that the engine failed the request.
	OutcomeFailed
)
