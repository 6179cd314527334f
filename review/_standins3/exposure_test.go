package standins3

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// exposureShare and exposureSlack are those of the settings, and orderS the time limit of
	// the orders.
	exposureShare = 0.1
	exposureSlack = 50
	orderS        = 12
	// drainAfter is how long after a rollback the servers of the version drain.
	drainAfter = 5 * time.Second
	// exposureClients is the number of clients.
	exposureClients = 6
)

// counts counts the requests that reach a service, by version.
type counts struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *counts) add(version string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[version]++
}

// reset begins to count anew, and returns what was counted.
func (c *counts) reset() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := c.runs
	c.runs = make(map[string]int)
	return was
}

// rolledBack plays a rollout to a bad version, which is rolled back, and the order for the next
// version while the servers of the bad one still run. Without trouble, the next order is not
// given.
func rolledBack(d *deployment, p *platform, trouble bool) (broken bool, err error) {
	const service = "svc0"
	rec := d.rec
	seen := &counts{runs: make(map[string]int)}
	good := func(s *server, w http.ResponseWriter, _ *http.Request) {
		seen.add(s.version)
		time.Sleep(5 * time.Millisecond)
		sealed(s, w, http.StatusOK, "ok")
	}
	bad := func(s *server, w http.ResponseWriter, _ *http.Request) {
		seen.add(s.version)
		sealed(s, w, http.StatusInternalServerError, "bad")
	}
	started := make(map[string][]*server)
	// The servers of a version are started alongside the others.
	startVersion := func(version string, answer func(*server, http.ResponseWriter, *http.Request)) error {
		for n := range 2 {
			s, err := startServer(rec, fmt.Sprintf("i-%s-%d", version, n), service, version, 20, answer)
			if err != nil {
				return err
			}
			started[version] = append(started[version], s)
			p.set(s, "ready")
		}
		rec.say("servers of %s are on the list", version)
		return nil
	}
	if err := startVersion("v1", good); err != nil {
		return false, err
	}
	manifest, _ := json.Marshal(map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r", "host": "app.example", "pathPrefix": "/" + service + "/", "kind": "idempotent", "timeoutMs": 1500,
			"targetLatencyMs": 150, "priority": 1, "service": service, "maxAttempts": 1, "public": false,
		}},
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
	var clients sync.WaitGroup
	for c := range exposureClients {
		clients.Go(func() { loadService(d, service, c, &stop) })
	}
	defer func() { stop.Store(true); clients.Wait() }()
	time.Sleep(4 * time.Second)

	body, _ := json.Marshal(map[string]any{"service": service, "target": "v2", "durationS": orderS})
	if status, _ := d.operatorCall(0, http.MethodPost, "/rollouts", body, 4*time.Second); status != http.StatusOK {
		return false, fmt.Errorf("the order for v2 was not accepted")
	}
	ordered := time.Now()
	seen.reset()
	if err := startVersion("v2", bad); err != nil {
		return false, err
	}
	if !awaitState(d, 0, service, "v2", "rolled_back", orderS*time.Second) {
		return false, fmt.Errorf("v2 is not rolled back")
	}
	rec.say("v2 is rolled back after %.1f s; requests so far: %v", time.Since(ordered).Seconds(), seen.runs)
	time.AfterFunc(drainAfter, func() {
		for _, s := range started["v2"] {
			p.set(s, "draining")
		}
		rec.say("the servers of v2 drain")
	})
	if trouble {
		body, _ := json.Marshal(map[string]any{"service": service, "target": "v3", "durationS": orderS})
		if status, _ := d.operatorCall(0, http.MethodPost, "/rollouts", body, 4*time.Second); status != http.StatusOK {
			return false, fmt.Errorf("the order for v3 was not accepted")
		}
		if err := startVersion("v3", good); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(ordered.Add(orderS * time.Second)))
	runs := seen.reset()
	all := 0
	for _, n := range runs {
		all += n
	}
	allowed := exposureShare*float64(all) + exposureSlack
	rec.say("requests between the order for v2 and its time limit: %v, %d in all; the bad version may get %.0f", runs, all, allowed)
	broken = float64(runs["v2"]) > allowed
	if broken {
		rec.say("BROKEN: the bad version got %d", runs["v2"])
	}
	readRollout(d, 0, service)
	return broken, nil
}
