package standins

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["entryid"] = entryID }

// entryID sends requests with bodies. With trouble, the list also has an entry of another writer, which lacks
// fields and has a line break at the end of its id.
func entryID(s *system, trouble bool) int {
	var mu sync.Mutex
	sent := make(map[string]string)
	changed, ran := 0, 0
	var servers []*server
	for range 3 {
		v, err := s.newServer("entries-app", 6, func(c *serverConn, r *http.Request, body []byte) {
			time.Sleep(15 * time.Millisecond)
			id := r.Header.Get("Attempt-Id")
			mu.Lock()
			ran++
			if want, known := sent[id]; !known || string(body) != want || r.Header.Get("Deadline-Ms") == "" {
				changed++
				s.say("a server runs %s with the body %q and Deadline-Ms %q; sent was %q", id, body, r.Header.Get("Deadline-Ms"), want)
			}
			mu.Unlock()
			c.sealed(r, []byte("entered: "+string(body)))
		})
		if err != nil {
			s.say("%v", err)
			return unusable
		}
		servers = append(servers, v)
	}
	if trouble {
		v := servers[0]
		id, _ := v.identity()
		s.cloud.foreign = func() []string {
			return []string{fmt.Sprintf(`{"service":"entries-app","address":%q,"slots":6,"state":"ready","id":%q}`, v.address, id+"\n")}
		}
	}
	manifest := manifestText(1, []tenant{{"name": "lautoka", "apiKeys": []string{"key"}, "priority": 1, "unit": "token_stream", "plainTokens": 200}},
		[]service{appService()}, []route{appRoute("entry-submit", "/submit/", "non_idempotent", 600, 100, 1)})
	if err := s.up(manifest); err != nil {
		s.say("%v", err)
		return unusable
	}
	wrong, failed := 0, 0
	var clients sync.WaitGroup
	for i := range 3 {
		clients.Go(func() {
			for n := range 60 {
				id, body := fmt.Sprintf("submit-%d-%d", i, n), fmt.Sprintf("crew %d of boat %d", n, i)
				mu.Lock()
				sent[id] = body
				mu.Unlock()
				r := call(s.fronts[i].front(), http.MethodPost, "/submit/1", id, map[string]string{"Api-Key": "key"}, body, 600*time.Millisecond)
				s.say("%s at %s: %s %q", id, s.fronts[i].name, r, r.body)
				mu.Lock()
				if r.status != http.StatusOK {
					failed++
				} else if string(r.body) != "entered: "+body {
					wrong++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.say("%d of %d requests that ran had another body than the client's; %d clients got a success for such a one, %d of %d requests failed", changed, ran, wrong, failed, len(sent))
	if changed > 0 {
		return broken
	}
	return held
}
