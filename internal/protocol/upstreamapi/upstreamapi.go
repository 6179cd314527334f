// Package upstreamapi defines the HTTP interfaces that the system expects of
// model engines, plain services, the weight store and the platform's list of
// VMs. Completion calls have the format that is common among model servers; see
// package openai.
package upstreamapi

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Paths of an engine, apart from its completion calls, and of the platform.
const (
	// PathLoad answers GET with a Load, which may be out of date.
	PathLoad = "/v1/load"
	// PathCacheEvents answers GET ?after=SEQUENCE with a CacheEvents.
	PathCacheEvents = "/v1/cache/events"
	// PathOrders accepts POST with an Order and answers with an OrderReply.
	PathOrders = "/v1/orders"
	// PathStreams, followed by a request id, is the path of a request's stream.
	// GET ?after=EVENTS resumes a broken stream after that number of events,
	// DELETE cancels the request.
	PathStreams = "/v1/streams/"
	// PathVMs of the platform answers GET with a VMList.
	PathVMs = "/v1/vms"
)

// Headers on calls to upstreams and on their answers.
const (
	// HeaderRequestID carries the request id. The upstream echoes it in its
	// answer, so that an answer to another request is detected.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey carries the caller's key to plain services.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRateLimit on an answer names the requests a second, as a decimal
	// number, that the upstream takes from all gateways together for as long as its
	// answers say so. Completion calls and calls of plain services count. Resumes of
	// a stream at the same engine, status queries, load reports, cache events,
	// orders and cancellations don't.
	HeaderRateLimit = "X-Rate-Limit"
	// HeaderBrittle on an answer says that the upstream ends if it has to turn away
	// more than this many requests of all gateways in a second, as a decimal number.
	HeaderBrittle = "X-Brittle"
	// HeaderPause on an answer with status 503 asks the gateway for no requests for so
	// many seconds, as a decimal number of at most MaxPause.
	HeaderPause = "Retry-After"
	// HeaderLeaving on any answer says, with the value 1, that the upstream leaves and
	// wants no new requests. Under its name it gets none for scheduler.LeavingRetention.
	HeaderLeaving = "X-Leaving"
)

// HeartbeatComment is the server-sent-event comment that an engine writes while
// it has no token to send.
const HeartbeatComment = ": heartbeat"

// Load is an engine's load report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// CacheUsed is the filled part of the KV cache, 0 to 1.
	CacheUsed float64 `json:"cache_used"`
	// TakenAt is when the figures were taken, by the engine's wall clock.
	TakenAt  time.Time           `json:"taken_at"`
	Versions []ident.VersionName `json:"versions"`
}

// CacheEvents is a batch of prefix cache events. A gap between the sequence number
// of the last event seen and that of the first one here means that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent lists the prefix blocks that an engine's cache stored or evicted.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
	Cleared  bool     `json:"cleared,omitempty"`
}

// OrderKind is the kind of change that an order requests.
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
	// Fence is a fencing number that grows with every order. An engine that
	// checks it refuses an order whose number is lower than one it has seen.
	Fence uint64 `json:"fence"`
}

// OrderReply is an engine's answer to an order.
type OrderReply struct {
	Accepted bool `json:"accepted"`
	// HighestFence is the highest fencing number that the engine has seen.
	HighestFence uint64 `json:"highest_fence"`
	Error        string `json:"error,omitempty"`
}

// VMState is the state of a VM as the platform reports it.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the platform's list.
type VM struct {
	// Address is the VM's IP address or the host:port of the upstream on it.
	Address string  `json:"address"`
	State   VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs. It may be out of date.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}
