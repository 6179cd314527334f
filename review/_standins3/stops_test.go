package standins3

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stoppingServers is the number of servers in use, each with stoppingSlots slots.
	stoppingServers = 12
	stoppingSlots   = 5
	// releases is the number of releases, with releasePause between two of them. Each replaces
	// releaseServers servers, one every releaseGap.
	releases       = 3
	releaseServers = 5
	releaseGap     = time.Second
	releasePause   = 6 * time.Second
	// drainFor is how long a server that is draining serves on at least.
	drainFor = 3200 * time.Millisecond
	// longPieces are the events of a stream, with longPause between two of them.
	longPieces = 18
	longPause  = 500 * time.Millisecond
	// lostAllowed is how many answers the rule lets a machine lose.
	lostAllowed = 3
)

// graceful is a server that stops in good order: it serves on until its last answer has ended.
type graceful struct {
	*server
	listener net.Listener
	mu       sync.Mutex
	idle     map[net.Conn]bool
	running  int
	stopped  bool
	sent     *sync.Map // the requests whose answers were sent whole
}

func startGraceful(d *deployment, service string, sent *sync.Map) (*graceful, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := l.Addr().String()
	g := &graceful{
		server:   &server{service: service, version: "v1", address: address, slots: stoppingSlots, rec: d.rec},
		listener: l, idle: make(map[net.Conn]bool), sent: sent,
	}
	g.id, g.born = "i-"+strings.ReplaceAll(address, ":", "-"), time.Now().UnixMilli()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go g.serve(conn)
		}
	}()
	return g, nil
}

// stop ends the process as soon as no request runs there.
func (g *graceful) stop() {
	for !g.stopIdle() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (g *graceful) stopIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running > 0 {
		return false
	}
	g.stopped = true
	_ = g.listener.Close()
	for conn := range g.idle {
		_ = conn.Close()
	}
	return true
}

// begin marks a connection as busy; it reports false if the process has ended.
func (g *graceful) begin(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return false
	}
	delete(g.idle, conn)
	g.running++
	return true
}

// end marks a connection as idle.
func (g *graceful) end(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.idle[conn] = true
}

func (g *graceful) serve(conn net.Conn) {
	g.mu.Lock()
	g.idle[conn] = true
	if g.stopped {
		_ = conn.Close()
	}
	g.mu.Unlock()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !g.begin(conn) {
			_ = conn.Close()
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Attempt-Id")
		head := fmt.Sprintf("Attempt-Id: %s\r\n", id)
		switch {
		case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != g.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		case r.URL.Path == "/health":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", g.id)
		case strings.HasPrefix(r.URL.Path, "/slow/"):
			g.answerLong(conn, head, id)
			return
		default:
			body := strings.Join(longBody(id), "")
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sResponse-Seal: s-%s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(body), body)
		}
		g.end(conn)
	}
}

// longBody is the body of each answer.
func longBody(id string) []string {
	var parts []string
	for i := range longPieces {
		parts = append(parts, fmt.Sprintf("id: %d\ndata: %s event %d of %d\n\n", i+1, id, i+1, longPieces))
	}
	return parts
}

// answerLong sends a stream with neither a length nor chunks, which ends with its connection.
func (g *graceful) answerLong(conn net.Conn, head, id string) {
	defer func() {
		_ = conn.Close()
		g.mu.Lock()
		g.running--
		g.mu.Unlock()
	}()
	g.rec.say("server %s runs %s", g.id, id)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sResponse-Seal: s-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", head, id)
	for i, part := range longBody(id) {
		if i > 0 {
			time.Sleep(longPause)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			g.rec.say("server %s can't send event %d of %s: %v", g.id, i+1, id, err)
			return
		}
	}
	g.sent.Store(id, true)
	g.rec.say("server %s has sent %s whole", g.id, id)
}

