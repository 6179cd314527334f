package soak

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/flamingohaven/flamingohaven/internal/command/demo"
	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/transport/opshttp"
)

const (
	// replicas is the number of nodes that hold the replicated log.
	replicas = 3
	// Ports of every node. Each node has its own loopback address.
	callerPort   = 8080
	internalPort = 8081
	operatorPort = 8082
	// addressTTL is how long callers keep the address list. A draining node waits
	// until it has expired, so a short value lets a node exit within seconds.
	addressTTL = time.Second
	// startTimeout limits the wait for the first configuration, and for each node
	// to serve requests after the last fault.
	startTimeout  = 60 * time.Second
	retryInterval = 100 * time.Millisecond
	// stopTimeout is how long a node may take to exit on SIGTERM: its requests have
	// deadlines of up to 6 s, and callers keep addresses for addressTTL.
	stopTimeout = 20 * time.Second
	// tornRecordBytes is the length of the incomplete record appended to a log.
	tornRecordBytes = 37
)

// node is one process of the program and the proxies in front of it.
type node struct {
	process *process
	folder  string
	// callers and peers are the proxies whose addresses the node advertises to
	// callers and to other nodes. links holds one proxy for each other node, which
	// reaches this node's replica through it; it is empty without a replica.
	callers, peers *proxy
	links          []*proxy
	operator       string
}

// proxies returns all proxies in front of the node. callers and peers are nil if
// starting them failed.
func (n *node) proxies() []*proxy {
	return append([]*proxy{n.callers, n.peers}, n.links...)
}

// upstream is a fake upstream behind a proxy.
type upstream struct {
	fake  faultyFake
	proxy *proxy
}

// faultyFake is the interface of all fake upstreams, which can be made to fail.
type faultyFake interface {
	Addr() string
	Runs() []fakes.Run
	SetSlow(factor float64)
	SetFail(mode fakes.FailMode)
	Close() error
}

// cluster holds everything that one run started.
type cluster struct {
	folder    string
	nodes     []*node
	upstreams []*upstream
	client    *opshttp.Client

	mu sync.Mutex
	// overdue describes each node that did not exit within stopTimeout of SIGTERM.
	overdue []string
	// acknowledged is the highest revision that was acknowledged to an operator.
	acknowledged uint64
}

// host returns the loopback address of node i. It depends on the process id, so
// that concurrent runs use different addresses.
func host(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%250, i+1)
}

