package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/command/settings"
	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/disk"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// testTimeout is the longest that a test waits for one condition or answer.
const testTimeout = 60 * time.Second

// cluster runs three nodes in one process, on real sockets, with two engines of
// unequal speed and a plain service as upstreams.
type cluster struct {
	nodes    []*Agent
	engines  []*fakes.Engine
	service  *fakes.Service
	platform *fakes.Platform
	client   *http.Client

	serviceOptions fakes.ServiceOptions
	engineFaults   map[ident.VersionName]fakes.VersionFault
	connections    int
	realDisks      bool
	// relays forward connections to the nodes' internal listeners, and dialers open
	// the connections of the nodes to each other. Both can inject faults.
	relays   []*relay
	dialers  []*faultyDialer
	disks    []*disk.Fake
	settings []*settings.Settings
}

// option changes a cluster before it starts.
type option func(*cluster)

func withService(o fakes.ServiceOptions) option {
	return func(c *cluster) { c.serviceOptions = o }
}

// withRealDisks stores the replicas' data in folders on the machine's disk
// instead of in memory.
func withRealDisks(c *cluster) { c.realDisks = true }

func withEngineFaults(faults map[ident.VersionName]fakes.VersionFault) option {
	return func(c *cluster) { c.engineFaults = faults }
}

func withConnections(n int) option {
	return func(c *cluster) { c.connections = n }
}

func startCluster(t testing.TB, options ...option) *cluster {
	t.Helper()
	if test, ok := t.(*testing.T); ok {
		test.Parallel()
	}
	c := &cluster{client: &http.Client{Timeout: testTimeout}, connections: 256}
	for _, o := range options {
		o(c)
	}
	c.startUpstreams(t)
	var overrides []Overrides
	var replicas []settings.Replica
	for i := range 3 {
		c.dialers = append(c.dialers, &faultyDialer{})
		c.disks = append(c.disks, disk.NewFake(int64(i)))
		o := Overrides{Caller: listen(t), Internal: listen(t), Dial: c.dialers[i].dial}
		overrides = append(overrides, o)
		c.relays = append(c.relays, startRelay(t, o.Internal.Addr().String()))
		replicas = append(replicas, settings.Replica{ID: nodeID(i), Address: c.relays[i].address()})
	}
	for i, o := range overrides {
		set := testSettings(t, i, o, replicas, c.platform.Addr())
		set.InternalAdvertise = c.relays[i].address()
		set.Limits.MaxConnections = c.connections
		c.settings = append(c.settings, set)
		c.nodes = append(c.nodes, c.startNode(t, i, o))
	}
	c.apply(t, c.configuration())
	for i := range c.nodes {
		c.eventually(t, "a lookup to succeed at a node", func() bool { return c.lookupSucceeds(c.settings[i].CallerAdvertise) })
	}
	return c
}

func (c *cluster) startNode(t testing.TB, i int, o Overrides) *Agent {
	t.Helper()
	if !c.realDisks {
		o.Disk = c.disks[i]
	}
	node, err := New(c.settings[i], o)
	must.NoError(t, err)
	node.Start()
	t.Cleanup(node.Kill)
	return node
}

// restart starts a killed node again with the same settings and addresses. Data
// that its disk had not synced is lost.
func (c *cluster) restart(t testing.TB, i int) {
	t.Helper()
	c.disks[i].Crash()
	o := Overrides{Caller: relisten(t, c.settings[i].CallerAdvertise), Internal: relisten(t, c.relays[i].target), Dial: c.dialers[i].dial}
	c.nodes[i] = c.startNode(t, i, o)
}

func relisten(t testing.TB, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	must.NoError(t, err)
	return l
}

func (c *cluster) startUpstreams(t testing.TB) {
	t.Helper()
	for _, step := range []time.Duration{2 * time.Millisecond, 6 * time.Millisecond} {
		c.startEngine(t, step)
	}
	var err error
	c.service, err = fakes.StartService(c.serviceOptions)
	must.NoError(t, err)
	c.platform, err = fakes.StartPlatform(fakes.PlatformOptions{})
	must.NoError(t, err)
	t.Cleanup(func() {
		_ = c.service.Close()
		_ = c.platform.Close()
	})
}

// startEngine adds an engine that runs version v1 and takes the time step per
// decoding step when idle.
func (c *cluster) startEngine(t testing.TB, step time.Duration) {
	t.Helper()
	e, err := fakes.StartEngine(fakes.EngineOptions{Version: "v1", Faults: c.engineFaults, StepBase: step})
	must.NoError(t, err)
	t.Cleanup(func() { _ = e.Close() })
	c.engines = append(c.engines, e)
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return l
}

