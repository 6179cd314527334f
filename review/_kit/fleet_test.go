package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine. Each machine has a loopback address of its own.
const (
	portFront     = "8221"
	portReady     = "8224"
	portControl   = "8229"
	portDirectory = "8230"
	portList      = "8225"
	portServer    = "8080"
)

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record   *record
	root     string // the repository
	dir      string // temporary folder
	network  string // the first two bytes of all addresses
	machines []*machine
	list     *listServer
	seeds    []string
}

// machine runs one program of the deploy file, across restarts.
type machine struct {
	f        *fleet
	name     string
	role     string
	ip       string
	zone     string
	memoryMB int

	// added is true for a machine that was added to the running system.
	added bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	starts int
	// stopped is true once the script wants the process to be down.
	stopped bool
	// ownEnds counts the ends that the script did not ask for, overLimit those for memory.
	ownEnds, overLimit int
	peakMB             float64
}

// newFleet finds a free network of loopback addresses and starts the platform's list.
func newFleet(r *record) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, root: root, dir: dir}
	for range 50 {
		f.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(150), rand.IntN(250))
		if f.isFree() {
			f.list, err = startList(f.network + ".250:" + portList)
			return f, err
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// isFree reports whether the ports of the first addresses can be bound.
func (f *fleet) isFree() bool {
	for host := 1; host < 10; host++ {
		for _, port := range []string{portFront, portControl, portServer, "7600", "7601", "9464"} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%s", f.network, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	l, err := net.Listen("tcp4", f.network+".250:"+portList)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// startMachines starts all machines and puts the first manifest in force.
func (f *fleet) startMachines(ctx context.Context, first *manifest) error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	if status := newOperator(f).put(ctx, first.encode()); status != http.StatusOK {
		return fmt.Errorf("the first manifest got status %d", status)
	}
	f.record.line("manifest %d acknowledged", first.Version)
	time.Sleep(2 * time.Second)
	return nil
}

// add adds a machine with the next address.
func (f *fleet) add(role, zone string, memoryMB int) *machine {
	m := &machine{
		f: f, role: role, zone: zone, memoryMB: memoryMB,
		ip: fmt.Sprintf("%s.%d", f.network, len(f.machines)+1),
	}
	m.name = fmt.Sprintf("%s-%s-%d", role, zone, len(f.machines)+1)
	f.machines = append(f.machines, m)
	if role == "core" {
		f.seeds = append(f.seeds, m.ip+":"+portControl)
	}
	return m
}

// addLater adds a machine to the running system. It gets the seeds of the others.
func (f *fleet) addLater(role, zone string, memoryMB int) *machine {
	seeds := f.seeds
	m := f.add(role, zone, memoryMB)
	f.seeds, m.added = seeds, true
	return m
}

func (f *fleet) of(role string) []*machine {
	var found []*machine
	for _, m := range f.machines {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

// settings returns the settings file of a machine, in the form of the page.
func (m *machine) settings(bootstrap bool) string {
	var b strings.Builder
	w := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	w("nodeName: %q\nrole: %q\nmachineClass: %q\nip: %q\nzone: %q\nregion: \"r1\"", m.name, m.role, m.role, m.ip, m.zone)
	w("zones: {z1: \"r1\", z2: \"r1\", z3: \"r1\"}")
	if m.role == "core" {
		w("serves: [\"control\"]\nlisten: {control: \"%s:%s\"}", m.ip, portControl)
		w("dataDir: %q\ncountsInTolerance: true", m.dataDir())
		w("limits: {cpuShare: 0.24, cores: 1, memoryMb: %d, maxFds: 4096, linkMbps: 1000.0, diskMb: 128}", m.memoryMB)
	} else {
		w("serves: [\"front\", \"directory\"]\nlisten: {front: \"%[1]s:%[2]s\", ready: \"%[1]s:%[3]s\", directory: \"%[1]s:%[4]s\"}", m.ip, portFront, portReady, portDirectory)
		w("dataDir: null\ncountsInTolerance: false")
		w("limits: {cpuShare: 0.4, cores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}", m.memoryMB)
	}
	w("internalPorts: [7600, 7615]\nbootstrap: %t", bootstrap)
	w("seeds: [\"%s\"]", strings.Join(m.f.seeds, "\", \""))
	w("discovery: \"cloud\"\nentry: \"directory\"\nheartbeatMs: 1200\ntolerate: {machines: 1, zones: 0, regions: 0}")
	w("configMode: \"highest\"\ncloud: {address: %q, ratePerS: 40.0, duties: [], maxLagMs: 800}", m.f.list.address)
	w("bounds: {seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 3000, graceS: 8, lossSlackMs: 200, " +
		"configApplyMs: 2000, rollbackSlackMs: 250, stretchMaxMs: 5000, enforceRevoke: true, revokeMs: 5000, retryBudgetRatio: 0.2, " +
		"budgetWindowS: 10, retryBudgetSlack: 54, quotaWindowS: 8, quotaOverage: 0.1, quotaSlack: 190000, exposureShare: 0.1, " +
		"exposureSlack: 50, rollbackMs: 5000, recoverS: 12, passMs: 120, reuseWindowS: 10, ttl_max_s: 5}")
	return b.String()
}

func (m *machine) dataDir() string { return filepath.Join(m.f.dir, m.name, "data") }

func (m *machine) file(name string) string { return filepath.Join(m.f.dir, m.name, name) }

// start starts the program with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := os.MkdirAll(m.dataDir(), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(m.file("settings.yaml"), []byte(m.settings(m.starts == 0 && !m.added)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(m.file("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/flamingohaven", m.role)
	cmd.Dir = m.f.root
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "FLAMINGOHAVEN_NODE_FILE=" + m.file("settings.yaml")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done, m.stopped = cmd, done, false
	m.starts++
	go m.wait(cmd, done)
	return nil
}

// wait starts the process again after an end that the script did not ask for.
func (m *machine) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	close(done)
	m.mu.Lock()
	stopped := m.stopped
	if !stopped {
		m.ownEnds++
	}
	m.mu.Unlock()
	if !stopped {
		m.f.record.line("%s ended by itself: %v; starts again in 1 s", m.name, err)
		time.Sleep(time.Second)
		_ = m.start()
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.stopped = true
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// memory returns the private memory of the process in MB; 0 if it can't be read.
func (m *machine) memory() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}

// enforceMemory does what the page says of the platform: a process that uses more than
// memoryMb is killed, and starts again after a short delay.
func (f *fleet) enforceMemory(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		for _, m := range f.machines {
			used := m.memory()
			m.mu.Lock()
			m.peakMB = max(m.peakMB, used)
			over := used > float64(m.memoryMB) && !m.stopped
			if over {
				m.overLimit++
				_ = m.cmd.Process.Kill()
			}
			m.mu.Unlock()
			if over {
				f.record.line("%s uses %.0f MB of %d MB and is killed", m.name, used, m.memoryMB)
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.kill()
	}
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	f.stop()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// instance is an entry of the platform's list.
type instance struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMs float64 `json:"coldLeftMs"`
	Born       int64   `json:"born"`
}

// listServer stands in for the platform's list of servers.
type listServer struct {
	address string
	mu      sync.Mutex
	entries []instance
	// added counts the servers so far.
	added int
}

func startList(address string) (*listServer, error) {
	l := &listServer{address: address}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		entries := append([]instance{}, l.entries...)
		l.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": entries, "next": nil})
	})
	go func() { _ = http.Serve(listener, mux) }()
	return l, nil
}

func (l *listServer) put(entry instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].ID == entry.ID {
			l.entries[i] = entry
			return
		}
	}
	l.entries = append(l.entries, entry)
	l.added++
}

// operator sends orders like the operator of the page: to any node that serves control, and
// to another one after a failure, a 5xx or a second without a response.
type operator struct {
	f      *fleet
	client *http.Client
}

func newOperator(f *fleet) *operator {
	return &operator{f: f, client: &http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}}
}

// put sends a manifest until it is acknowledged, refused or ctx ends. It returns the status.
func (o *operator) put(ctx context.Context, manifest []byte) int {
	cores := o.f.of("core")
	for try := 0; ctx.Err() == nil; try++ {
		core := cores[rand.IntN(len(cores))]
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+core.ip+":"+portControl+"/config", bytes.NewReader(manifest))
		if err != nil {
			return 0
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := o.client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode < 500 {
				return response.StatusCode
			}
		}
		time.Sleep(time.Duration(min(1000, 50<<min(try, 5))) * time.Millisecond)
	}
	return 0
}

// get reads the manifest at one machine.
func (o *operator) get(m *machine) (status int, body []byte) {
	response, err := o.client.Get("http://" + m.ip + ":" + portControl + "/config")
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	body, _ = io.ReadAll(response.Body)
	return response.StatusCode, body
}
