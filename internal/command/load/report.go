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

// Result holds the raw outcomes of a run.
type Result struct {
	Seed     uint64
	Rate     float64
	Duration time.Duration
	Elapsed  time.Duration
	sent     int
	outcomes []outcome
}

// Counts tells what became of requests. Every request is in exactly one of
// Answered to Wrong.
type Counts struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	// RefusedNotRun counts requests whose every send was refused as not run.
	RefusedNotRun int `json:"refused_not_run"`
	// MayHaveRun counts requests that ended with that refusal, or with a
	// refusal after a send that brought no word.
	MayHaveRun int `json:"may_have_run"`
	// Lost counts requests that were taken and got no final word, and answered
	// ones that must run once but that no upstream saw.
	Lost int `json:"lost"`
	// Disturbed counts requests that got no final word because the node that
	// took them was kept from answering, in runs that disturb nodes.
	Disturbed int `json:"disturbed,omitempty"`
	// Unreached counts requests that no node ever took.
	Unreached int `json:"unreached"`
	// Wrong counts answers that belonged to another request.
	Wrong int `json:"wrong_answers"`
	// Doubled counts requests that upstreams saw more than once though they
	// may run once, over all sends.
	Doubled int `json:"doubled"`
	// FalseNotRun counts refusals as not run of sends that an upstream saw.
	FalseNotRun int `json:"false_not_run"`
	// NotRunAfterRun counts requests whose last send was truly refused as not
	// run though an upstream had seen an earlier send of the same key.
	NotRunAfterRun int `json:"not_run_after_earlier_run"`
	// Replayed counts answers that came from the record of an earlier send.
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
	// Goodput is answers in time per second of the run.
	Goodput float64 `json:"goodput_per_second"`
	// FirstToken and Total run from the arrival to the first part and the end
	// of the answer, resends included.
	FirstToken Latency `json:"first_token"`
	Total      Latency `json:"total"`
}

// ReasonCount counts refusals by reason.
type ReasonCount struct {
	Reason callerapi.Reason `json:"reason"`
	Count  int              `json:"count"`
}

// Report is the outcome of a run.
type Report struct {
	Seed           uint64  `json:"seed"`
	Rate           float64 `json:"rate_per_second"`
	Duration       float64 `json:"duration_seconds"`
	Elapsed        float64 `json:"elapsed_seconds"`
	UpstreamsAsked bool    `json:"counted_at_upstreams"`
	Counts
	// Redispatched counts request ids that upstreams saw more than once.
	Redispatched int           `json:"redispatched"`
	Goodput      float64       `json:"goodput_per_second"`
	Tiers        []TierReport  `json:"tiers"`
	Refused      []ReasonCount `json:"refusals_by_reason"`
	// Broken describes the first broken promises.
	Broken []Violation `json:"broken,omitempty"`
}

// Failed reports whether the run broke a promise.
func (r *Report) Failed() bool {
	return r.Lost+r.Doubled+r.Wrong+r.FalseNotRun+r.Redispatched > 0
}

const (
	latencyMax    = 10 * time.Minute
	latencyDigits = 3
)

// tally gathers the counts and latencies of one tier or of all.
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

// reportBuilder gathers what a report is made of.
type reportBuilder struct {
	upstreams *Upstreams
	all       *tally
	tiers     map[ident.TierName]*tally
	reasons   map[callerapi.Reason]int
	broken    []Violation
}

// add counts one outcome.
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

// byTier returns the reports of all tiers in the order of their names.
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

// byReason returns the counts of refusals in the order of their reasons.
func (rb *reportBuilder) byReason() []ReasonCount {
	var refused []ReasonCount
	for reason, n := range rb.reasons {
		refused = append(refused, ReasonCount{Reason: reason, Count: n})
	}
	slices.SortFunc(refused, func(a, b ReasonCount) int { return cmp.Compare(a.Reason, b.Reason) })
	return refused
}

// Report counts the outcomes from the callers' view, and from the upstreams'
// view where their runs are known.
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

// Upstreams is what fakes saw. A nil value means that nobody counted.
type Upstreams struct {
	counts fakes.Counts
	byEcho map[string][]fakes.Run
}

// NewUpstreams indexes the runs of all fakes.
func NewUpstreams(runs ...[]fakes.Run) *Upstreams {
	u := &Upstreams{counts: fakes.Count(runs...), byEcho: map[string][]fakes.Run{}}
	for _, list := range runs {
		for _, run := range list {
			u.byEcho[run.Echo] = append(u.byEcho[run.Echo], run)
		}
	}
	return u
}

func (u *Upstreams) repeatedRequests() int {
	if u == nil {
		return 0
	}
	return len(u.counts.RepeatedRequests())
}
