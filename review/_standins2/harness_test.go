// Package standins holds the stand-ins of the second review: the platform's list, servers, callers and an
// operator. The test binary is the stand-in: the variable CASE names the case that it runs.
package standins

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	unusable = 2
)

var cases = map[string]func(s *system, trouble bool) int{}

func TestMain(m *testing.M) {
	run, known := cases[os.Getenv("CASE")]
	if !known {
		fmt.Fprintln(os.Stderr, "CASE names no case")
		os.Exit(unusable)
	}
	s, err := newSystem(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unusable)
	}
	time.AfterFunc(115*time.Second, func() {
		s.say("the case takes too long")
		s.close()
		os.Exit(unusable)
	})
	code := run(s, os.Getenv("TROUBLE") != "0")
	s.say("exit code %d", code)
	s.close()
	os.Exit(code)
}

// system is a small deployment: three replicas, three gateways, and the stand-ins.
type system struct {
	folder  string
	record  *os.File
	began   time.Time
	cloud   *platformList
	cores   []*machine
	fronts  []*machine
	started bool

	mu sync.Mutex
}

func newSystem(record string) (*system, error) {
	if record == "" {
		record = os.DevNull
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{folder: folder, record: file, began: time.Now()}
	if s.cloud, err = newPlatformList(); err != nil {
		return nil, err
	}
	zones := []string{"nadi-a", "lautoka-b", "sigatoka-c"}
	for i := range 3 {
		s.cores = append(s.cores, &machine{s: s, name: "core-" + zones[i] + "-1", role: "core", zone: zones[i], ip: host(i + 1), dataDir: filepath.Join(folder, "disk-"+strconv.Itoa(i))})
		s.fronts = append(s.fronts, &machine{s: s, name: "front-" + zones[i] + "-1", role: "front", zone: zones[i], ip: host(i + 101)})
	}
	return s, nil
}

// host returns a loopback address that depends on the process.
func host(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 30+pid/250%200, 1+pid%250, i)
}

// say writes a line to the record.
func (s *system) say(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, values...))
}

func (s *system) machines() []*machine { return append(append([]*machine{}, s.cores...), s.fronts...) }

func (s *system) close() {
	for _, m := range s.machines() {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Fprintln(os.Stderr, s.folder)
	}
	_ = s.record.Close()
}

// machine runs one process of the project with the command of the deploy file.
type machine struct {
	s                             *system
	name, role, zone, ip, dataDir string

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	wanted  bool
	startAt time.Time
}

// settingsText follows the page on the settings of a process.
func (m *machine) settingsText() string {
	var seeds []string
	for _, c := range m.s.cores {
		seeds = append(seeds, fmt.Sprintf("  - %q", c.ip+":8229"))
	}
	listen := fmt.Sprintf("  front: %q\n  ready: %q\n  directory: %q\n", m.ip+":8221", m.ip+":8224", m.ip+":8220")
	dataDir, serves, disk := "null", "  - \"front\"\n  - \"directory\"\n", 0
	memory, fds := 284, 4100
	if m.role == "core" {
		listen, serves, disk = fmt.Sprintf("  control: %q\n", m.ip+":8229"), "  - \"control\"\n", 128
		dataDir = strconv.Quote(m.dataDir)
		memory, fds = 280, 4096
	}
	return fmt.Sprintf(`nodeName: %q
role: %q
machineClass: %q
serves:
%sip: %q
zone: %q
region: "viti-west"
zones:
  nadi-a: "viti-west"
  lautoka-b: "viti-west"
  sigatoka-c: "viti-west"
listen:
%sinternalPorts:
  - 7600
  - 7615
seeds:
%s
bootstrap: %t
countsInTolerance: %t
limits:
  cpuShare: 0.4
  cores: 1
  memoryMb: %d
  maxFds: %d
  linkMbps: 1000.0
  diskMb: %d
dataDir: %s
discovery: "cloud"
entry: "directory"
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "rollout"]
tolerate: {machines: 1, zones: 0, regions: 0}
bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 3000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, stretchMaxMs: 5000, enforceRevoke: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, retryBudgetSlack: 52, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 190000, exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5000, recoverS: 12, passMs: 120, reuseWindowS: 10, ttl_max_s: 5}
configMode: "highest"
cloud: {address: %q, ratePerS: 40.0, duties: [], maxLagMs: 800}
`, m.name, m.role, m.role, serves, m.ip, m.zone, listen, strings.Join(seeds, "\n"), !m.s.started, m.role == "core", memory, fds, disk, dataDir, m.s.cloud.address)
}

