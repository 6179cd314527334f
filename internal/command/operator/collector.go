package operator

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// collectTimeout limits the status call of one scrape.
const collectTimeout = time.Second

// moveStates are the values of the label "state" of a move.
var moveStates = []move.State{
	move.StatePending, move.StateCanary, move.StateRamping,
	move.StateWatching, move.StateDone, move.StateTakenBack,
}

// leaderCollector exports metrics of the whole system. Only the leader exports
// them, so that each series has a single source.
type leaderCollector struct {
	self   ident.NodeID
	status func(ctx context.Context) (control.StatusReply, error)

	revision   *prometheus.Desc
	nodes      *prometheus.Desc
	maxSilence *prometheus.Desc
	keys       *prometheus.Desc
	keyBytes   *prometheus.Desc
	orders     *prometheus.Desc
	moveState  *prometheus.Desc
	moveShare  *prometheus.Desc

	evacuations *prometheus.Desc
	features    *prometheus.Desc
}

func newLeaderCollector(self ident.NodeID, status func(context.Context) (control.StatusReply, error)) *leaderCollector {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, labels, nil)
	}
	return &leaderCollector{
		self:       self,
		status:     status,
		revision:   desc("flamingohaven_config_revision", "Accepted revision of the configuration, at the leader."),
		nodes:      desc("flamingohaven_nodes", "Nodes with a lease, by state, at the leader.", "state"),
		maxSilence: desc("flamingohaven_node_silent_seconds_max", "Longest time since a node's last heartbeat, in seconds, at the leader."),
		keys:       desc("flamingohaven_ledger_keys", "Idempotency keys remembered, at the leader."),
		keyBytes:   desc("flamingohaven_ledger_bytes", "Memory of keys and answers remembered, in bytes, at the leader."),
		orders:     desc("flamingohaven_orders_open", "Orders to upstreams that have not ended, at the leader."),
		moveState:  desc("flamingohaven_move_state", "1 for the state that a move is in, else 0, at the leader.", "move", "pool", "state"),
		moveShare:  desc("flamingohaven_move_share", "Part of the pool's idempotent traffic, 0 to 1, on the new version, at the leader.", "move", "pool"),

		evacuations: desc("flamingohaven_evacuated_data_centres", "Data centres whose upstreams get no new requests, at the leader."),
		features:    desc("flamingohaven_feature_level", "Feature level that all nodes support, at the leader."),
	}
}

// Describe implements prometheus.Collector.
func (c *leaderCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.revision, c.nodes, c.maxSilence, c.keys, c.keyBytes, c.orders, c.moveState, c.moveShare, c.evacuations, c.features} {
		out <- d
	}
}

// Collect implements prometheus.Collector.
func (c *leaderCollector) Collect(out chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	status, err := c.status(ctx)
	if err != nil || status.Leader != c.self {
		return
	}
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	gauge(c.revision, float64(status.Revision))
	gauge(c.keys, float64(status.LedgerEntries))
	gauge(c.keyBytes, float64(status.LedgerBytes))
	gauge(c.orders, float64(len(status.OpenOrders)))
	gauge(c.evacuations, float64(len(status.Evacuations)))
	gauge(c.features, float64(status.Features))
	live, draining, maxSilent := 0, 0, time.Duration(0)
	for _, n := range status.Nodes {
		maxSilent = max(maxSilent, n.Silent)
		if n.Draining {
			draining++
		} else {
			live++
		}
	}
	gauge(c.nodes, float64(live), "live")
	gauge(c.nodes, float64(draining), "draining")
	gauge(c.maxSilence, maxSilent.Seconds())
	for _, m := range status.Moves {
		gauge(c.moveShare, m.Share, string(m.Name), string(m.Pool))
		for _, state := range moveStates {
			value := 0.0
			if m.State == state {
				value = 1
			}
			gauge(c.moveState, value, string(m.Name), string(m.Pool), string(state))
		}
	}
}
