// Package opsapi defines the operators' HTTP interface: JSON calls under a
// bearer token, on a listener of their own.
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
	// PathConfig answers GET with a ConfigReply and takes POST with an
	// ApplyRequest, which it answers with an ApplyReply.
	PathConfig = "/v1/config"
	// PathHistory answers GET ?limit=N with a HistoryReply.
	PathHistory = "/v1/config/history"
	// PathStatus answers GET with a StatusReply.
	PathStatus = "/v1/status"
	// PathMoves answers GET with a MovesReply.
	PathMoves = "/v1/moves"
	// PathTimeline answers GET with a TimelineReply. The query fields request,
	// move, node and pool select events, limit keeps the latest.
	PathTimeline = "/v1/timeline"
	// PathRemoveReplica takes POST with a RemoveReplicaRequest.
	PathRemoveReplica = "/v1/replicas/remove"
	// PathDrain takes POST with a DrainRequest.
	PathDrain = "/v1/drain"
)

// Paths that need no token.
const (
	PathMetrics = "/metrics"
	// PathHealth answers 200 while the process works.
	PathHealth = "/healthz"
	// PathReady answers 200 while the node takes callers' requests.
	PathReady = "/readyz"
)

// ApplyRequest replaces the configuration of revision Base by the files.
type ApplyRequest struct {
	// ID is the same at every resend of one apply.
	ID    string         `json:"id"`
	Base  ident.Revision `json:"base"`
	Who   string         `json:"who"`
	Files []File         `json:"files"`
	// WaitSeconds bounds the wait until the revision is in force everywhere.
	WaitSeconds float64 `json:"wait_seconds,omitempty"`
}

// File is one file of the operators' folder.
type File struct {
	Name string `json:"name"`
	Data string `json:"data"`
}

// Mistake is one thing that is wrong or odd in a folder of files.
type Mistake struct {
	File string `json:"file"`
	Line int    `json:"line,omitempty"`
	Text string `json:"text"`
}

// ApplyReply tells what became of an apply.
type ApplyReply struct {
	// Verdict is that of config.Outcome; empty if the files have mistakes.
	Verdict  string         `json:"verdict,omitempty"`
	Revision ident.Revision `json:"revision"`
	// Who made Revision.
	Who      string    `json:"who,omitempty"`
	Mistakes []Mistake `json:"mistakes,omitempty"`
	Warnings []Mistake `json:"warnings,omitempty"`
	// InForce means that every node with a live lease has the revision.
	InForce bool           `json:"in_force"`
	Waiting []ident.NodeID `json:"waiting,omitempty"`
}

// ConfigReply is the present configuration.
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

// HistoryReply lists accepted configurations, the latest last.
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
	// Load is the node's own report, 0 to 255.
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

// Order is an order to an upstream that has not ended.
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
}

// Replica is one replica of the log.
type Replica struct {
	Node ident.NodeID `json:"node"`
	// Incarnation tells lives of a data folder apart, in hexadecimal.
	Incarnation string `json:"incarnation"`
	// Role is voter or learner.
	Role string `json:"role"`
}

// RemoveReplicaRequest ends the membership of a node's replica.
type RemoveReplicaRequest struct {
	Node ident.NodeID `json:"node"`
}

// RemoveReplicaReply tells that the replica is no member any more.
type RemoveReplicaReply struct {
	Node ident.NodeID `json:"node"`
}

// Move is the committed progress of one move.
type Move struct {
	Name  ident.MoveName    `json:"name"`
	Pool  ident.PoolName    `json:"pool"`
	From  ident.VersionName `json:"from"`
	To    ident.VersionName `json:"to"`
	State move.State        `json:"state"`
	// Share and NonIdempotentShare are the parts of traffic, 0 to 1, of To.
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

// DrainRequest asks a node to leave.
type DrainRequest struct {
	Node ident.NodeID `json:"node"`
}

// DrainReply tells that the node is marked as draining.
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
	// CodeUncertain means that the call may have taken effect; it may be sent
	// again unchanged.
	CodeUncertain Code = "uncertain"
)

// Status returns the HTTP status that goes with a code.
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
