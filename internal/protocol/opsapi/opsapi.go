// Package opsapi defines the operators' HTTP interface: JSON calls that are
// authenticated by a bearer token, on a separate listener.
package opsapi

import (
	"net/http"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// Paths of the operators' calls.
const (
	// PathConfig answers GET with a ConfigReply. It accepts POST with an
	// ApplyRequest and answers with an ApplyReply.
	PathConfig = "/v1/config"
	// PathHistory answers GET ?limit=N with a HistoryReply.
	PathHistory = "/v1/config/history"
	// PathStatus answers GET with a StatusReply.
	PathStatus = "/v1/status"
	// PathMoves answers GET with a MovesReply.
	PathMoves = "/v1/moves"
	// PathTimeline answers GET with a TimelineReply. The query parameters
	// request, move, node and pool filter the events; limit=N keeps the latest N.
	PathTimeline = "/v1/timeline"
	// PathRemoveReplica accepts POST with a RemoveReplicaRequest and answers
	// with a RemoveReplicaReply.
	PathRemoveReplica = "/v1/replicas/remove"
	// PathDrain accepts POST with a DrainRequest and answers with a DrainReply.
	PathDrain = "/v1/drain"
)

// Paths that need no token.
const (
	PathMetrics = "/metrics"
	// PathHealth answers 200 while the process runs.
	PathHealth = "/healthz"
	// PathReady answers 200 while the node accepts callers' requests.
	PathReady = "/readyz"
)

// ApplyRequest asks to replace the configuration of revision Base with Files.
type ApplyRequest struct {
	// ID identifies the apply; a retry has the same ID.
	ID    string         `json:"id"`
	Base  ident.Revision `json:"base"`
	Who   string         `json:"who"`
	Files []File         `json:"files"`
	// WaitSeconds limits the wait for the revision to be in force everywhere.
	WaitSeconds float64 `json:"wait_seconds,omitempty"`
}

// File is one configuration file.
type File struct {
	Name string `json:"name"`
	Data string `json:"data"`
}

// Mistake is an error in the configuration files, or a warning about them.
type Mistake struct {
	File string `json:"file"`
	Line int    `json:"line,omitempty"`
	Text string `json:"text"`
}

// ApplyReply is the result of an apply.
type ApplyReply struct {
	// Verdict is a config.Verdict; empty if the files have mistakes.
	Verdict  string         `json:"verdict,omitempty"`
	Revision ident.Revision `json:"revision"`
	// Who is the author of Revision.
	Who      string    `json:"who,omitempty"`
	Mistakes []Mistake `json:"mistakes,omitempty"`
	Warnings []Mistake `json:"warnings,omitempty"`
	// InForce means that every node with a live lease has the revision.
	InForce bool           `json:"in_force"`
	Waiting []ident.NodeID `json:"waiting,omitempty"`
}

// ConfigReply is the current configuration.
type ConfigReply struct {
	Revision ident.Revision `json:"revision"`
	Digest   string         `json:"digest"`
	// YAML is the whole configuration as one file.
	YAML string `json:"yaml"`
}

// Change is one accepted configuration.
type Change struct {
	Revision ident.Revision `json:"revision"`
	Who      string         `json:"who"`
	At       time.Time      `json:"at"`
	Summary  string         `json:"summary"`
	Digest   string         `json:"digest"`
}

// HistoryReply lists accepted configurations, oldest first.
type HistoryReply struct {
	Changes []Change `json:"changes"`
}

// Node is one live node.
type Node struct {
	Node            ident.NodeID   `json:"node"`
	Zone            ident.Zone     `json:"zone"`
	CallerAddress   string         `json:"caller_address"`
	InternalAddress string         `json:"internal_address"`
	Draining        bool           `json:"draining"`
	Revision        ident.Revision `json:"revision"`
	// Load is the load that the node reports, 0 to 255.
	Load uint8 `json:"load"`
	// SilentSeconds is the time since the last heartbeat.
	SilentSeconds float64 `json:"silent_seconds"`
}

// Pool is the scheduler lease of a pool.
type Pool struct {
	Pool      ident.PoolName `json:"pool"`
	Scheduler ident.NodeID   `json:"scheduler"`
	Epoch     ident.Epoch    `json:"epoch"`
}

// Order is an open order to an upstream.
type Order struct {
	Upstream ident.UpstreamName `json:"upstream"`
	Kind     string             `json:"kind"`
	// Subject is the model, adapter, version or role.
	Subject string `json:"subject,omitempty"`
	Fence   uint64 `json:"fence"`
}

// StatusReply is the state of the system as the leader sees it.
type StatusReply struct {
	Leader        ident.NodeID   `json:"leader"`
	Term          uint64         `json:"term"`
	Index         uint64         `json:"index"`
	Revision      ident.Revision `json:"revision"`
	Nodes         []Node         `json:"nodes"`
	Pools         []Pool         `json:"pools"`
	Moves         []Move         `json:"moves"`
	Orders        []Order        `json:"open_orders"`
	Replicas      []Replica      `json:"replicas"`
	LedgerEntries int            `json:"ledger_entries"`
	LedgerBytes   int64          `json:"ledger_bytes"`
	// Features is the feature level that all nodes support.
	Features    uint32       `json:"features"`
	Evacuations []Evacuation `json:"evacuations,omitempty"`
}

// Replica is one replica of the replicated log.
type Replica struct {
	Node ident.NodeID `json:"node"`
	// Incarnation distinguishes successive data directories of the node,
	// in hexadecimal.
	Incarnation string `json:"incarnation"`
	// Role is voter or learner.
	Role string `json:"role"`
}

// RemoveReplicaRequest asks to remove a node's replica from the membership.
type RemoveReplicaRequest struct {
	Node ident.NodeID `json:"node"`
}

// RemoveReplicaReply confirms that the replica is no longer a member.
type RemoveReplicaReply struct {
	Node ident.NodeID `json:"node"`
}

// Move is the committed state of a move of traffic between two versions.
type Move struct {
	Name  ident.MoveName    `json:"name"`
	Pool  ident.PoolName    `json:"pool"`
	From  ident.VersionName `json:"from"`
	To    ident.VersionName `json:"to"`
	State move.State        `json:"state"`
	// Share is the fraction of the pool's idempotent traffic, 0 to 1, that To may
	// get, and NonIdempotentShare the fraction of its non-idempotent traffic.
	Share              float64   `json:"share"`
	NonIdempotentShare float64   `json:"non_idempotent_share"`
	Reason             string    `json:"reason,omitempty"`
	At                 time.Time `json:"at"`
}

// MovesReply lists all known moves.
type MovesReply struct {
	Moves []Move `json:"moves"`
}

// TimelineReply holds the merged events of all nodes.
type TimelineReply struct {
	Events []timeline.Event `json:"events"`
	// Missing names nodes that did not answer.
	Missing []ident.NodeID `json:"missing,omitempty"`
}

// DrainRequest asks a node to drain.
type DrainRequest struct {
	Node ident.NodeID `json:"node"`
}

// DrainReply confirms that the node is marked as draining.
type DrainReply struct {
	Node ident.NodeID `json:"node"`
}

// Code is the machine-readable cause of a failed call.
type Code string

// Codes of failed calls.
const (
	// CodeUnauthorized means that the token is missing or wrong.
	CodeUnauthorized Code = "unauthorized"
	CodeBadRequest   Code = "bad_request"
	// CodeNotFound means that the named object does not exist.
	CodeNotFound Code = "not_found"
	// CodeUnavailable means that the call certainly had no effect.
	CodeUnavailable Code = "unavailable"
	// CodeRefused means that the leader can't carry out the call at present and that it
	// had no effect.
	CodeRefused Code = "refused"
	// CodeUncertain means that the call may have taken effect; it is safe to
	// retry it unchanged.
	CodeUncertain Code = "uncertain"
)

// Status returns the HTTP status for the code.
func (c Code) Status() int {
	switch c {
	case CodeUnauthorized:
		return http.StatusUnauthorized
	case CodeBadRequest:
		return http.StatusBadRequest
	case CodeNotFound:
		return http.StatusNotFound
	case CodeUncertain:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// Error is the body of a failed call.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (e *Error) Error() string {
	return e.Message
}
