package fleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/flamingohaven/flamingohaven/internal/transport/connguard"
)

const (
	// connMemoryShare is the share of the process's memory that connections and the heads
	// that are being read may take. Bodies take bodyMemoryShare at most.
	connMemoryShare = 0.15
	// connDescriptorShare is the share of the process's descriptors that accepted connections
	// may take. The others are a reserve for its own connections: to replicas, schedulers and
	// upstreams.
	connDescriptorShare = 0.6
)

// newGuard returns the guard of a process's listeners.
func newGuard(s *Settings, m *metrics) *connguard.Guard {
	closed := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "flamingohaven_fleet_connections_closed_total",
		Help: "Accepted connections that were closed at a limit, by listener and reason.",
	}, []string{"listener", "reason"})
	g := connguard.New(connguard.Limits{
		Bytes: int64(connMemoryShare * float64(s.MemoryBytes)),
		Conns: int(connDescriptorShare * float64(s.MaxDescriptors)),
	}, func(listener string, r connguard.Reason) { closed.WithLabelValues(listener, string(r)).Inc() })
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	m.registry.MustRegister(closed,
		gauge("flamingohaven_fleet_connections", "Connections that this process has accepted and that are open.", func() float64 {
			conns, _ := g.Usage()
			return float64(conns)
		}),
		gauge("flamingohaven_fleet_connection_bytes", "Memory that accepted connections and the heads that are being read are counted with, in bytes.", func() float64 {
			_, bytes := g.Usage()
			return float64(bytes)
		}))
	return g
}

// Guard returns the guard of the process's listeners.
func (n *Node) Guard() *connguard.Guard { return n.guard }