func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dataDir != "" {
		if err := os.MkdirAll(m.dataDir, 0o700); err != nil {
			return err
		}
	}
	settings := filepath.Join(m.s.folder, m.name+".yaml")
	if err := os.WriteFile(settings, []byte(m.settingsText()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/flamingohaven", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FLAMINGOHAVEN_NODE_FILE=" + settings}
	if m.role == "front" {
		cmd.Env = append(cmd.Env, "FLAMINGOHAVEN_ZONE_COST=5000s")
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.cmd, m.ended, m.startAt = cmd, ended, time.Now()
	go func() {
		err := cmd.Wait()
		m.s.say("%s ended: %v", m.name, err)
		close(ended)
	}()
	m.s.say("%s started", m.name)
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(sig syscall.Signal) {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	if cmd != nil {
		m.s.say("%s to %s", sig, m.name)
		_ = cmd.Process.Signal(sig)
	}
}

// wait waits for the end of the process.
func (m *machine) wait() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (m *machine) kill() {
	m.mu.Lock()
	cmd, ended := m.cmd, m.ended
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	select {
	case <-ended:
	default:
		_ = cmd.Process.Kill()
		<-ended
	}
}

// residentMB returns the memory of the process, in MiB; 0 if it doesn't run.
func (m *machine) residentMB() float64 {
	m.mu.Lock()
	cmd := m.cmd
	m.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// front returns the address for clients.
func (m *machine) front() string { return m.ip + ":8221" }

// up starts all machines, sends the first manifest and waits until all gateways are ready.
func (s *system) up(manifest string) error {
	for _, m := range s.machines() {
		if err := m.start(); err != nil {
			return err
		}
	}
	if err := s.put(manifest, 20*time.Second); err != nil {
		return err
	}
	s.started = true
	for _, m := range s.fronts {
		if err := s.ready(m, 20*time.Second); err != nil {
			return err
		}
	}
	s.say("all gateways are ready")
	time.Sleep(4 * time.Second)
	return nil
}

func (s *system) ready(m *machine, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := client.Get("http://" + m.ip + ":8224/readiness")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// put sends a manifest as an operator does: again, to the next machine, until it is acknowledged.
func (s *system) put(manifest string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	last := "nothing"
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		request, _ := http.NewRequest(http.MethodPut, "http://"+s.cores[i%len(s.cores)].ip+":8229/config", strings.NewReader(manifest))
		request.Header.Set("Content-Type", "application/json")
		answer, err := client.Do(request)
		if err == nil {
			text, _ := io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				s.say("manifest acknowledged: %s", manifest)
				return nil
			}
			last = fmt.Sprintf("%d %s", answer.StatusCode, text)
		} else {
			last = err.Error()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the manifest is not acknowledged: %s", last)
}

// platformList is the platform's list of servers.
type platformList struct {
	address string

	mu      sync.Mutex
	servers []*server
	// foreign holds entries of other writers, which come after the others.
	foreign func() []string
}

func newPlatformList() (*platformList, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &platformList{address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, l) }()
	return l, nil
}

func (l *platformList) add(s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = append(l.servers, s)
}

func (l *platformList) remove(s *server) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []*server
	for _, other := range l.servers {
		if other != s {
			kept = append(kept, other)
		}
	}
	l.servers = kept
}

// ServeHTTP implements http.Handler.
func (l *platformList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := []string{}
	for _, s := range l.servers {
		entries = append(entries, s.entry())
	}
	if l.foreign != nil {
		entries = append(entries, l.foreign()...)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"next":null}`, strings.Join(entries, ","))
}

// server is a server of the platform.
type server struct {
	s                      *system
	service, zone, version string
	address                string
	slots                  int
	// answer answers a request that the server runs.
	answer func(c *serverConn, r *http.Request, body []byte)

	mu       sync.Mutex
	id       string
	born     int64
	draining bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// serverConn is a connection to a server.
type serverConn struct {
	net.Conn
	server *server
}

var lastServer int

// newServer starts a server and lists it.
func (s *system) newServer(service string, slots int, answer func(c *serverConn, r *http.Request, body []byte)) (*server, error) {
	lastServer++
	v := &server{s: s, service: service, zone: s.fronts[lastServer%3].zone, version: "v1", slots: slots, answer: answer, conns: make(map[net.Conn]bool)}
	if err := v.start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.cloud.add(v)
	return v, nil
}

// start begins a lifetime of the server, with a new id.
func (v *server) start(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	v.mu.Lock()
	lastID++
	v.listener, v.address = listener, listener.Addr().String()
	v.id, v.born = fmt.Sprintf("i-%08x", 0x7f3a9000+lastID), time.Now().UnixMilli()
	v.mu.Unlock()
	go v.accept(listener)
	return nil
}

var lastID int

func (v *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		v.mu.Lock()
		v.conns[conn] = true
		v.mu.Unlock()
		go v.serve(conn)
	}
}

// end ends the server as a crash does: its connections are reset.
func (v *server) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.listener.Close()
	for conn := range v.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	clear(v.conns)
}

func (v *server) identity() (string, int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.id, v.born
}

// entry is the server's entry of the list.
func (v *server) entry() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	state := "ready"
	if v.draining {
		state = "draining"
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"coldLeftMs":0,"born":%d,"id":%q}`,
		v.service, v.address, v.zone, v.version, v.slots, state, v.born, v.id)
}

func (v *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		v.mu.Lock()
		delete(v.conns, conn)
		v.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c := &serverConn{Conn: conn, server: v}
		id, _ := v.identity()
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			c.send(r, "421 Misdirected Request", "Not-Executed: 1\r\nInstance-Id: "+id+"\r\n", nil)
			continue
		}
		if r.URL.Path == "/health" {
			c.send(r, "200 OK", "Instance-Id: "+id+"\r\n", nil)
			continue
		}
		v.answer(c, r, body)
	}
}

