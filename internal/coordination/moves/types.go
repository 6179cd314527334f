// Package moves decides how a pool's traffic moves between two versions: how
// fast the share of the new version grows, when the move is done and when it is
// taken back, that is, rolled back to the old version. It does no I/O and reads
// no clock.
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
	// Class is the hardware class of Upstream. Latencies are compared only
	// within one class.
	Class      ident.HardwareClass
	Idempotent bool
	Failed     bool
	// FirstToken is the time from dispatch to the first token or byte.
	FirstToken time.Duration
	// PerToken is the mean time between tokens; zero for plain services.
	PerToken time.Duration
	// PromptTokens is the length of the prompt. Latencies are compared only
	// between prompts of similar length.
	PromptTokens int
	// Load is the number of the upstream's running requests at dispatch divided
	// by its concurrency limit, 0 to 1.
	Load float64
}

// Readiness is how many upstreams of a version can serve.
type Readiness struct {
	Version ident.VersionName
	Ready   int
	// Capacity is the sum of their concurrency limits.
	Capacity int
}

// Controller drives one move. It is not safe for concurrent use. The caller
// passes in wall-clock time, since deadlines are wall-clock times.
type Controller interface {
	// Observe records the outcome of one request.
	Observe(s Sample, now time.Time)
	// SetReadiness sets which versions can serve.
	SetReadiness(r []Readiness, now time.Time)
	// Tick returns a record to commit if the move must change, else nil. A
	// change takes effect when Committed is called with the record, except that
	// Shares reflects a reduction of the share at once.
	Tick(now time.Time) *move.Record
	// Committed must be called when a record is durable.
	Committed(r move.Record, now time.Time)
	// Record returns the last committed record.
	Record() move.Record
	// Shares returns the current shares of the new version, for idempotent and
	// non-idempotent traffic.
	Shares() (idempotent, nonIdempotent float64)
}
