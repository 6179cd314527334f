package policymodel

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// maxRecorded is the largest duration that histograms record; longer ones are
// recorded as this value.
const maxRecorded = 10 * time.Minute

// TierSummary holds the results of one tier.
type TierSummary struct {
	Arrived, Done, Late, Refused, Failed int
	// Goodput is the fraction of the arrived requests that were answered
	// completely by their deadline, 0 to 1.
	Goodput float64
	// FirstTokenP95 is the 95th percentile of the time from arrival to the first
	// token.
	FirstTokenP95 time.Duration
}

// Summary holds the results of a run. Unless stated otherwise, they cover the
// requests that arrived after the warm-up and whose deadlines fell within the run.
type Summary struct {
	Tiers map[ident.TierName]TierSummary
	// FirstTokenP95 and InterTokenP95 are 95th percentiles over the interactive
	// tiers: of the time from arrival to first token over all requests, and of the
	// time between consecutive tokens over all tokens of requests that arrived
	// after the warm-up.
	FirstTokenP95 time.Duration
	InterTokenP95 time.Duration
	// PrefillTokens counts the computed prompt tokens.
	PrefillTokens int
	// PromptTokens counts the prompt tokens of the requests answered in time,
	// ComputedTokens those of them that were not cached.
	PromptTokens   int
	ComputedTokens int
	// WastedPrefill counts the computed prompt tokens of requests that were not
	// answered in time, and repeated computations of those that were.
	WastedPrefill int
	// UsefulWork is the cost of all requests answered in time after the warm-up,
	// in seconds of the reference engine per second of the measured time.
	UsefulWork float64
	// OfferedWork is the cost of all requests that arrived after the warm-up, in
	// the same unit.
	OfferedWork float64
}

// metrics collects the figures that are not stored in the requests.
type metrics struct {
	interToken  *hdrhistogram.Histogram
	interactive map[ident.TierName]bool
}

func newMetrics() *metrics {
	return &metrics{interToken: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), 3)
}

// recordTokenGap records the time between two tokens of a request if its tier is
// interactive and it arrived after the warm-up.
func (m *metrics) recordTokenGap(s *Simulation, r *Request, gap time.Duration) {
	if m.interactive == nil {
		m.interactive = make(map[ident.TierName]bool)
		for _, t := range s.Workload.Tiers {
			m.interactive[t.Name] = t.Interactive
		}
	}
	if r.Arrival >= s.Warmup && m.interactive[r.Tier] {
		record(m.interToken, gap)
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so this cannot fail.
	_ = h.RecordValue(min(max(1, d.Microseconds()), maxRecorded.Microseconds()))
}

// percentile returns the p-th percentile, with p from 0 to 100.
func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
}

func (m *metrics) summary(s *Simulation) Summary {
	out := Summary{Tiers: make(map[ident.TierName]TierSummary), InterTokenP95: percentile(m.interToken, 95)}
	firstToken := newHistogram()
	tierFirstToken := make(map[ident.TierName]*hdrhistogram.Histogram)
	for _, t := range s.Workload.Tiers {
		tierFirstToken[t.Name] = newHistogram()
	}
	useful, offered := 0.0, 0.0
	for _, r := range s.Requests {
		measured := r.Arrival >= s.Warmup
		if measured {
			offered += r.Cost()
		}
		if r.Outcome == OutcomeDone && r.Ended >= s.Warmup {
			useful += r.Cost()
		}
		if !measured || r.Deadline > s.Duration {
			continue
		}
		out.count(r)
		if r.FirstToken > 0 {
			record(tierFirstToken[r.Tier], r.FirstToken-r.Arrival)
		}
		if r.FirstToken > 0 && m.interactive[r.Tier] {
			record(firstToken, r.FirstToken-r.Arrival)
		}
	}
	for name, t := range out.Tiers {
		t.FirstTokenP95 = percentile(tierFirstToken[name], 95)
		t.Goodput = float64(t.Done) / float64(max(1, t.Arrived))
		out.Tiers[name] = t
	}
	out.FirstTokenP95 = percentile(firstToken, 95)
	window := (s.Duration - s.Warmup).Seconds()
	out.UsefulWork = useful / window
	out.OfferedWork = offered / window
	return out
}

// count adds a request to the counts of its tier and to the prefill counts.
func (s *Summary) count(r *Request) {
	t := s.Tiers[r.Tier]
	t.Arrived++
	s.PrefillTokens += r.prefilled
	switch r.Outcome {
	case OutcomeDone:
		t.Done++
		s.PromptTokens += r.Prompt
		s.ComputedTokens += min(r.Prompt, r.prefilled)
		s.WastedPrefill += max(0, r.prefilled-r.Prompt)
	case OutcomeRefused:
		t.Refused++
	case OutcomeFailed:
		t.Failed++
		s.WastedPrefill += r.prefilled
	default:
		t.Late++
		s.WastedPrefill += r.prefilled
	}
	s.Tiers[r.Tier] = t
}
