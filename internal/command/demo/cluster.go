// Package demo runs three nodes in one process in front of fake upstreams. It
// puts mixed load on them while a node is drained, an upstream leaves and traffic
// moves to a bad version, and counts the outcomes of all requests.
package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"

	"github.com/flamingohaven/flamingohaven/internal/command/agent"
	"github.com/flamingohaven/flamingohaven/internal/command/operator"
	"github.com/flamingohaven/flamingohaven/internal/command/settings"
	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/transport/opshttp"
)

const (
	nodeCount = 3
	// addressTTL is how long callers may use a list of addresses. It is short so
	// that a drain, which waits for it, completes within the demo.
	addressTTL = 500 * time.Millisecond
	// startTimeout limits the wait until the first configuration is in force.
	startTimeout      = 20 * time.Second
	startPollInterval = 50 * time.Millisecond
)

// Limits of a demo node: sizes in bytes, the number of connections and timeouts.
const (
	demoMaxBody        = 4 << 20
	demoMaxHeader      = 64 << 10
	demoMaxConnections = 2048
	demoMaxWaiting     = 64 << 20
	demoReadTimeout    = 5 * time.Second
	demoIdleTimeout    = 30 * time.Second
)

// node is a running node with its operator server.
type node struct {
	agent          *agent.Agent
	operatorServer *operator.Server
	settings       *settings.Settings
}

// cluster holds the nodes, their upstreams and an operator client.
type cluster struct {
	folder    string
	nodes     []*node
	upstreams *upstreams
	client    *opshttp.Client
	// takenBackAt is when the move to the bad version was rolled back (state
	// taken_back); zero if it was not.
	takenBackAt time.Time
}

// listeners holds the bound listeners of one node.
type listeners struct {
	caller, internal, operator net.Listener
}

// startCluster starts upstreams and nodes on loopback and waits until the
// configuration is in force. The caller must call close; after an error everything
// is already stopped and removed.
func startCluster(ctx context.Context) (*cluster, error) {
	folder, err := os.MkdirTemp("", "flamingohaven-demo-")
	if err != nil {
		return nil, fmt.Errorf("demo folder: %w", err)
	}
	c := &cluster{folder: folder}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.close())
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context) error {
	var err error
	if c.upstreams, err = startUpstreams(); err != nil {
		return err
	}
	token := uuid.NewString()
	tokenFile := filepath.Join(c.folder, "token")
	if err := os.WriteFile(tokenFile, []byte(token), 0o600); err != nil {
		return fmt.Errorf("write operator token: %w", err)
	}
	if err := c.startNodes(tokenFile); err != nil {
		return err
	}
	var addresses []string
	for _, n := range c.nodes {
		addresses = append(addresses, n.operatorServer.Address())
	}
	c.client = opshttp.NewClient(addresses, token)
	return c.applyConfig(ctx)
}

func (c *cluster) startNodes(tokenFile string) error {
	var bound []listeners
	var replicas []settings.Replica
	for i := range nodeCount {
		l, err := listenLoopback()
		if err != nil {
			return err
		}
		bound = append(bound, l)
		replicas = append(replicas, settings.Replica{ID: nodeName(i), Address: l.internal.Addr().String()})
	}
	for i, l := range bound {
		s := c.nodeSettings(i, l, replicas, tokenFile)
		n, err := startNode(s, l)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
	}
	return nil
}

func listenLoopback() (l listeners, err error) {
	for _, listener := range []*net.Listener{&l.caller, &l.internal, &l.operator} {
		if *listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return l, fmt.Errorf("demo listener: %w", err)
		}
	}
	return l, nil
}

func nodeName(i int) ident.NodeID {
	return ident.NodeID(fmt.Sprintf("node-%d", i+1))
}

func (c *cluster) nodeSettings(i int, l listeners, replicas []settings.Replica, tokenFile string) *settings.Settings {
	return &settings.Settings{
		Node:              nodeName(i),
		Zone:              ident.Zone(fmt.Sprintf("zone-%d", i+1)),
		CallerListen:      l.caller.Addr().String(),
		InternalListen:    l.internal.Addr().String(),
		OperatorListen:    l.operator.Addr().String(),
		CallerAdvertise:   l.caller.Addr().String(),
		InternalAdvertise: l.internal.Addr().String(),
		OperatorAdvertise: l.operator.Addr().String(),
		DataDir:           filepath.Join(c.folder, string(nodeName(i))),
		Replicas:          replicas,
		OperatorTokenFile: tokenFile,
		PlatformURL:       "http://" + c.upstreams.platform.Addr(),
		AddressTTL:        addressTTL,
		Limits: settings.Limits{
			MaxBodyBytes:      demoMaxBody,
			MaxHeaderBytes:    demoMaxHeader,
			MaxConnections:    demoMaxConnections,
			MaxWaitingBytes:   demoMaxWaiting,
			ReadHeaderTimeout: demoReadTimeout,
			ReadBodyTimeout:   demoReadTimeout,
			IdleTimeout:       demoIdleTimeout,
		},
	}
}

func startNode(s *settings.Settings, l listeners) (*node, error) {
	a, err := agent.New(s, agent.Overrides{Caller: l.caller, Internal: l.internal})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Node, err)
	}
	operatorServer, err := operator.New(s, a, l.operator)
	if err != nil {
		a.Kill()
		return nil, fmt.Errorf("%s: %w", s.Node, err)
	}
	a.Start()
	go func() { _ = operatorServer.Serve() }()
	return &node{agent: a, operatorServer: operatorServer, settings: s}, nil
}

// applyConfig applies the configuration until it is in force at every node, or
// startTimeout has passed.
func (c *cluster) applyConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	request := &opsapi.ApplyRequest{
		ID:    uuid.NewString(),
		Who:   "demo",
		Files: []opsapi.File{{Name: "demo" + config.FileSuffix, Data: c.upstreams.configuration()}},
	}
	for {
		reply, err := c.client.Apply(ctx, request)
		switch {
		case err == nil && len(reply.Mistakes) > 0:
			return fmt.Errorf("mistakes in the demo configuration: %v", reply.Mistakes)
		case err == nil && reply.InForce && c.allNodesListed():
			return nil
		case ctx.Err() != nil:
			return fmt.Errorf("the nodes did not start in %s: %w", startTimeout, errors.Join(ctx.Err(), err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(startPollInterval):
		}
	}
}

// allNodesListed reports whether every node holds a lease and lists all nodes to
// callers.
func (c *cluster) allNodesListed() bool {
	for _, n := range c.nodes {
		if !n.agent.Fresh() || len(n.agent.Addresses().Addresses) < nodeCount {
			return false
		}
	}
	return true
}

func (c *cluster) callerAddresses() []string {
	var addresses []string
	for _, n := range c.nodes {
		addresses = append(addresses, n.settings.CallerAdvertise)
	}
	return addresses
}

// close stops nodes and upstreams and removes the data folder.
func (c *cluster) close() error {
	for _, n := range c.nodes {
		_ = n.operatorServer.Close()
		n.agent.Kill()
	}
	if c.upstreams != nil {
		c.upstreams.close()
	}
	if err := os.RemoveAll(c.folder); err != nil {
		return fmt.Errorf("remove demo folder: %w", err)
	}
	return nil
}
