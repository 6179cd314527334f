// Package operator provides the operator API and the metrics of one node. It
// forwards calls to the leader and merges the events of all nodes.
package operator

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/flamingohaven/flamingohaven/internal/command/settings"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/transport/opshttp"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

// Node is the part of a node that its operator server uses.
type Node interface {
	// Fresh reports whether the node holds a lease that has certainly not expired.
	Fresh() bool
	// Addresses returns the nodes that callers should use.
	Addresses() callerapi.AddressList
}

// MetricsSource is an optional interface of a Node that exports its own metrics.
type MetricsSource interface {
	Gatherer() prometheus.Gatherer
}

// Server serves the operator API and the metrics of one node over HTTP.
type Server struct {
	listener   net.Listener
	httpServer *opshttp.Server
	rpcClient  *rpcnet.Client
}

// New returns a server on the given listener. If listener is nil, New listens on
// s.OperatorListen. The server accepts no connections until Serve is called.
func New(s *settings.Settings, node Node, listener net.Listener) (*Server, error) {
	token, err := settings.ReadToken(s.OperatorTokenFile)
	if err != nil {
		return nil, fmt.Errorf("operator token: %w", err)
	}
	if listener == nil {
		if listener, err = net.Listen("tcp", s.OperatorListen); err != nil {
			return nil, fmt.Errorf("operator listener: %w", err)
		}
	}
	rpcClient := rpcnet.NewClient()
	caller := newReplicaCaller(rpcClient, s.Replicas)
	backend := &backend{
		Control:   opshttp.Control{Client: control.NewClient(caller, caller.ids())},
		settings:  s,
		node:      node,
		rpcClient: rpcClient,
	}
	metrics := promhttp.HandlerFor(backend.gatherer(), promhttp.HandlerOpts{})
	return &Server{listener: listener, httpServer: opshttp.New(backend, token, metrics), rpcClient: rpcClient}, nil
}

// gatherer combines the metrics of the process, of the node and, on a replica, of
// the whole system, which only the leader exports.
func (b *backend) gatherer() prometheus.Gatherer {
	process := prometheus.NewRegistry()
	process.MustRegister(collectors.NewGoCollector())
	process.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	process.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "flamingohaven_node_lease_fresh",
		Help: "1 while the node holds a lease that has surely not ended, else 0.",
	}, func() float64 {
		if b.node.Fresh() {
			return 1
		}
		return 0
	}))
	if b.settings.IsReplica() {
		process.MustRegister(newLeaderCollector(b.settings.Node, b.Status))
	}
	gatherers := prometheus.Gatherers{process}
	if m, ok := b.node.(MetricsSource); ok {
		gatherers = append(gatherers, m.Gatherer())
	}
	return gatherers
}

// Address returns the listener's address as host:port.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve accepts connections until Shutdown or Close is called.
func (s *Server) Serve() error {
	return s.httpServer.Serve(s.listener)
}

// Shutdown stops the listener and waits until all running calls are answered or
// ctx is done.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.httpServer.Shutdown(ctx)
	s.rpcClient.Close()
	return err
}

// Close stops the server at once and closes all connections.
func (s *Server) Close() error {
	s.rpcClient.Close()
	return s.httpServer.Close()
}

var (
	errNoLease   = errors.New("the node holds no fresh lease")
	errNotListed = errors.New("the node is not on the list of addresses: it is draining or has just started")
)

// replicaCaller implements control.Caller: it looks up a replica's address by its
// node ID in the settings.
type replicaCaller struct {
	rpcClient *rpcnet.Client
	replicas  []settings.Replica
}

func newReplicaCaller(rpcClient *rpcnet.Client, replicas []settings.Replica) *replicaCaller {
	return &replicaCaller{rpcClient: rpcClient, replicas: replicas}
}

func (c *replicaCaller) ids() []ident.NodeID {
	var ids []ident.NodeID
	for _, r := range c.replicas {
		ids = append(ids, r.ID)
	}
	return ids
}

// Call implements control.Caller.
func (c *replicaCaller) Call(ctx context.Context, node ident.NodeID, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, r := range c.replicas {
		if r.ID != node {
			continue
		}
		err := c.rpcClient.Call(ctx, r.Address, method, args, reply)
		if errors.Is(err, rpcnet.ErrUnsent) {
			return fmt.Errorf("%w: %w", control.ErrNotSent, err)
		}
		return err
	}
	return fmt.Errorf("%w: replica %q is not in the settings", control.ErrNotSent, node)
}