// send sends an answer with a length.
func (c *serverConn) send(r *http.Request, status, fields string, body []byte) {
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %s\r\n", status)
	if id := r.Header.Get("Attempt-Id"); id != "" {
		fmt.Fprintf(&answer, "Attempt-Id: %s\r\n", id)
	}
	fmt.Fprintf(&answer, "%sContent-Length: %d\r\n\r\n", fields, len(body))
	answer.Write(body)
	_, _ = c.Write(answer.Bytes())
}

// sealed sends a success.
func (c *serverConn) sealed(r *http.Request, body []byte) {
	id, _ := c.server.identity()
	c.send(r, "200 OK", "Response-Seal: "+id+"."+r.Header.Get("Attempt-Id")+"\r\n", body)
}

// reply is what a client gets.
type reply struct {
	status int
	header http.Header
	body   []byte
	// bytes is the size of a body that is not kept.
	bytes int
	err   error
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("status %d, %v", r.status, r.err)
	}
	return fmt.Sprintf("status %d, %d bytes", r.status, len(r.body))
}

// call sends a request on a new connection and reads its answer.
func call(address, method, path, id string, fields map[string]string, body string, limit time.Duration) reply {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, requestText(method, path, id, fields, body, limit)); err != nil {
		return reply{err: err}
	}
	return readReply(bufio.NewReader(conn), method)
}

func requestText(method, path, id string, fields map[string]string, body string, limit time.Duration) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: regatta.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, limit.Milliseconds())
	for name, value := range fields {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if body != "" || method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	return text.String() + "\r\n" + body
}

func readReply(reader *bufio.Reader, method string) reply {
	answer, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return reply{err: err}
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, header: answer.Header, body: content, err: err}
}

// Parts of a manifest.
type (
	route   = map[string]any
	tenant  = map[string]any
	service = map[string]any
)

func manifestText(version int, tenants any, services []service, routes []route) string {
	m := map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if tenants != nil {
		m["tenants"] = tenants
	}
	text, _ := json.Marshal(m)
	return string(text)
}

func appRoute(name, prefix, kind string, timeout, objective int, attempts int) route {
	return route{"name": name, "host": "regatta.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": objective,
		"priority": 2, "service": "entries-app", "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false, "gapTargetMs": 300}
}

func appService() service {
	return service{"name": "entries-app", "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false}
}

func tenantOf(name string, keys ...string) tenant {
	if keys == nil {
		keys = []string{}
	}
	return tenant{"name": name, "apiKeys": keys, "priority": 1, "unit": "token_stream", "plainTokens": 200, "ratePerS": 164296, "burst": 164296}
}
