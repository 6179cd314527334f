package standins3

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// rolloutServices is the number of services of the rollout script, each with one order under
// way at a time.
const rolloutServices = 8

// rolloutRounds is how often a machine is frozen, each time with an order for another service, and
// catchUp the time between two freezes, in which the one before catches up.
const (
	rolloutRounds = 8
	catchUp       = 4500 * time.Millisecond
)

// staleRollouts plays, for one service in each round: an order for a rollout to v2 goes to a machine of the core that is
// frozen, and after a second to the next, which accepts it; v2 is bad and is rolled back; an
// order for v3 is accepted; the frozen machine wakes. In the end a manifest is acknowledged, all
// processes are killed at that moment and start again, and the operator reads the rollout back.
// Without trouble no machine is frozen; the end is the same.
func staleRollouts(d *deployment, p *platform, trouble bool) (broken bool, err error) {
	rec := d.rec
	good := func(s *server, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		sealed(s, w, http.StatusOK, "ok")
	}
	bad := func(s *server, w http.ResponseWriter, _ *http.Request) {
		sealed(s, w, http.StatusInternalServerError, "bad")
	}
	routes, services := []map[string]any{}, []map[string]any{}
	for i := range rolloutServices {
		service := fmt.Sprintf("svc%d", i)
		services = append(services, map[string]any{"name": service, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false})
		routes = append(routes, map[string]any{
			"name": "r-" + service, "host": "app.example", "pathPrefix": "/" + service + "/", "kind": "idempotent", "timeoutMs": 1500,
			"targetLatencyMs": 150, "priority": 1, "service": service, "maxAttempts": 1, "public": false,
		})
		for _, version := range []string{"v1", "v2", "v3"} {
			answer := good
			if version == "v2" {
				answer = bad
			}
			for n := range 2 {
				s, err := startServer(rec, fmt.Sprintf("i-%s-%s-%d", service, version, n), service, version, 20, answer)
				if err != nil {
					return false, err
				}
				if version == "v1" {
					p.set(s, "ready")
				} else {
					waiting[service+version] = append(waiting[service+version], s)
				}
			}
		}
	}
	putManifest := func(version int) int {
		manifest, _ := json.Marshal(map[string]any{
			"version": version, "routes": routes, "services": services,
			"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		})
		status, _ := d.operatorCall(0, http.MethodPut, "/config", manifest, 15*time.Second)
		return status
	}
	if putManifest(1) != http.StatusOK {
		return false, fmt.Errorf("the manifest was not accepted")
	}
	if !d.awaitReady(10 * time.Second) {
		return false, fmt.Errorf("the fronts are not ready")
	}
	var stop atomic.Bool
	var clients sync.WaitGroup
	for i := range rolloutServices {
		for c := range 2 {
			clients.Go(func() { loadService(d, fmt.Sprintf("svc%d", i), c, &stop) })
		}
	}
	defer func() { stop.Store(true); clients.Wait() }()
	time.Sleep(2 * time.Second)

	// The new servers are started alongside the old ones.
	for i := range rolloutServices {
		for _, version := range []string{"v2", "v3"} {
			for _, s := range waiting[fmt.Sprintf("svc%d%s", i, version)] {
				p.set(s, "ready")
			}
		}
	}
	time.Sleep(2 * time.Second)
	followers := d.followers()
	if len(followers) == 0 {
		return false, fmt.Errorf("no machine of the core says that it doesn't lead")
	}
	acked := make([]string, rolloutServices)
	for round := range rolloutRounds {
		if round > 0 {
			time.Sleep(catchUp)
		}
		frozen := followers[round%len(followers)]
		rec.say("round %d: %s doesn't lead", round+1, d.cores[frozen].name)
		if trouble {
			d.cores[frozen].signal(syscall.SIGSTOP)
			time.Sleep(50 * time.Millisecond)
		}
		var orders sync.WaitGroup
		for i := round; i < rolloutServices; i += rolloutRounds {
			orders.Go(func() {
				service := fmt.Sprintf("svc%d", i)
				if order(d, frozen, service, "v2") {
					acked[i] = "v2"
				}
				if !awaitState(d, frozen+1, service, "v2", "rolled_back", 4*time.Second) {
					rec.say("%s: v2 is not rolled back", service)
					return
				}
				if order(d, frozen+1, service, "v3") {
					acked[i] = "v3"
				}
			})
		}
		orders.Wait()
		rec.say("acknowledged so far: %q", acked)
		if trouble {
			d.cores[frozen].signal(syscall.SIGCONT)
		}
		time.Sleep(time.Second)
		for i := round; i < rolloutServices; i += rolloutRounds {
			readRollout(d, frozen+1, fmt.Sprintf("svc%d", i))
		}
	}
	if putManifest(2) != http.StatusOK {
		return false, fmt.Errorf("manifest 2 was not accepted")
	}
	rec.say("the final fault: all processes are killed")
	d.killAll()
	time.Sleep(500 * time.Millisecond)
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	for i := range rolloutServices {
		service := fmt.Sprintf("svc%d", i)
		state, target := readRollout(d, 0, service)
		if acked[i] == "v3" && target != "v3" {
			rec.say("BROKEN: the rollout of %s to v3 was acknowledged, and the system says %q to %q", service, state, target)
			broken = true
		}
	}
	return broken, nil
}

// waiting holds the servers of versions that are not on the list yet.
var waiting = make(map[string][]*server)

// order sends an order for a rollout until it is acknowledged, for ackMs at most.
func order(d *deployment, first int, service, target string) bool {
	body, _ := json.Marshal(map[string]any{"service": service, "target": target, "durationS": 60})
	status, _ := d.operatorCall(first, http.MethodPost, "/rollouts", body, 4*time.Second)
	return status == http.StatusOK
}

func readRollout(d *deployment, first int, service string) (state, target string) {
	_, answer := d.operatorCall(first, http.MethodGet, "/rollouts/"+service, nil, 10*time.Second)
	var r struct{ State, Target string }
	_ = json.Unmarshal(answer, &r)
	return r.State, r.Target
}

func awaitState(d *deployment, first int, service, target, state string, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if s, t := readRollout(d, first, service); s == state && t == target {
			return true
		}
	}
	return false
}

// followers returns the numbers of the core machines that don't lead, as their metrics say.
func (d *deployment) followers() (found []int) {
	for i, m := range d.cores {
		if _, answer, err := call(time.Second, http.MethodGet, "http://"+m.ip+":9464/metrics", nil); err == nil && !leads(answer) {
			found = append(found, i)
		}
	}
	return found
}

// loadService is one client of a service: it sends requests on a kept connection.
func loadService(d *deployment, service string, client int, stop *atomic.Bool) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := 0; !stop.Load(); n++ {
		front := d.fronts[(client+n)%len(d.fronts)]
		request, _ := http.NewRequest(http.MethodGet, "http://"+front.ip+":8221/"+service+"/x", nil)
		request.Host = "app.example"
		id := fmt.Sprintf("%s-%d-%d", service, client, n)
		request.Header.Set("Attempt-Id", id)
		request.Header.Set("Deadline-Ms", "1500")
		response, err := transport.RoundTrip(request)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		_ = response.Body.Close()
		d.rec.say("client: %s gets %d", id, response.StatusCode)
		time.Sleep(10 * time.Millisecond)
	}
}
