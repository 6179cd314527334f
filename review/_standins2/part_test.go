package standins

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["part"] = deadlyPart }

func llmRoute(name, prefix string, timeout, objective, attempts int, resumable bool) route {
	return route{"name": name, "host": "regatta.example", "pathPrefix": prefix, "kind": "stream", "timeoutMs": timeout, "targetLatencyMs": objective,
		"priority": 1, "service": "entries-llm", "maxAttempts": attempts, "public": false, "sticky": true, "resumable": resumable, "gapTargetMs": 300}
}

func llmService() service {
	return service{"name": "entries-llm", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 5, "kvCapacityTokens": 579592, "kvTokenBytes": 163840, "linkMbps": 150000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
		"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}}}
}

// stream sends an answer of some events.
func (c *serverConn) stream(r *http.Request, events int, gap time.Duration) {
	id, _ := c.server.identity()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Attempt-Id"), id, r.Header.Get("Attempt-Id"))
	for i := range events {
		time.Sleep(gap)
		event := fmt.Sprintf("id: %d\ndata: event %d\n\n", i+1, i+1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}

// schedules reports whether a gateway has the scheduler that serves the gateways.
func (m *machine) schedules() bool {
	r := call(m.ip+":9464", http.MethodGet, "/metrics", "metrics", nil, "", time.Second)
	for line := range strings.Lines(string(r.body)) {
		if value, ok := strings.CutPrefix(line, "flamingohaven_fleet_scheduled_gateways "); ok {
			return strings.TrimSpace(value) != "0"
		}
	}
	return false
}

// deadlyPart sends requests with a part that crashes servers, a few seconds apart and among sound ones. With
// trouble, the gateways are stopped and started in turn after the fourth crash.
func deadlyPart(s *system, trouble bool) int {
	const part = "dead01"
	var mu sync.Mutex
	var crashes []time.Time
	sent, reached := make(map[string]time.Time), make(map[string]bool)
	for range 8 {
		if _, err := s.newServer("entries-llm", 5, func(c *serverConn, r *http.Request, _ []byte) {
			if !strings.Contains(r.Header.Get("Prompt-Prefix"), part+":") {
				c.stream(r, 10, 30*time.Millisecond)
				return
			}
			id := r.Header.Get("Attempt-Id")
			time.Sleep(20 * time.Millisecond)
			mu.Lock()
			crashes, reached[id] = append(crashes, time.Now()), true
			s.say("%s crashes a server: crash %d", id, len(crashes))
			mu.Unlock()
			v := c.server
			address := v.address
			v.end()
			time.AfterFunc(2*time.Second, func() {
				if err := v.start(address); err != nil {
					s.say("%v", err)
				}
			})
		}); err != nil {
			s.say("%v", err)
			return unusable
		}
	}
	manifest := manifestText(1, []tenant{{"name": "lautoka", "apiKeys": []string{"key"}, "priority": 1, "unit": "token_stream", "plainTokens": 200}},
		[]service{llmService()}, []route{llmRoute("review", "/review/", 10000, 800, 1, false)})
	if err := s.up(manifest); err != nil {
		s.say("%v", err)
		return unusable
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	whole, lost := 0, 0
	draining := make(map[*machine]bool)
	front := func(n int) *machine {
		mu.Lock()
		defer mu.Unlock()
		for i := range s.fronts {
			if m := s.fronts[(n+i)%3]; !draining[m] {
				return m
			}
		}
		return s.fronts[0]
	}
	fields := func(prefix string) map[string]string {
		return map[string]string{"Api-Key": "key", "Model": "m", "Token-Counts": "400,40", "Prompt-Prefix": prefix}
	}
	for i := range 10 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				m := front(i + n)
				r := call(m.front(), http.MethodPost, fmt.Sprintf("/review/%d-%d", i, n), fmt.Sprintf("sound-%d-%d", i, n),
					fields(fmt.Sprintf("aa01:60,bb%02d:200,f%02d%04d:140", i%4, i, n)), "a sound request", 10*time.Second)
				mu.Lock()
				if r.err == nil && r.status == http.StatusOK {
					whole++
				} else {
					lost++
					s.say("sound-%d-%d at %s: %s", i, n, m.name, r)
				}
				mu.Unlock()
			}
		})
	}
	deadly := 0
	send := func() {
		deadly++
		id := fmt.Sprintf("deadly-%d", deadly)
		m := front(deadly)
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		r := call(m.front(), http.MethodPost, fmt.Sprintf("/review/d%d", deadly), id, fields(fmt.Sprintf("aa01:60,%s:200,e%05d:140", part, deadly)), fmt.Sprintf("request %d", deadly), 10*time.Second)
		s.say("%s at %s: %s", id, m.name, r)
	}
	time.Sleep(3 * time.Second)
	for range 4 {
		send()
		time.Sleep(3 * time.Second)
	}
	if trouble {
		var order []*machine
		var last []*machine
		for _, m := range s.fronts {
			if m.schedules() {
				s.say("%s has the scheduler", m.name)
				last = append(last, m)
			} else {
				order = append(order, m)
			}
		}
		for _, m := range append(order, last...) {
			mu.Lock()
			draining[m] = true
			mu.Unlock()
			m.signal(syscall.SIGTERM)
			m.wait()
			if err := m.start(); err != nil {
				s.say("%v", err)
				return unusable
			}
			if err := s.ready(m, 10*time.Second); err != nil {
				s.say("%v", err)
				return unusable
			}
			time.Sleep(time.Second)
			mu.Lock()
			draining[m] = false
			mu.Unlock()
		}
		time.Sleep(4 * time.Second)
	}
	for range 8 {
		send()
		time.Sleep(3500 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for id := range reached {
		if len(crashes) >= 5 && sent[id].After(crashes[4].Add(3*time.Second)) {
			late++
		}
	}
	s.say("%d crashes; %d requests with the part reached servers that were sent later than contactMs after the fifth; %d sound requests served, %d not", len(crashes), late, whole, lost)
	if len(crashes) < 5 {
		return held
	}
	if late > 3 {
		return broken
	}
	return held
}