func nodeID(i int) ident.NodeID {
	return ident.NodeID(fmt.Sprintf("node-%d", i))
}

func testSettings(t testing.TB, i int, o Overrides, replicas []settings.Replica, platform string) *settings.Settings {
	t.Helper()
	return &settings.Settings{
		Node:              nodeID(i),
		Zone:              ident.Zone(fmt.Sprintf("zone-%d", i)),
		CallerAdvertise:   o.Caller.Addr().String(),
		InternalAdvertise: o.Internal.Addr().String(),
		DataDir:           t.TempDir(),
		Replicas:          replicas,
		PlatformURL:       "http://" + platform,
		AddressTTL:        200 * time.Millisecond,
		Limits: settings.Limits{
			MaxBodyBytes:      1 << 20,
			MaxHeaderBytes:    16 << 10,
			MaxConnections:    256,
			MaxWaitingBytes:   16 << 20,
			ReadHeaderTimeout: 2 * time.Second,
			ReadBodyTimeout:   2 * time.Second,
			IdleTimeout:       10 * time.Second,
		},
	}
}

func (c *cluster) configuration() string {
	return fmt.Sprintf(`
tiers:
  patient: {rank: 1, deadline: 60s}
  normal: {rank: 2, deadline: 20s}
  urgent: {rank: 3, deadline: 5s}
teams:
  alpha: {shares: 2}
  beta: {shares: 1}
pools:
  writer: {kind: engine, model: writer-8b, version: v1}
  ledger: {kind: service, version: v1}
upstreams:
  fast: {pool: writer, version: v1, address: %q, max_concurrent: 8}
  slow: {pool: writer, version: v1, address: %q, max_concurrent: 4}
  entries: {pool: ledger, version: v1, address: %q, max_concurrent: 16}
routes:
  chat: {path: /v1/chat/completions, pool: writer, tier: normal, idempotent: true}
  lookup: {path: /lookup, pool: ledger, tier: urgent, idempotent: true}
  submit: {path: /submit, pool: ledger, tier: urgent, idempotent: false, status_path: /status}
`, c.engines[0].Addr(), c.engines[1].Addr(), c.service.Addr())
}

// apply applies a configuration and waits until it is in force at all nodes.
func (c *cluster) apply(t testing.TB, text string) {
	t.Helper()
	var revision ident.Revision
	c.eventually(t, "the current configuration revision", func() bool {
		reply, err := control.Call[control.ShowConfigReply](t.Context(), c.nodes[0].control, "ShowConfig", &control.ShowConfigArgs{})
		revision = reply.Revision
		return err == nil
	})
	reply, err := control.Call[control.ApplyConfigReply](t.Context(), c.nodes[0].control, "ApplyConfig", applyArgs(text, revision))
	must.NoError(t, err)
	must.SliceEmpty(t, reply.Mistakes, must.Sprint(reply.Mistakes))
	c.eventually(t, "the new revision at every node", func() bool {
		for _, n := range c.nodes {
			if _, have := n.view.Config(); have <= revision {
				return false
			}
		}
		return true
	})
}

// submits returns the service's runs of non-idempotent calls.
func (c *cluster) submits() []fakes.Run {
	var runs []fakes.Run
	for _, r := range c.service.Runs() {
		if r.Path == "/submit" {
			runs = append(runs, r)
		}
	}
	return runs
}

func applyArgs(text string, base ident.Revision) *control.ApplyConfigArgs {
	return &control.ApplyConfigArgs{
		ID:    config.OperationID(uuid.NewString()),
		Base:  base,
		Who:   "test",
		Files: []config.File{{Name: "all.yaml", Data: []byte(text)}},
	}
}

func (c *cluster) eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out after %s waiting for %s", testTimeout, what)
}

// call is a caller's request.
type call struct {
	method, path, body, key, route, team, deadline string
}

// answer is the response that a caller received, or its error.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

func (c *cluster) send(node int, r call) answer {
	request, err := http.NewRequest(r.method, "http://"+c.nodes[node].settings.CallerAdvertise+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	team := r.team
	if team == "" {
		team = "alpha"
	}
	request.Header.Set(callerapi.HeaderTeam, team)
	set := func(name, value string) {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	set(callerapi.HeaderIdempotencyKey, r.key)
	set(callerapi.HeaderRoute, r.route)
	set(callerapi.HeaderDeadline, r.deadline)
	response, err := c.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), header: response.Header, err: err}
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}
