// Package upstreamapi defines the HTTP interface that the system expects of
// model engines, plain services, the weight store and the platform's list of
// VMs. Completion calls have the shape that model servers commonly speak; see
// package openai.
package upstreamapi

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Paths of an engine beside its completion calls.
const (
	// PathLoad answers GET with a Load. It lags.
	PathLoad = "/v1/load"
	// PathCacheEvents answers GET ?after=SEQUENCE with a CacheEvents.
	PathCacheEvents = "/v1/cache/events"
	// PathOrders takes POST with an Order and answers an OrderReply.
	PathOrders = "/v1/orders"
	// PathStreams followed by a request id answers GET ?after=EVENTS by
	// resuming a broken stream, and DELETE by cancelling the request.
	PathStreams = "/v1/streams/"
	// PathVMs of the platform answers GET with a VMList.
	PathVMs = "/v1/vms"
)

// Headers on calls to upstreams and on their answers.
const (
	// HeaderRequestID carries the request id. The upstream repeats it in its
	// answer, so that a crossed answer is noticed.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey carries the caller's key to plain services.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeartbeatComment is the server-sent-event comment that an engine writes while
// it has no token to send.
const HeartbeatComment = ": heartbeat"

// Load is an engine's report about itself.
type Load struct {
	Running   int     `json:"running"`
	Waiting   int     `json:"waiting"`
	CacheUsed float64 `json:"cache_used"`
	// TakenAt is the engine's wall-clock time of the figures.
	TakenAt  time.Time           `json:"taken_at"`
	Versions []ident.VersionName `json:"versions"`
}

// CacheEvents is a batch of prefix cache events. First is the sequence of the
// first event; a gap after the last one seen means that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent tells which prefix blocks were stored or evicted.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
	Cleared  bool     `json:"cleared,omitempty"`
}

// OrderKind is what an order asks of an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks an engine to change what it runs.
type Order struct {
	ID      string            `json:"id"`
	Kind    OrderKind         `json:"kind"`
	Version ident.VersionName `json:"version,omitempty"`
	Role    string            `json:"role,omitempty"`
	// Fence grows with every order; an engine that checks refuses a lower one.
	Fence uint64 `json:"fence"`
}

// OrderReply is an engine's answer to an order.
type OrderReply struct {
	Accepted bool `json:"accepted"`
	// HighestFence is the highest fencing number that the engine has seen.
	HighestFence uint64 `json:"highest_fence"`
	Error        string `json:"error,omitempty"`
}

// VMState is the platform's word on a VM.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	// Address is the VM's IP number or host:port of the upstream on it.
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}
