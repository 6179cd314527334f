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
	// finLoss is the share of packets that the link between the fronts and the servers loses, and
	// finRepeat the time until a lost one is sent again (TCP's least retransmission time).
	finLoss   = 0.04
	finRepeat = 200 * time.Millisecond
	// endingServers is the number of servers, of which one at a time is down, for downTime.
	endingServers = 6
	downTime      = 2 * time.Second
	// endingCrashes is how often a server crashes.
	endingCrashes = 34
	// pieces of an answer, with a pause before each but the first.
	pieces     = 6
	piecePause = 60 * time.Millisecond
)

// crashing is a server whose process can be killed: its connections and its listener are closed
// at once, as a kernel does for a killed process. A lossy link delays the ends of some.
type crashing struct {
	*server
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
	starts   int
}

func (c *crashing) start() error {
	l, err := net.Listen("tcp4", c.address)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.listener, c.conns, c.down = l, make(map[net.Conn]bool), false
	c.starts++
	c.id, c.born = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(c.address, ":", "-"), c.starts), time.Now().UnixMilli()
	c.mu.Unlock()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			if c.down {
				_ = conn.Close()
			} else {
				c.conns[conn] = true
				go c.serve(conn)
			}
			c.mu.Unlock()
		}
	}()
	return nil
}

// kill ends the process. It returns how many connections it had and the ends of how many were
// lost on the way at first.
func (c *crashing) kill(lossy bool) (conns, lost int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = true
	_ = c.listener.Close()
	for conn := range c.conns {
		conns++
		if lossy && rand.Float64() < finLoss {
			lost++
			time.AfterFunc(finRepeat, func() { _ = conn.Close() })
			continue
		}
		_ = conn.Close()
	}
	return conns, lost
}

func (c *crashing) isDown(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.down || !c.conns[conn]
}

// wholeBody is the body of each answer.
func wholeBody(id string) []string {
	var parts []string
	for i := range pieces {
		parts = append(parts, fmt.Sprintf("%s part %d of %d\n", id, i+1, pieces))
	}
	return parts
}

// serve serves the requests of a connection. Answers to /slow/ have neither a length nor chunks
// and end with their connection.
func (c *crashing) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || c.isDown(conn) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Attempt-Id")
		c.mu.Lock()
		own := c.id
		c.mu.Unlock()
		head := fmt.Sprintf("Attempt-Id: %s\r\n", id)
		switch {
		case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != own:
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
		case r.URL.Path == "/health":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", own)
		case strings.HasPrefix(r.URL.Path, "/slow/"):
			c.rec.say("server %s runs %s", own, id)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sResponse-Seal: s-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n", head, id)
			for i, part := range wholeBody(id) {
				if i > 0 {
					time.Sleep(piecePause)
				}
				if c.isDown(conn) {
					c.rec.say("server %s is gone after %d parts of %s", own, i, id)
					return
				}
				_, _ = io.WriteString(conn, part)
			}
			c.mu.Lock()
			delete(c.conns, conn)
			c.mu.Unlock()
			_ = conn.Close()
			return
		default:
			time.Sleep(20 * time.Millisecond)
			if c.isDown(conn) {
				return
			}
			body := strings.Join(wholeBody(id), "")
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sResponse-Seal: s-%s\r\nContent-Length: %d\r\n\r\n%s", head, id, len(body), body)
		}
	}
}

// lossyEndings plays servers that crash while answers that end with their connections are under
// way, behind a link that loses packets.
func lossyEndings(d *deployment, p *platform, trouble bool) (broken bool, err error) {
	const service = "app"
	var servers []*crashing
	for i := range endingServers {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		address := l.Addr().String()
		_ = l.Close()
		c := &crashing{server: &server{service: service, version: "v1", address: address, slots: 20, rec: d.rec, zone: "zone-b"}}
		if err := c.start(); err != nil {
			return false, err
		}
		d.rec.say("server %d at %s", i+1, address)
		p.set(c.server, "ready")
		servers = append(servers, c)
	}
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": "app.example", "pathPrefix": prefix, "kind": "idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": 1, "service": service, "maxAttempts": 2, "public": false,
		}
	}
	manifest, _ := json.Marshal(map[string]any{
		"version": 1, "routes": []any{route("r-slow", "/slow/"), route("r-fast", "/fast/")},
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
	var short atomic.Int64
	var clients sync.WaitGroup
	for c := range 24 {
		clients.Go(func() { endingClient(d, "slow", c, &stop, &short) })
		clients.Go(func() { endingClient(d, "fast", c, &stop, &short) })
	}
	time.Sleep(3 * time.Second)
	for i := range endingCrashes {
		c := servers[i%len(servers)]
		conns, lost := c.kill(trouble)
		d.rec.say("server at %s is killed, with %d connections; the ends of %d are lost at first", c.address, conns, lost)
		time.Sleep(downTime)
		p.drop(c.server)
		if err := c.start(); err != nil {
			return false, err
		}
		p.set(c.server, "ready")
		time.Sleep(500 * time.Millisecond)
	}
	stop.Store(true)
	clients.Wait()
	d.rec.say("%d successes without their whole body", short.Load())
	return short.Load() > 0, nil
}

// endingClient is one client, which sends its requests on a kept connection.
func endingClient(d *deployment, kind string, client int, stop *atomic.Bool, short *atomic.Int64) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := 0; !stop.Load(); n++ {
		front := d.fronts[client%len(d.fronts)]
		id := fmt.Sprintf("%s-%d-%d", kind, client, n)
		request, _ := http.NewRequest(http.MethodGet, "http://"+front.ip+":8221/"+kind+"/x", nil)
		request.Host = "app.example"
		request.Header.Set("Attempt-Id", id)
		request.Header.Set("Deadline-Ms", "3000")
		response, err := transport.RoundTrip(request)
		if err != nil {
			d.rec.say("client: %s gets no answer: %v", id, err)
			time.Sleep(20 * time.Millisecond)
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		switch whole := strings.Join(wholeBody(id), ""); {
		case response.StatusCode != http.StatusOK:
			d.rec.say("client: %s gets %d", id, response.StatusCode)
		case err != nil:
			d.rec.say("client: %s gets 200, broken off after %d bytes: %v", id, len(body), err)
		case string(body) != whole:
			short.Add(1)
			d.rec.say("BROKEN: client: %s gets 200 with seal %q, complete by its looks, with %d bytes of %d", id, response.Header.Get("Response-Seal"), len(body), len(whole))
		}
		time.Sleep(10 * time.Millisecond)
	}
}
