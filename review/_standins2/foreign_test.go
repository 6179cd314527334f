package standins

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["foreign"] = foreignEntry }

// foreignEntry empties a server and takes it away. With trouble, the list also has an entry of another
// writer for that server, without zone, version and birth, which says that it is ready.
func foreignEntry(s *system, trouble bool) int {
	var mu sync.Mutex
	var leaving *server
	shown := time.Time{}
	sent := make(map[string]time.Time)
	late, lost := 0, 0
	var servers []*server
	for range 3 {
		v, err := s.newServer("entries-app", 6, func(c *serverConn, r *http.Request, _ []byte) {
			id := r.Header.Get("Attempt-Id")
			mu.Lock()
			isLate := c.server == leaving && sent[id].After(shown.Add(3*time.Second))
			if isLate {
				late++
			}
			mu.Unlock()
			if c.server == leaving {
				s.say("%s runs at the server that leaves, sent %.2f s after the list showed it", id, sent[id].Sub(shown).Seconds())
			}
			time.Sleep(100 * time.Millisecond)
			c.sealed(r, []byte("entered"))
		})
		if err != nil {
			s.say("%v", err)
			return unusable
		}
		servers = append(servers, v)
	}
	stale := servers[0]
	if trouble {
		id, _ := stale.identity()
		s.cloud.foreign = func() []string {
			return []string{fmt.Sprintf(`{"service":"entries-app","address":%q,"slots":6,"state":"ready","id":%q}`, stale.address, id)}
		}
	}
	manifest := manifestText(1, nil, []service{appService()}, []route{appRoute("entry-submit", "/submit/", "non_idempotent", 1500, 150, 1)})
	if err := s.up(manifest); err != nil {
		s.say("%v", err)
		return unusable
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := fmt.Sprintf("submit-%d-%d", i, n)
				mu.Lock()
				sent[id] = time.Now()
				mu.Unlock()
				m := s.fronts[(i+n)%3]
				r := call(m.front(), http.MethodPost, "/submit/1", id, nil, "crew", 1500*time.Millisecond)
				if r.status != http.StatusOK {
					s.say("%s at %s: %s", id, m.name, r)
					mu.Lock()
					lost++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	before := lost
	stale.mu.Lock()
	stale.draining = true
	stale.mu.Unlock()
	leaving, shown = stale, time.Now()
	mu.Unlock()
	s.say("the list shows the server as draining")
	time.Sleep(7 * time.Second)
	stale.end()
	s.cloud.remove(stale)
	s.say("the server has ended, and the list doesn't show it any more")
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.say("%d of %d requests were run by the server that left though they were sent later than drainMs after the list showed it; %d failed, %d before", late, len(sent), lost-before, before)
	if late > 0 {
		return broken
	}
	return held
}