func startCluster(ctx context.Context, o *Options) (*cluster, error) {
	folder, err := os.MkdirTemp("", "flamingohaven-soak-")
	if err != nil {
		return nil, fmt.Errorf("create soak folder: %w", err)
	}
	c := &cluster{folder: folder}
	if err := c.start(ctx, o); err != nil {
		return nil, errors.Join(fmt.Errorf("start the nodes, whose logs are kept in %s: %w", folder, err), c.close())
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context, o *Options) error {
	token := uuid.NewString()
	if err := os.WriteFile(c.tokenFile(), []byte(token), 0o600); err != nil {
		return fmt.Errorf("write operator token: %w", err)
	}
	if err := c.startUpstreams(); err != nil {
		return err
	}
	for i := range o.Nodes {
		n, err := c.prepareNode(i)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
	}
	var operators []string
	for i, n := range c.nodes {
		operators = append(operators, n.operator)
		if err := c.startNode(i, o); err != nil {
			return err
		}
	}
	c.client = opshttp.NewClient(operators, token)
	return c.retry(ctx, func(ctx context.Context) error { return c.apply(ctx, 0, uuid.NewString()) })
}

func (c *cluster) tokenFile() string { return filepath.Join(c.folder, "token") }

// prepareNode starts the proxies for callers and peers in front of a node and sets
// the path of its data folder.
func (c *cluster) prepareNode(i int) (*node, error) {
	n := &node{folder: filepath.Join(c.folder, nodeName(i)), operator: fmt.Sprintf("%s:%d", host(i), operatorPort)}
	var err error
	open := func(port int) *proxy {
		var p *proxy
		if err == nil {
			p, err = startProxy(fmt.Sprintf("%s:%d", host(i), port))
		}
		return p
	}
	n.callers, n.peers = open(callerPort), open(internalPort)
	return n, err
}

func nodeName(i int) string { return fmt.Sprintf("node-%d", i+1) }

// startNode starts a proxy from the node to each replica other than its own, then
// starts its process.
func (c *cluster) startNode(i int, o *Options) error {
	n := c.nodes[i]
	args := []string{
		"serve", "-node", nodeName(i), "-zone", fmt.Sprintf("zone-%d", i%replicas+1),
		"-operator-token-file", c.tokenFile(), "-address-ttl", addressTTL.String(),
		"-caller-listen", fmt.Sprintf("%s:%d", host(i), callerPort), "-caller-advertise", n.callers.address(),
		"-internal-listen", fmt.Sprintf("%s:%d", host(i), internalPort), "-internal-advertise", n.peers.address(),
		"-operator-listen", n.operator,
	}
	if i < replicas {
		args = append(args, "-data-dir", n.folder)
	}
	var members []string
	for j := range replicas {
		address := c.nodes[j].peers.address()
		if j != i {
			link, err := startProxy(fmt.Sprintf("%s:%d", host(j), internalPort))
			if err != nil {
				return err
			}
			c.nodes[j].links = append(c.nodes[j].links, link)
			address = link.address()
		}
		members = append(members, nodeName(j)+"="+address)
	}
	args = append(args, "-replicas", strings.Join(members, ","))
	log, err := os.Create(filepath.Join(c.folder, nodeName(i)+".log"))
	if err != nil {
		return fmt.Errorf("create log of %s: %w", nodeName(i), err)
	}
	n.process = &process{name: nodeName(i), command: append(slices.Clone(o.Command), args...), environ: o.Environ, log: log}
	return n.process.start()
}

// startUpstreams starts two engines of different speed and a plain service, each
// behind a proxy.
func (c *cluster) startUpstreams() error {
	for i := range 3 {
		var fake faultyFake
		var err error
		if i < 2 {
			fake, err = fakes.StartEngine(fakes.EngineOptions{Version: "v1", StepBase: time.Duration(2*(i+1)) * time.Millisecond})
		} else {
			fake, err = fakes.StartService(fakes.ServiceOptions{Version: "v1", Workers: 32, StatusPath: "/status"})
		}
		if err != nil {
			return err
		}
		u := &upstream{fake: fake}
		c.upstreams = append(c.upstreams, u)
		if u.proxy, err = startProxy(fake.Addr()); err != nil {
			return err
		}
	}
	return nil
}

// configuration returns the configuration file of a round. Each round sets a
// different share for team north, so that successive configurations differ.
func (c *cluster) configuration(round int) string {
	return demo.WorkloadConfig + fmt.Sprintf(`teams:
  north: {shares: %d}
  south: {shares: 4}
  east: {shares: 1}
  west: {shares: 1}
  centre: {shares: 1}
upstreams:
  fast: {pool: text, version: v1, address: %q, max_concurrent: 16}
  slow: {pool: text, version: v1, address: %q, max_concurrent: 12}
  records: {pool: records, version: v1, address: %q, max_concurrent: 32}
`, 2+round%8, c.upstreams[0].proxy.address(), c.upstreams[1].proxy.address(), c.upstreams[2].proxy.address())
}

// apply replaces the configuration, based on its current revision.
func (c *cluster) apply(ctx context.Context, round int, id string) error {
	current, err := c.client.Config(ctx)
	if err != nil {
		return err
	}
	reply, err := c.client.Apply(ctx, &opsapi.ApplyRequest{
		ID: id, Base: current.Revision, Who: "soak", WaitSeconds: 1,
		Files: []opsapi.File{{Name: "soak" + config.FileSuffix, Data: c.configuration(round)}},
	})
	switch {
	case err != nil:
		return err
	case len(reply.Mistakes) > 0:
		return fmt.Errorf("soak configuration rejected: %v", reply.Mistakes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged = max(c.acknowledged, uint64(reply.Revision))
	return nil
}

// retry repeats call until it succeeds. After startTimeout it returns the last
// error.
func (c *cluster) retry(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		err := call(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(retryInterval):
		}
	}
}

// emptyDisk removes the node's data folder.
func (n *node) emptyDisk() error { return os.RemoveAll(n.folder) }

// tearLog appends an incomplete record to the node's newest log file, as a crash
// in the middle of a write would. A node without a log file stays as it is.
func (n *node) tearLog() error {
	newest := ""
	err := filepath.WalkDir(n.folder, func(path string, d fs.DirEntry, err error) error {
		if err == nil && !d.IsDir() && strings.HasSuffix(path, ".wal") {
			newest = max(newest, path)
		}
		return err
	})
	if err != nil || newest == "" {
		return err
	}
	file, err := os.OpenFile(newest, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = file.Write(make([]byte, tornRecordBytes))
	return errors.Join(err, file.Close())
}

// stop ends a node with SIGTERM and records in overdue if it does not exit within
// stopTimeout.
func (c *cluster) stop(n *node) {
	if !n.process.stop(syscall.SIGTERM, stopTimeout) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.overdue = append(c.overdue, fmt.Sprintf("%s did not exit within %s of SIGTERM", n.process.name, stopTimeout))
	}
}

// close kills the nodes and closes the proxies and upstreams. It leaves the folder
// with the nodes' logs, which run.removeFolder removes after a start that succeeded.
func (c *cluster) close() error {
	for _, n := range c.nodes {
		if n.process != nil {
			n.process.stop(syscall.SIGKILL, stopTimeout)
			_ = n.process.log.Close()
		}
		for _, p := range n.proxies() {
			if p != nil {
				p.close()
			}
		}
	}
	for _, u := range c.upstreams {
		if u.proxy != nil {
			u.proxy.close()
		}
		_ = u.fake.Close()
	}
	return nil
}
