package pool

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/moves"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// sampler turns the reports on granted requests into samples for the evaluation
// of moves.
type sampler struct {
	open    map[ident.RequestID]*openRequest
	running map[ident.UpstreamName]int
}

type openRequest struct {
	// limited is true if the upstream named a rate limit in its answer.
	limited    bool
	sample     moves.Sample
	firstToken time.Duration
	gateway    ident.NodeID
}

func newSampler() sampler {
	return sampler{
		open:    make(map[ident.RequestID]*openRequest),
		running: make(map[ident.UpstreamName]int),
	}
}

func (s *sampler) granted(t scheduler.Ticket, g scheduler.Grant, u config.Upstream) {
	if s.open[t.ID] != nil {
		return
	}
	s.running[g.Upstream]++
	s.open[t.ID] = &openRequest{gateway: t.Gateway, sample: moves.Sample{
		Route:        t.Route,
		Version:      g.Version,
		Upstream:     g.Upstream,
		Class:        u.HardwareClass(),
		Idempotent:   t.Idempotent,
		PromptTokens: t.PromptTokens,
		Load:         float64(s.running[g.Upstream]) / float64(max(1, u.MaxConcurrent)),
	}}
}

// dropDeparted drops the requests of gateways that are no longer live: no more
// reports on them will arrive.
func (s *sampler) dropDeparted(live map[ident.NodeID]lease.Node) {
	for id, o := range s.open {
		if _, ok := live[o.gateway]; !ok {
			delete(s.open, id)
			s.running[o.sample.Upstream]--
		}
	}
}

// reported returns a sample when the report ends a request that ran.
func (s *sampler) reported(r scheduler.Report) (moves.Sample, bool) {
	o := s.open[r.Ticket]
	if o == nil {
		return moves.Sample{}, false
	}
	switch r.Kind {
	case scheduler.ReportFirstToken:
		o.firstToken = r.Elapsed
		return moves.Sample{}, false
	case scheduler.ReportDispatched:
		return moves.Sample{}, false
	case scheduler.ReportNotice:
		o.limited = o.limited || r.Notice != nil && (r.Notice.RateLimit == scheduler.NoticeNamed || r.Notice.Brittle == scheduler.NoticeNamed)
		return moves.Sample{}, false
	}
	delete(s.open, r.Ticket)
	s.running[o.sample.Upstream]--
	if o.limited {
		// An upstream that asks for less load is no sample of its version.
		return moves.Sample{}, false
	}
	return o.finish(r)
}

func (o *openRequest) finish(r scheduler.Report) (moves.Sample, bool) {
	switch r.Kind {
	case scheduler.ReportEnded:
		o.sample.FirstToken = o.firstToken
		if o.firstToken == 0 {
			o.sample.FirstToken = r.Elapsed
		}
		if r.OutputTokens > 1 {
			o.sample.PerToken = (r.Elapsed - o.firstToken) / time.Duration(r.OutputTokens-1)
		}
		return o.sample, true
	case scheduler.ReportFailed, scheduler.ReportUnknown, scheduler.ReportOverdue:
		o.sample.Failed = true
		return o.sample, true
	default:
		return moves.Sample{}, false
	}
}

func describeMove(e moves.Event) string {
	text := fmt.Sprintf("%s to %s at share %.3f", e.From, e.To, e.Share)
	if e.Reason == "" {
		return text
	}
	return text + ": " + e.Reason
}
