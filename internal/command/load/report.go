package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Result holds the outcomes of all requests of a run.
type Result struct {
	Seed     uint64
	Rate     float64
	Duration time.Duration
	Elapsed  time.Duration
	sent     int
	outcomes []outcome
}

// Counts holds the numbers of requests by outcome. Every request counts in exactly
// one of the fields from Answered to Wrong.
type Counts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// RefusedNotRun counts requests whose last send was refused as not run or not sent
	// and of which no send may have run.
	RefusedNotRun int `json:"refused_not_run"`
	// MayHaveRun counts requests whose last send was refused as may have run, or
	// as not run or not sent after an earlier send that may have run.
	MayHaveRun int `json:"may_have_run"`
	// Lost counts requests that may have run and ended without an answer or a
	// refusal, and answered non-idempotent requests that no upstream received.
	Lost int `json:"lost"`
	// Disturbed counts requests that would count as Lost, but whose node was kept
	// from answering by an injected fault.
	Disturbed int `json:"disturbed,omitempty"`
	// Unreached counts requests whose last send found no connection and of which
	// no send may have run.
	Unreached int `json:"unreached"`
	// Wrong counts answers that belonged to another request.
	Wrong int `json:"wrong_answers"`
	// Doubled counts non-idempotent requests that upstreams received more than
	// once, over all sends.
	Doubled int `json:"doubled"`
	// FalseNotRun counts refusals as not run or not sent although an upstream had
	// received that send, and requests of which all sends were refused so although one
	// had been received.
	FalseNotRun int `json:"false_not_run"`
	// NotRunAfterRun counts requests whose last send was refused as not run while
	// an upstream received an earlier send with the same key. Such a refusal is
	// correct only if the earlier send was still under way and ran after it.
	NotRunAfterRun int `json:"not_run_after_earlier_run"`
	// Replayed counts answers replayed from the stored answer to an earlier send.
	Replayed int `json:"replayed"`
	// Resent counts sends after the first.
	Resent int `json:"resent"`
	// InTime counts answers within the caller's deadline.
	InTime int `json:"in_time"`
}

// Latency holds percentiles, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// TierReport is the outcome of one tier.
type TierReport struct {
	Tier ident.TierName `json:"tier"`
	Counts
	// Goodput is the number of answers in time per second of the run.
	Goodput float64 `json:"goodput_per_second"`
	// FirstToken and Total are the latencies from the arrival to the first part
	// and to the end of the answer, resends included.
	FirstToken Latency `json:"first_token"`
	Total      Latency `json:"total"`
}

// ReasonCount is the number of refusals with one reason.
type ReasonCount struct {
	Reason callerapi.Reason `json:"reason"`
	Count  int              `json:"count"`
}

// Report is the outcome of a run.
type Report struct {
	Seed     uint64  `json:"seed"`
	Rate     float64 `json:"rate_per_second"`
	Duration float64 `json:"duration_seconds"`
	Elapsed  float64 `json:"elapsed_seconds"`
	// UpstreamsAsked is true if the upstreams' recorded runs were counted too.
	UpstreamsAsked bool `json:"counted_at_upstreams"`
	Counts
	// Redispatched counts request ids that upstreams received more than once.
	Redispatched int           `json:"redispatched"`
	Goodput      float64       `json:"goodput_per_second"`
	Tiers        []TierReport  `json:"tiers"`
	Refused      []ReasonCount `json:"refusals_by_reason"`
	// Broken describes the first maxViolations violations.
	Broken []Violation `json:"broken,omitempty"`
}

// Failed reports whether the run violated a guarantee.
func (r *Report) Failed() bool {
	return r.Lost+r.Doubled+r.Wrong+r.FalseNotRun+r.Redispatched > 0
}

// Range of the latency histograms, and their precision in significant digits.
const (
	latencyMax    = 10 * time.Minute
	latencyDigits = 3
)

// tally accumulates the counts and latencies (in microseconds) of one tier or of
// all tiers.
type tally struct {
	counts Counts
	first  *hdrhistogram.Histogram
	total  *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{
		first: hdrhistogram.New(1, latencyMax.Microseconds(), latencyDigits),
		total: hdrhistogram.New(1, latencyMax.Microseconds(), latencyDigits),
	}
}

func (t *tally) recordLatency(o *outcome) {
	_ = t.first.RecordValue(max(o.first.Microseconds(), 1))
	_ = t.total.RecordValue(max(o.total.Microseconds(), 1))
}

func latency(h *hdrhistogram.Histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Latency{
		P50: ms(h.ValueAtQuantile(50)),
		P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)),
		Max: ms(h.Max()),
	}
}

