package agent

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingohaven/flamingohaven/internal/transport/callerhttp"
)

// metrics holds the Prometheus metrics of the caller server and the gateway. Label values come
// only from the configuration and from fixed lists of reasons and outcomes,
// which bounds the number of time series.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	teams    *prometheus.CounterVec
	versions *prometheus.CounterVec
	refusals *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	rejected prometheus.Counter
	// evacuatedGrants counts grants that the gateway didn't use.
	evacuatedGrants prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingohaven_requests_total",
			Help: "Requests that ended with an upstream's answer, by tier and status class.",
		}, []string{"tier", "status"}),
		teams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingohaven_team_requests_total",
			Help: "Requests of configured teams that ended, by team and outcome.",
		}, []string{"team", "outcome"}),
		versions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingohaven_version_answers_total",
			Help: "Answers of upstreams, by pool, version and status class.",
		}, []string{"pool", "version", "status"}),
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
		evacuatedGrants: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingohaven_evacuated_grants_total",
			Help: "Grants that were not used because the upstream's data centre was evacuated meanwhile.",
		}),
	}
	m.registry.MustRegister(m.requests, m.teams, m.versions, m.refusals, m.seconds, m.rejected, m.evacuatedGrants)
	return m
}

// outcomeAnswered labels requests that got a complete answer. Refused requests
// are labelled with the outcome of their refusal.
const outcomeAnswered = "answered"

// Finished implements callerhttp.Observer.
func (m *metrics) Finished(e callerhttp.FinishedRequest) {
	tier := ""
	if e.Request != nil {
		tier = string(e.Request.Tier)
		m.countRequest(e)
	}
	m.seconds.WithLabelValues(tier).Observe(e.Elapsed.Seconds())
	if e.Refusal != nil {
		m.refusals.WithLabelValues(tier, string(e.Refusal.Reason), string(e.Refusal.Outcome)).Inc()
		return
	}
	m.requests.WithLabelValues(tier, statusClass(e.Answer.Status)).Inc()
}

// countRequest counts a parsed request by its team and by the version that
// answered it. Both the team and the pool of a parsed request are configured.
func (m *metrics) countRequest(e callerhttp.FinishedRequest) {
	outcome := outcomeAnswered
	if e.Refusal != nil {
		outcome = string(e.Refusal.Outcome)
	}
	m.teams.WithLabelValues(string(e.Request.Team), outcome).Inc()
	if e.Answer.Version != "" {
		m.versions.WithLabelValues(string(e.Request.Pool), string(e.Answer.Version), statusClass(e.Answer.Status)).Inc()
	}
}

func statusClass(status int) string {
	return strconv.Itoa(status/100) + "xx"
}

// Rejected implements callerhttp.Observer.
func (m *metrics) Rejected() {
	m.rejected.Inc()
}

// Gatherer returns the node's Prometheus metrics.
func (a *Agent) Gatherer() prometheus.Gatherer {
	return a.metrics.registry
}
