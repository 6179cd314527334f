package standins

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stopping"] = stoppingGateway }

// stoppingGateway sends requests that wait for a slot at one gateway. With trouble, that gateway is stopped with
// SIGTERM while they wait.
func stoppingGateway(s *system, trouble bool) int {
	var mu sync.Mutex
	ran := make(map[string]time.Time)
	for range 3 {
		if _, err := s.newServer("entries-app", 6, func(c *serverConn, r *http.Request, _ []byte) {
			mu.Lock()
			ran[r.Header.Get("Attempt-Id")] = time.Now()
			mu.Unlock()
			if strings.HasPrefix(r.URL.Path, "/report/") {
				time.Sleep(9 * time.Second)
			} else {
				time.Sleep(15 * time.Millisecond)
			}
			c.sealed(r, []byte("entered"))
		}); err != nil {
			s.say("%v", err)
			return unusable
		}
	}
	manifest := manifestText(1, []tenant{{"name": "lautoka", "apiKeys": []string{"key"}, "priority": 1, "unit": "token_stream", "plainTokens": 200}},
		[]service{appService()}, []route{
			appRoute("report", "/report/", "idempotent", 12000, 10000, 1),
			appRoute("entry-submit", "/submit/", "non_idempotent", 12000, 10000, 1),
		})
	if err := s.up(manifest); err != nil {
		s.say("%v", err)
		return unusable
	}
	fields := map[string]string{"Api-Key": "key"}
	var clients sync.WaitGroup
	for n := range 18 {
		clients.Go(func() {
			m := s.fronts[1+n%2]
			r := call(m.front(), http.MethodGet, "/report/1", fmt.Sprintf("report-%d", n), fields, "", 12*time.Second)
			s.say("report-%d at %s: %s", n, m.name, r)
		})
	}
	time.Sleep(500 * time.Millisecond)
	stopped := s.fronts[0]
	lost, answered := 0, 0
	for n := range 10 {
		clients.Go(func() {
			id := fmt.Sprintf("submit-%d", n)
			began := time.Now()
			r := call(stopped.front(), http.MethodPost, "/submit/1", id, fields, "crew", 12*time.Second)
			mu.Lock()
			defer mu.Unlock()
			_, run := ran[id]
			s.say("%s at %s: %s after %.2f s, run: %t", id, stopped.name, r, time.Since(began).Seconds(), run)
			if r.err != nil {
				lost++
			} else {
				answered++
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		stopped.signal(syscall.SIGTERM)
		time.AfterFunc(8*time.Second, func() { stopped.signal(syscall.SIGKILL) })
		stopped.wait()
	}
	clients.Wait()
	s.say("%d of 10 requests that were read before SIGTERM ended without an answer, %d with one", lost, answered)
	if lost > 0 {
		return broken
	}
	return held
}
