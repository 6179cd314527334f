package agent

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
)

// metrics counts what the callers' edge does. Its labels are bounded by the
// configuration and by the lists of reasons.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	rejected prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingohaven_requests_total",
			Help: "Requests that ended with an upstream's answer, by tier and status class.",
		}, []string{"tier", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingohaven_refusals_total",
			Help: "Requests that ended with a refusal, by tier, reason and outcome.",
		}, []string{"tier", "reason", "outcome"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "flamingohaven_request_seconds",
			Help:    "Time from a request's header to the end of its answer, in seconds, by tier.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"tier"}),
		rejected: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingohaven_connections_rejected_total",
			Help: "Callers' connections closed at the limit.",
		}),
	}
	m.registry.MustRegister(m.requests, m.refusals, m.seconds, m.rejected)
	return m
}

// Finished implements callerhttp.Observer.
func (m *metrics) Finished(r *gateway.Request, status int, refusal *callerapi.RefusalError, elapsed time.Duration) {
	tier := ""
	if r != nil {
		tier = string(r.Tier)
	}
	m.seconds.WithLabelValues(tier).Observe(elapsed.Seconds())
	if refusal != nil {
		m.refusals.WithLabelValues(tier, string(refusal.Reason), string(refusal.Outcome)).Inc()
		return
	}
	m.requests.WithLabelValues(tier, strconv.Itoa(status/100)+"xx").Inc()
}

// Rejected implements callerhttp.Observer.
func (m *metrics) Rejected() {
	m.rejected.Inc()
}

// Gatherer returns the node's own metrics.
func (a *Agent) Gatherer() prometheus.Gatherer {
	return a.metrics.registry
}
