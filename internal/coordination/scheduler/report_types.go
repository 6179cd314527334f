package scheduler

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

// ReportKind is the kind of event that is reported about a granted request.
type ReportKind uint8

const (
	// ReportDispatched means that the request was sent.
	ReportDispatched ReportKind = iota + 1
	// ReportFirstToken means that the answer began.
	ReportFirstToken
	// ReportEnded means that the answer is complete.
	ReportEnded
	// ReportFailed means that the upstream failed the request.
	ReportFailed
	// ReportUnsent means that the request provably did not reach the upstream;
	// the slot is free and the ticket waits again.
	ReportUnsent
	// ReportDropped means that the gateway let the grant expire unused or that
	// the caller left.
	ReportDropped
	// ReportUnknown means that the connection broke; the upstream may still run
	// the request.
	ReportUnknown
	// ReportRejected means that the upstream declined to run the request; the
	// slot is free and the ticket waits again.
	ReportRejected
	// ReportRetryable means that the upstream failed a request that may run again;
	// the ticket waits again.
	ReportRetryable
	// ReportOverdue means that the caller's deadline passed before the answer was
	// complete; the upstream may still run the request.
	ReportOverdue
	// ReportMisdirected means that another upstream answered at the address and
	// did not run the request; the slot is free and the ticket waits again.
	ReportMisdirected
	// ReportNotice means that an answer says something about its upstream. It does
	// not change the state of the request.
	ReportNotice
)

// Report informs the scheduler of an event in the life of a granted request.
type Report struct {
	Kind     ReportKind
	Ticket   ident.RequestID
	Gateway  ident.NodeID
	Upstream ident.UpstreamName
	// Elapsed is the time from the dispatch to what is reported.
	Elapsed time.Duration
	// Age is the time since then if the report has waited for another message.
	Age time.Duration
	// OutputTokens counts tokens received so far.
	OutputTokens int
	// SinceFirst is the time since the answer began; 0 if it has not.
	SinceFirst time.Duration
	// CachedTokens counts prompt tokens that the engine took from its cache.
	CachedTokens int
	// Broken states how far the answer had come if its upstream broke it off, and
	// AnsweredBefore is as in EndNotice.
	Broken         Broken
	AnsweredBefore time.Duration
	// Via is the gateway through which the request was sent; empty if it was sent
	// directly. PathSuspect is true for a failure that the gateway's own path to the
	// upstream may have caused.
	Via         ident.NodeID
	PathSuspect bool
	// ConnAge is how long before the dispatch the connection of the answer was opened; 0 if
	// unknown.
	ConnAge time.Duration
	// Notice is what the answer says about its upstream; nil except with
	// ReportNotice.
	Notice *UpstreamNotice
}

// Ending is how a granted request ended, as its gateway reports it.
type Ending struct {
	// Kind is one of the final kinds.
	Kind         ReportKind
	OutputTokens int
	Broken       Broken
	// PathSuspect and ConnAge are as in Report.
	PathSuspect bool
	ConnAge     time.Duration
	// SinceEnd is the time since the answer ended, which was checked.
	SinceEnd time.Duration
}

// Running is a dispatched request that a gateway lists when it registers.
type Running struct {
	Ticket   Ticket
	Upstream ident.UpstreamName
	Version  ident.VersionName
	// Elapsed is the time since dispatch.
	Elapsed time.Duration
}

// Registration reports a gateway's waiting and running requests to a scheduler.
type Registration struct {
	Gateway     ident.NodeID
	Incarnation ident.Incarnation
	Waiting     []Ticket
	Running     []Running
	// Sent is what the gateway has sent recently, by team, and Uptime how long it
	// has counted that. Both are used only where quotas are shared.
	Sent   []TeamUsage
	Uptime time.Duration
	// Ended are the requests that ended within GrantCounted and are not placed again. The
	// reports of their dispatches and ends may be lost.
	Ended []ident.RequestID
	// Retries is what the gateway has sent to the pool; nil if it does not count that.
	Retries *RetryUsage
	// RateLimits are the limits that upstreams have named to the gateway, and which of
	// them are brittle.
	RateLimits []RateLimitNotice
	// Pauses are those that upstreams have asked the gateway for, and Leaving the upstreams
	// that it knows to leave because they said so in an answer.
	Pauses  []PauseNotice
	Leaving []ident.UpstreamName
	// Cold holds the upstreams that have said in an answer that they are cold.
	Cold []ColdNotice
	// Poison holds the records of refused parts and requests that the gateway knows, and
	// Ends its requests whose upstreams broke off their answers.
	Poison []poison.Record
	Ends   []EndNotice
}

// LoadReport is the load that an upstream itself reports, with a delay.
type LoadReport struct {
	Upstream ident.UpstreamName
	Running  int
	Waiting  int
	// CacheUsed is the used fraction of the KV cache, 0 to 1.
	CacheUsed float64
	// Age is how old the figures are when the scheduler receives them.
	Age time.Duration
	// Versions lists the versions loaded and ready. Empty means unknown.
	Versions []ident.VersionName
}

// CacheEvent reports that an engine stored or evicted prefix blocks. Events
// arrive late and some are lost; Sequence reveals the gaps.
type CacheEvent struct {
	Upstream ident.UpstreamName
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
	// Cleared means that the whole cache was emptied.
	Cleared bool
}
