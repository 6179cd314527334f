package policymodel

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Request is one request of a run. Its times are virtual times, counted from the
// start of the run.
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
	// LoadAtDispatch is the number of requests in the engine when this one was
	// dispatched, divided by the engine's MaxConcurrent.
	LoadAtDispatch float64
	Dispatched     time.Duration
	FirstToken     time.Duration
	Ended          time.Duration
	Outcome        Outcome
	// prefilled counts the tokens that prefill computed for the request, including
	// repeated and wasted work.
	prefilled int
}

// Outcome is how a request ended.
type Outcome uint8

const (
	// OutcomePending means that the request has not ended.
	OutcomePending Outcome = iota
	// OutcomeDone means that the answer was complete by the deadline.
	OutcomeDone
	// OutcomeLate means that the deadline passed before the answer was complete.
	OutcomeLate
	// OutcomeRefused means that the policy refused the request without
	// dispatching it.
	OutcomeRefused
	// OutcomeFailed means that the engine failed the request.
	OutcomeFailed
)
