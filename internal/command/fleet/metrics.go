package fleet

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/gateway"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
)

// metrics holds the Prometheus metrics of a node. Label values come from the
// configuration and from fixed lists of reasons in the code, so their number is
// bounded.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	refusals *prometheus.CounterVec
	seconds  *prometheus.HistogramVec
	// denialAges holds the ages of the proofs by which requests were denied.
	denialAges prometheus.Histogram
	// denialsNotAwaited counts the requests that were refused at once since
	// maxWaitingDenials others waited.
	denialsNotAwaited prometheus.Counter
	// schedulerAnswers holds the times that schedulers took to answer.
	schedulerAnswers prometheus.Histogram
	// changes holds the times that the steps of operators' changes of the configuration took.
	changes *prometheus.HistogramVec
	// orders counts operators' orders by kind and result.
	orders *prometheus.CounterVec
}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingohaven_fleet_requests_total",
			Help: "Requests that ended, by route and status; status 0 is an answer that was broken off.",
		}, []string{"route", "status"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "flamingohaven_fleet_failures_total",
			Help: "Requests that ended without an upstream's answer, by reason.",
		}, []string{"reason"}),
		seconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "flamingohaven_fleet_request_seconds",
			Help:    "Time from a request's header to the end of its answer, in seconds, by route.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"route"}),
		denialAges: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "flamingohaven_fleet_denial_proof_age_seconds",
			Help:    "Time since the configuration was certainly the newest, in seconds, for each request that it does not allow.",
			Buckets: prometheus.ExponentialBuckets(0.05, 2, 8),
		}),
		denialsNotAwaited: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "flamingohaven_fleet_denials_not_awaited_total",
			Help: "Requests that the configuration does not allow, refused at once since too many others waited for its confirmation.",
		}),
	}
	m.schedulerAnswers = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name:    "flamingohaven_fleet_scheduler_answer_seconds",
		Help:    "Time from a message with tickets or reports to the scheduler's answer, which does not wait for decisions, in seconds.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 9),
	})
	m.changes = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name:    "flamingohaven_fleet_config_change_seconds",
		Help:    "Time that a step of an operator's change of the configuration took at this node, in seconds: read from its text, or commit by the replicas.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
	}, []string{"step"})
	m.orders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingohaven_fleet_orders_total",
		Help: "Operators' orders at this node, by kind (rollout, evacuation) and result: accepted, outdated (refused, may be a late copy) or failed.",
	}, []string{"kind", "result"})
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("flamingohaven_fleet_config_revision", "Revision of the configuration in force.", func() float64 {
		_, revision := n.follower.Config()
		return float64(revision)
	})
	gauge("flamingohaven_fleet_proof_age_seconds", "Time since the configuration was certainly the newest; -1 if it never was.", func() float64 {
		age, known, _ := n.proof.age(boottime.Now())
		if !known {
			return -1
		}
		return age.Seconds()
	})
	gauge("flamingohaven_fleet_sync_unanswered_seconds", "Time for which a replica has left the node's syncs unanswered, the one in progress included.", func() float64 {
		return n.replicas.syncs.waiting(time.Now()).Seconds()
	})
	gauge("flamingohaven_fleet_members", "Live nodes as last reported by a leader.", func() float64 {
		return float64(len(n.Members()))
	})
	gauge("flamingohaven_fleet_leading", "1 while this replica leads.", func() float64 {
		if n.replica != nil && n.replica.leading() {
			return 1
		}
		return 0
	})
	if n.settings.Replica() {
		gauge("flamingohaven_fleet_voters", "Voters in effect at this replica.", func() float64 {
			if n.replica == nil {
				return 0
			}
			return float64(n.replica.voters())
		})
		gauge("flamingohaven_fleet_slowest_confirmation_seconds", "At the leader: longest time from the commit of the latest configuration to its confirmation by a node.", func() float64 {
			if n.replica == nil || !n.replica.leading() {
				return 0
			}
			return n.replica.service.SlowestConfirmation().Seconds()
		})
		gauge("flamingohaven_fleet_log_write_seconds", "Time that the write to this replica's log in progress has taken, its sync included; 0 if there is none.", func() float64 {
			if n.replica == nil {
				return 0
			}
			return n.replica.node.Status().Writing.Seconds()
		})
		gauge("flamingohaven_fleet_slow_log_writes_total", "Writes to this replica's log that took 0.5 s or longer.", func() float64 {
			if n.replica == nil {
				return 0
			}
			return float64(n.replica.node.Status().SlowWrites)
		})
		gauge("flamingohaven_fleet_silent_voters", "Voters that this replica, as the leader, hears nothing from; 0 on the others.", func() float64 {
			if n.replica == nil {
				return 0
			}
			return float64(n.replica.node.Status().SilentVoters)
		})
	}
	gauge("flamingohaven_fleet_waiting_bytes", "Memory of the requests that this gateway holds, and of the answers that it holds for callers, in bytes.", func() float64 {
		return float64(n.budget.Used())
	})
	gauge("flamingohaven_fleet_rate_limited_upstreams", "Upstreams that name a limit on requests in their answers to this gateway.", func() float64 {
		limits, _ := n.rateLimits()
		return float64(limits)
	})
	gauge("flamingohaven_fleet_brittle_upstreams", "Upstreams that say in their answers to this gateway that they are brittle.", func() float64 {
		_, brittle := n.rateLimits()
		return float64(brittle)
	})
	gauge("flamingohaven_fleet_paused_upstreams", "Upstreams that this gateway sends nothing because they asked it for a pause.", func() float64 {
		return float64(n.pausedUpstreams())
	})
	gauge("flamingohaven_fleet_leaving_upstreams", "Upstreams that have said in an answer that they leave, as this gateway knows.", func() float64 {
		return float64(n.leavingUpstreams())
	})
	gauge("flamingohaven_fleet_evacuated_zones", "Data centres that are evacuated, as this node knows.", func() float64 {
		return float64(n.evacuatedZones())
	})
	gauge("flamingohaven_fleet_evacuated_in_flight", "Requests of this gateway that still run on upstreams of evacuated data centres.", func() float64 {
		return float64(n.inFlightThere())
	})
	gauge("flamingohaven_fleet_unusable_list_entries", "Entries of the platform's list that the last complete pass of this node over it has skipped, since they can't be used.", func() float64 {
		return float64(n.skippedCount())
	})
	gauge("flamingohaven_fleet_refused_parts", "Prompt parts that are refused because upstreams end on them.", func() float64 {
		return float64(n.refused(poison.KindPart))
	})
	gauge("flamingohaven_fleet_refused_requests", "Requests that are refused because upstreams end when they run them.", func() float64 {
		return float64(n.refused(poison.KindRequest))
	})
	gauge("flamingohaven_fleet_members_age_seconds", "Time since the members known here were certainly those of the leader; -1 if they never were.", func() float64 {
		age, known := n.trust.age(boottime.Now())
		if !known {
			return -1
		}
		return age.Seconds()
	})
	gauge("flamingohaven_fleet_cut_paths", "Pools and single upstreams that this gateway can't reach and sends requests to through other gateways.", func() float64 {
		return float64(n.gateway.CutPaths())
	})
	gauge("flamingohaven_fleet_relayed_connections", "Connections to upstreams that this gateway relays for other gateways.", func() float64 {
		open, _, _ := n.relayed()
		return open
	})
	gauge("flamingohaven_fleet_relayed_connections_total", "Connections to upstreams that this gateway has relayed for other gateways.", func() float64 {
		_, total, _ := n.relayed()
		return total
	})
	gauge("flamingohaven_fleet_end_checks_total", "Checks whether an upstream is still there whose answer has ended with its connection.", func() float64 {
		checks, _ := n.gateway.EndChecks()
		return float64(checks)
	})
	gauge("flamingohaven_fleet_ends_doubted_total", "Answers that ended with their connection and were not taken for complete.", func() float64 {
		_, doubted := n.gateway.EndChecks()
		return float64(doubted)
	})
	gauge("flamingohaven_fleet_answer_bytes", "Answers that are held until they are complete or until their callers have read them, in bytes.", func() float64 {
		bytes, _ := n.budget.Answers()
		return float64(bytes)
	})
	gauge("flamingohaven_fleet_slow_callers_ended_total", "Answers that were ended since their callers read too slowly and their memory was needed for others.", func() float64 {
		_, ended := n.budget.Answers()
		return float64(ended)
	})
	for _, basis := range gateway.EndBases {
		m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name:        "flamingohaven_fleet_ends_judged_total",
			Help:        "Checks of ends of answers that have ended with their connection, by what decided.",
			ConstLabels: prometheus.Labels{"basis": string(basis)},
		}, func() float64 { return float64(n.gateway.EndsBy(basis)) }))
	}
	gauge("flamingohaven_fleet_relayed_connections_broken_total", "Connections relayed for other gateways that did not end properly.", func() float64 {
		_, _, broken := n.relayed()
		return broken
	})
	gauge("flamingohaven_fleet_scheduler_shards", "Shards of the gateways, each with a scheduler of its own, as this gateway knows them.", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(n.shards)
	})
	gauge("flamingohaven_fleet_scheduled_gateways", "Gateways that the schedulers of this node serve.", func() float64 {
		return float64(n.schedulerLoad().gateways)
	})
	gauge("flamingohaven_fleet_grants_elsewhere_total", "Grants by the schedulers of this node of upstreams outside their gateways' data centres, where that matters.", func() float64 {
		return float64(n.schedulerLoad().elsewhere)
	})
	gauge("flamingohaven_fleet_grants_beyond_shares_total", "Grants by the schedulers of this node to versions beyond their shares, since those that should serve were lost.", func() float64 {
		return float64(n.schedulerLoad().beyondShares)
	})
	gauge("flamingohaven_fleet_cold_upstreams", "Upstreams that have just started and get a bounded rate of requests, as the schedulers of this node know, while gateways use them.", func() float64 {
		return float64(n.schedulerLoad().cold)
	})
	gauge("flamingohaven_fleet_cold_held_requests_total", "Requests that waited at the schedulers of this node while only the bound on cold upstreams kept free slots from them.", func() float64 {
		return float64(n.schedulerLoad().coldHolds)
	})
	gauge("flamingohaven_fleet_stale_estimate_grants_total", "Grants by the schedulers of this node of upstreams whose speed was no longer known.", func() float64 {
		return float64(n.schedulerLoad().stale)
	})
	gauge("flamingohaven_fleet_retries_total", "Retries that took from the retry budgets of the schedulers of this node.", func() float64 {
		return float64(n.schedulerLoad().retries)
	})
	gauge("flamingohaven_fleet_retries_refused_total", "Retries that the retry budgets of the schedulers of this node did not allow.", func() float64 {
		return float64(n.schedulerLoad().refused)
	})
	gauge("flamingohaven_fleet_retry_budget_left", "Retries left in the retry budget of the pool that has the least left, of those that this node schedules.", func() float64 {
		return n.schedulerLoad().left
	})
	n.registerReservationMetrics(gauge)
	gauge("flamingohaven_fleet_scheduled_waiting", "Requests that wait at the schedulers of this node.", func() float64 {
		return float64(n.schedulerLoad().waiting)
	})
	gauge("flamingohaven_fleet_scheduled_running", "Requests that run under grants of the schedulers of this node.", func() float64 {
		return float64(n.schedulerLoad().running)
	})
	gauge("flamingohaven_fleet_log_lines_dropped", "Log lines dropped because the output was too slow or the volume too high.", func() float64 {
		return float64(n.logLines.Dropped())
	})
	m.registry.MustRegister(m.requests, m.refusals, m.seconds, m.denialAges, m.denialsNotAwaited, m.schedulerAnswers, m.changes, m.orders, newWithheldCollector(n))
	return m
}

// MetricsHandler serves the node's metrics in the Prometheus text format.
func (n *Node) MetricsHandler() http.Handler {
	return promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{})
}

// Observe counts a finished request. Status is 0 for an answer that was cut off,
// and reason is empty if the answer came from an upstream.
func (n *Node) Observe(route ident.RouteName, status int, reason string, elapsed time.Duration) {
	n.metrics.requests.WithLabelValues(string(route), strconv.Itoa(status)).Inc()
	n.metrics.seconds.WithLabelValues(string(route)).Observe(elapsed.Seconds())
	if reason != "" {
		n.metrics.refusals.WithLabelValues(reason).Inc()
	}
}

// countOrder counts an operator's order that ended with an error or, if it is nil, was accepted,
// and returns the result.
func (m *metrics) countOrder(kind string, err error) string {
	result := "accepted"
	switch {
	case errors.Is(err, control.ErrOrderOutdated):
		result = "outdated"
	case err != nil:
		result = "failed"
	}
	m.orders.WithLabelValues(kind, result).Inc()
	return result
}
