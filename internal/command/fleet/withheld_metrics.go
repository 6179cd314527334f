package fleet

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// withheldCollector exports the versions that get no requests because they were rolled back. A
// pool's number of them is bounded.
type withheldCollector struct {
	node    *Node
	version *prometheus.Desc
}

func newWithheldCollector(n *Node) *withheldCollector {
	return &withheldCollector{node: n, version: prometheus.NewDesc("flamingohaven_fleet_withheld_versions",
		"1 for each version that gets no requests, by the number of the rollout that was rolled back, as this node knows.", []string{"pool", "version", "rollout"}, nil)}
}

// Describe implements prometheus.Collector.
func (c *withheldCollector) Describe(out chan<- *prometheus.Desc) { out <- c.version }

// Collect implements prometheus.Collector.
func (c *withheldCollector) Collect(out chan<- prometheus.Metric) {
	for _, r := range c.node.follower.State().Rollouts {
		for _, w := range r.AllWithheld() {
			out <- prometheus.MustNewConstMetric(c.version, prometheus.GaugeValue, 1, string(r.Pool), string(w.Version), strconv.FormatUint(w.Number, 10))
		}
	}
}
