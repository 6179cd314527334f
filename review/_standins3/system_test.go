// Package standins3 holds the stand-ins of the third review: it starts the deployed programs
// and plays the platform, the servers, the clients and the operator around them.
package standins3

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to a file, one line for each.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   *os.File
}

func newRecord(path string) (*record, error) {
	out, err := os.Create(path)
	return &record{began: time.Now(), out: out}, err
}

// say writes a line with the time since the begin of the script.
func (r *record) say(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// machine is one machine of the deployment with its process.
type machine struct {
	name, role, ip string
	d              *deployment
	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{}
	bootstrap      bool
}

// deployment is the system under test on loopback addresses.
type deployment struct {
	rec    *record
	folder string
	net    string
	list   string
	cores  []*machine
	fronts []*machine
}

// programPath is where the deploy file's build puts the program.
const programPath = "target/flamingohaven"

// newDeployment returns a deployment of so many machines. It looks for a free block of loopback
// addresses.
func newDeployment(rec *record, folder, list string, cores, fronts int) (*deployment, error) {
	d := &deployment{rec: rec, folder: folder, list: list}
	for block := range 200 {
		d.net = fmt.Sprintf("127.%d.%d.", 100+os.Getpid()%100, (os.Getpid()/100+block)%250)
		l, err := net.Listen("tcp4", d.net+"1:8229")
		if err != nil {
			continue
		}
		_ = l.Close()
		break
	}
	for i := range cores {
		d.cores = append(d.cores, &machine{name: fmt.Sprintf("core-%d", i+1), role: "core", ip: fmt.Sprintf("%s%d", d.net, i+1), d: d, bootstrap: true})
	}
	for i := range fronts {
		d.fronts = append(d.fronts, &machine{name: fmt.Sprintf("front-%d", i+1), role: "front", ip: fmt.Sprintf("%s%d", d.net, 100+i+1), d: d, bootstrap: true})
	}
	return d, nil
}

func (d *deployment) machines() []*machine {
	return append(append([]*machine{}, d.cores...), d.fronts...)
}

// startAll starts the processes of all machines that don't run.
func (d *deployment) startAll() error {
	for _, m := range d.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all processes.
func (d *deployment) killAll() {
	for _, m := range d.machines() {
		m.kill()
	}
}

func (m *machine) settings() string {
	var seeds []string
	for _, c := range m.d.cores {
		seeds = append(seeds, fmt.Sprintf("  - %q\n", c.ip+":8229"))
	}
	listen := fmt.Sprintf("  front: %q\n  ready: %q\n  directory: %q\n", m.ip+":8221", m.ip+":8224", m.ip+":8220")
	dataDir, serves := "null", "  - \"front\"\n  - \"directory\"\n"
	if m.role == "core" {
		listen, serves = fmt.Sprintf("  control: %q\n", m.ip+":8229"), "  - \"control\"\n"
		dataDir = fmt.Sprintf("%q", filepath.Join(m.d.folder, m.name))
	}
	return fmt.Sprintf(`nodeName: %q
role: %q
machineClass: %q
serves:
%sip: %q
zone: "zone-a"
region: "region-a"
zones:
  zone-a: "region-a"
  zone-b: "region-a"
listen:
%sinternalPorts:
  - 7600
  - 7615
seeds:
%sbootstrap: %t
countsInTolerance: %t
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: 284
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 128
dataDir: %s
discovery: "cloud"
entry: "directory"
heartbeatMs: 1200
contracts:
  - "base"
  - "drain"
  - "config"
  - "retry"
  - "recover"
  - "stream"
  - "tenants"
  - "quota"
  - "rollout"
tolerate:
  machines: 1
  zones: 0
  regions: 0
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 3000
  ackMs: 4000
  catchUpS: 4
  drainMs: 3000
  graceS: 8
  lossSlackMs: 200
  configApplyMs: 2000
  rollbackSlackMs: 250
  stretchMaxMs: 5000
  enforceRevoke: true
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  retryBudgetSlack: 52
  quotaWindowS: 8
  quotaOverage: 0.1
  quotaSlack: 190000
  exposureShare: 0.1
  exposureSlack: 50
  rollbackMs: 5000
  recoverS: 12
  passMs: 120
  reuseWindowS: 10
  ttl_max_s: 5
configMode: "highest"
cloud:
  address: %q
  ratePerS: 40.0
  maxLagMs: 800
`, m.name, m.role, m.role, serves, m.ip, listen, strings.Join(seeds, ""), m.bootstrap, m.role == "core", dataDir, m.d.list)
}

// start starts the process by the deploy file's command, unless it runs.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		return nil
	}
	path := filepath.Join(m.d.folder, m.name+".yaml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	if m.role == "core" {
		if err := os.MkdirAll(filepath.Join(m.d.folder, m.name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(m.d.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(programPath, m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FLAMINGOHAVEN_NODE_FILE=" + path}
	if m.role == "front" {
		cmd.Env = append(cmd.Env, "FLAMINGOHAVEN_ZONE_COST=5000s")
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done, m.bootstrap = cmd, make(chan struct{}), false
	m.d.rec.say("%s starts", m.name)
	go func(done chan struct{}) {
		err := cmd.Wait()
		m.d.rec.say("the process of %s ends: %v", m.name, err)
		m.mu.Lock()
		if m.cmd == cmd {
			m.cmd = nil
		}
		m.mu.Unlock()
		close(done)
	}(m.done)
	return nil
}

// signal sends a signal to the process, if it runs.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.d.rec.say("%s gets %s", m.name, s)
		_ = m.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for that.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// awaitReady waits until all fronts say that they are ready.
func (d *deployment) awaitReady(timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for _, f := range d.fronts {
		for {
			status, _, _ := call(time.Second, http.MethodGet, "http://"+f.ip+":8224/readiness", nil)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// call makes one call on a connection of its own, which it closes.
func call(timeout time.Duration, method, url string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// operatorCall sends an order of the operator, first to the given machine, then to the others
// in turn: a node that does not answer within a second, or answers 5xx, is left for the next.
func (d *deployment) operatorCall(first int, method, path string, body []byte, limit time.Duration) (status int, answer []byte) {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for i := first; time.Now().Before(end); i++ {
		m := d.cores[i%len(d.cores)]
		status, answer, err := call(time.Second, method, "http://"+m.ip+":8229"+path, body)
		d.rec.say("operator: %s %s %s at %s: status %d %s, error %v", method, path, compact(body), m.name, status, compact(answer), err)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, answer
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return 0, nil
}

// compact shortens a body for the record.
func compact(b []byte) string {
	text := strings.TrimSpace(string(b))
	if len(text) > 160 {
		text = text[:160] + "..."
	}
	return text
}

// platform serves the list of servers.
type platform struct {
	mu      sync.Mutex
	entries map[string]map[string]any
	address string
}

func startPlatform() (*platform, error) {
	p := &platform{entries: make(map[string]map[string]any)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		list := make([]map[string]any, 0, len(p.entries))
		for _, e := range p.entries {
			list = append(list, e)
		}
		p.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next": nil})
	})
	go func() { _ = http.Serve(l, mux) }()
	return p, nil
}

// set puts an entry on the list, and drop takes it off.
func (p *platform) set(s *server, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[s.id] = map[string]any{
		"id": s.id, "service": s.service, "address": s.address, "zone": cmp.Or(s.zone, "zone-a"), "version": s.version,
		"slots": s.slots, "state": state, "coldLeftMs": 0, "born": s.born,
	}
}

func (p *platform) drop(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.entries, s.id)
}

// server is a stand-in of one server.
type server struct {
	zone                          string // of the server; that of the fronts if empty
	id, service, version, address string
	slots                         int
	born                          int64
	rec                           *record
	// answer handles a request that names this server.
	answer func(s *server, w http.ResponseWriter, r *http.Request)
	mu     sync.Mutex
	runs   map[string]int
}

func startServer(rec *record, id, service, version string, slots int, answer func(s *server, w http.ResponseWriter, r *http.Request)) (*server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, version: version, address: l.Addr().String(), slots: slots, born: time.Now().UnixMilli(), rec: rec, answer: answer, runs: make(map[string]int)}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if named := r.Header.Get("Expect-Instance"); named != "" && named != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	s.rec.say("server %s (%s %s) runs %s", s.id, s.service, s.version, id)
	s.answer(s, w, r)
}

// sealed answers a request in good order.
func sealed(s *server, w http.ResponseWriter, status int, body string) {
	w.Header().Set("Response-Seal", "seal-"+s.id+"-"+w.Header().Get("Attempt-Id"))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}