// lastStreams plays servers that are replaced one after the other while streams run there, and
// end with their last one.
func lastStreams(d *deployment, p *platform, trouble bool) (broken bool, err error) {
	const service = "app"
	var sent sync.Map
	var servers []*graceful
	for range stoppingServers {
		g, err := startGraceful(d, service, &sent)
		if err != nil {
			return false, err
		}
		p.set(g.server, "ready")
		servers = append(servers, g)
	}
	route := func(name, prefix, kind string) map[string]any {
		r := map[string]any{
			"name": name, "host": "app.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 12000,
			"targetLatencyMs": 1000, "priority": 1, "service": service, "maxAttempts": 1, "public": false,
		}
		if kind == "stream" {
			r["resumable"], r["gapTargetMs"] = false, 1000
		}
		return r
	}
	manifest, _ := json.Marshal(map[string]any{
		"version": 1, "routes": []any{route("r-slow", "/slow/", "stream"), route("r-fast", "/fast/", "idempotent")},
		"services": []any{map[string]any{"name": service, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if status, _ := d.operatorCall(0, http.MethodPut, "/config", manifest, 15*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the manifest was not accepted")
	}
	if !d.awaitReady(10 * time.Second) {
		return false, fmt.Errorf("the fronts are not ready")
	}
	var stop atomic.Bool
	var lost atomic.Int64
	var clients, stops sync.WaitGroup
	for c := range 45 {
		clients.Go(func() { keptClient(d, c, &stop, &lost, &sent) })
	}
	time.Sleep(3 * time.Second)
	replace := func(i int) error {
		old := servers[i]
		next, err := startGraceful(d, service, &sent)
		if err != nil {
			return err
		}
		servers[i] = next
		p.set(next.server, "ready")
		p.set(old.server, "draining")
		d.rec.say("server %s takes the place of %s, which drains", next.id, old.id)
		stops.Go(func() {
			time.Sleep(drainFor)
			old.stop()
			d.rec.say("server %s has ended", old.id)
			p.drop(old.server)
		})
		return nil
	}
	for i := range releases * releaseServers {
		if i > 0 && i%releaseServers == 0 {
			time.Sleep(releasePause)
		}
		if trouble {
			if err := replace(i % len(servers)); err != nil {
				return false, err
			}
		}
		time.Sleep(releaseGap)
	}
	stop.Store(true)
	clients.Wait()
	stops.Wait()
	d.rec.say("%d answers that were sent whole have not reached their clients", lost.Load())
	return lost.Load() > lostAllowed, nil
}

// keptClient sends a short request and then that of a stream on each connection.
func keptClient(d *deployment, client int, stop *atomic.Bool, lost *atomic.Int64, sent *sync.Map) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := 0; !stop.Load(); n++ {
		front := d.fronts[client%len(d.fronts)]
		for _, kind := range []string{"fast", "slow"} {
			id := fmt.Sprintf("%s-%d-%d", kind, client, n)
			method := http.MethodGet
			if kind == "slow" {
				method = http.MethodPost
			}
			request, _ := http.NewRequest(method, "http://"+front.ip+":8221/"+kind+"/x", nil)
			request.Host = "app.example"
			request.Header.Set("Attempt-Id", id)
			request.Header.Set("Deadline-Ms", "12000")
			response, err := transport.RoundTrip(request)
			if err != nil {
				d.rec.say("client: %s gets no answer: %v", id, err)
				time.Sleep(50 * time.Millisecond)
				break
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				d.rec.say("client: %s gets %d", id, response.StatusCode)
				time.Sleep(100 * time.Millisecond)
				break
			}
			if err != nil || string(body) != strings.Join(longBody(id), "") {
				_, whole := sent.Load(id)
				d.rec.say("client: %s gets 200, broken off after %d bytes: %v (its server had sent it whole: %v)", id, len(body), err, whole)
				if whole {
					lost.Add(1)
					d.rec.say("BROKEN: %s is lost", id)
				}
				break
			}
		}
		time.Sleep(time.Duration(10+rand.IntN(200)) * time.Millisecond)
	}
}
