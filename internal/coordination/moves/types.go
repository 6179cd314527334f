// Package moves decides how a pool's traffic moves between two versions: how
// fast the share of the new version grows, when the move is done and when it
// is taken back. It does no I/O and reads no clock.
package moves

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// Sample is the outcome of one request that ran on one version.
type Sample struct {
	Route    ident.RouteName
	Version  ident.VersionName
	Upstream ident.UpstreamName
	// Class is the hardware class of Upstream: latencies compare within it.
	Class      ident.HardwareClass
	Idempotent bool
	Failed     bool
	// FirstToken is the time from dispatch to the first token or byte.
	FirstToken time.Duration
	// PerToken is the mean time between tokens; zero for plain services.
	PerToken time.Duration
	// PromptTokens scales FirstToken for comparison.
	PromptTokens int
	// Load is the upstream's running requests over its limit at dispatch, 0 to 1.
	Load float64
}

// Readiness tells how many upstreams of a version can serve.
type Readiness struct {
	Version ident.VersionName
	Ready   int
	// Capacity is the sum of their concurrency limits.
	Capacity int
}

// Controller drives one move. It is not safe for concurrent use. Its clock is
// wall-clock time passed in, since deadlines are wall-clock times.
type Controller interface {
	// Observe takes in the outcome of one request.
	Observe(s Sample, now time.Time)
	// SetReadiness takes in which versions can serve.
	SetReadiness(r []Readiness, now time.Time)
	// Tick returns a record to commit when the move must change, else nil. The
	// change takes effect when Committed is called with it; taking a share
	// away takes effect at once through Shares.
	Tick(now time.Time) *move.Record
	// Committed tells that a record is durable.
	Committed(r move.Record, now time.Time)
	// Record returns the last committed record.
	Record() move.Record
	// Shares returns the present shares of the new version, for idempotent and
	// non-idempotent traffic.
	Shares() (idempotent, nonIdempotent float64)
}