// reportBuilder accumulates outcomes for a report.
type reportBuilder struct {
	upstreams *Upstreams
	all       *tally
	tiers     map[ident.TierName]*tally
	reasons   map[callerapi.Reason]int
	broken    []Violation
}

// add counts one outcome in all tiers together and in its own tier.
func (rb *reportBuilder) add(o *outcome) {
	tier := rb.tiers[o.job.class.Tier]
	if tier == nil {
		tier = newTally()
		rb.tiers[o.job.class.Tier] = tier
	}
	counts := o.count(rb.upstreams)
	for _, into := range []*tally{rb.all, tier} {
		into.counts.add(counts)
		if counts.Answered > 0 {
			into.recordLatency(o)
		}
	}
	if b, found := o.violation(counts, rb.upstreams); found && len(rb.broken) < maxViolations {
		rb.broken = append(rb.broken, b)
	}
	for _, a := range o.attempts {
		if a.reason != "" {
			rb.reasons[a.reason]++
		}
	}
}

// byTier returns the reports of all tiers, sorted by tier name.
func (rb *reportBuilder) byTier(duration time.Duration) []TierReport {
	var tiers []TierReport
	for name, tier := range rb.tiers {
		tiers = append(tiers, TierReport{
			Tier:       name,
			Counts:     tier.counts,
			Goodput:    float64(tier.counts.InTime) / duration.Seconds(),
			FirstToken: latency(tier.first),
			Total:      latency(tier.total),
		})
	}
	slices.SortFunc(tiers, func(a, b TierReport) int { return cmp.Compare(a.Tier, b.Tier) })
	return tiers
}

// byReason returns the counts of refusals, sorted by reason.
func (rb *reportBuilder) byReason() []ReasonCount {
	var refused []ReasonCount
	for reason, n := range rb.reasons {
		refused = append(refused, ReasonCount{Reason: reason, Count: n})
	}
	slices.SortFunc(refused, func(a, b ReasonCount) int { return cmp.Compare(a.Reason, b.Reason) })
	return refused
}

// Report counts the outcomes as the callers observed them. If upstreams is not
// nil, it also checks them against the runs that the upstreams recorded.
func (r *Result) Report(upstreams *Upstreams) *Report {
	rb := &reportBuilder{
		upstreams: upstreams,
		all:       newTally(),
		tiers:     map[ident.TierName]*tally{},
		reasons:   map[callerapi.Reason]int{},
	}
	for i := range r.outcomes {
		rb.add(&r.outcomes[i])
	}
	return &Report{
		Seed:           r.Seed,
		Rate:           r.Rate,
		Duration:       r.Duration.Seconds(),
		Elapsed:        r.Elapsed.Seconds(),
		UpstreamsAsked: upstreams != nil,
		Counts:         rb.all.counts,
		Redispatched:   upstreams.repeatedRequests(),
		Goodput:        float64(rb.all.counts.InTime) / r.Duration.Seconds(),
		Tiers:          rb.byTier(r.Duration),
		Refused:        rb.byReason(),
		Broken:         rb.broken,
	}
}

func (c *Counts) add(o Counts) {
	c.Sent += o.Sent
	c.Answered += o.Answered
	c.RefusedNotRun += o.RefusedNotRun
	c.MayHaveRun += o.MayHaveRun
	c.Lost += o.Lost
	c.Disturbed += o.Disturbed
	c.Unreached += o.Unreached
	c.Wrong += o.Wrong
	c.Doubled += o.Doubled
	c.FalseNotRun += o.FalseNotRun
	c.NotRunAfterRun += o.NotRunAfterRun
	c.Replayed += o.Replayed
	c.Resent += o.Resent
	c.InTime += o.InTime
}

// Upstreams holds the runs recorded by fake upstreams. A nil value means that
// they were not collected.
type Upstreams struct {
	counts fakes.Counts
	byEcho map[string][]fakes.Run
}

// NewUpstreams indexes the runs of all fakes.
func NewUpstreams(runs ...[]fakes.Run) *Upstreams {
	u := &Upstreams{counts: fakes.CountRuns(runs...), byEcho: map[string][]fakes.Run{}}
	for _, list := range runs {
		for _, run := range list {
			u.byEcho[run.Echo] = append(u.byEcho[run.Echo], run)
		}
	}
	return u
}

// repeatedRequests returns the number of request ids received more than once.
func (u *Upstreams) repeatedRequests() int {
	if u == nil {
		return 0
	}
	return len(u.counts.RepeatedRequests())
}
