package standins

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["tenants"] = lastTenant }

// lastTenant takes the keys of tenants away. With trouble, it takes the last tenant away; without, one of two.
func lastTenant(s *system, trouble bool) int {
	var mu sync.Mutex
	ran := make(map[string]string)
	for range 3 {
		if _, err := s.newServer("entries-app", 6, func(c *serverConn, r *http.Request, _ []byte) {
			time.Sleep(15 * time.Millisecond)
			mu.Lock()
			ran[r.Header.Get("Attempt-Id")] = r.Header.Get("Tenant")
			mu.Unlock()
			c.sealed(r, []byte("entered"))
		}); err != nil {
			s.say("%v", err)
			return unusable
		}
	}
	routes := []route{appRoute("entry-submit", "/submit/", "non_idempotent", 600, 100, 1)}
	manifest := func(version int, tenants ...tenant) string {
		return manifestText(version, append([]tenant{}, tenants...), []service{appService()}, routes)
	}
	lautoka, nadi := tenantOf("lautoka", "key-of-lautoka"), tenantOf("nadi", "key-of-nadi")
	first, second := []tenant{lautoka, nadi}, []tenant{nadi}
	if trouble {
		first, second = []tenant{lautoka}, nil
	}
	if err := s.up(manifest(1, first...)); err != nil {
		s.say("%v", err)
		return unusable
	}
	send := func(n int, phase, key string) reply {
		id := fmt.Sprintf("%s-%s-%d", phase, key, n)
		fields := map[string]string{}
		if key != "" {
			fields["Api-Key"] = key
		}
		r := call(s.fronts[n%3].front(), http.MethodPost, "/submit/1", id, fields, "crew", 600*time.Millisecond)
		mu.Lock()
		tenant, run := ran[id]
		mu.Unlock()
		s.say("%s key %q at %s: %s; run: %t, tenant %q", id, key, s.fronts[n%3].name, r, run, tenant)
		return r
	}
	for n := range 6 {
		if r := send(n, "before", "key-of-lautoka"); r.status != http.StatusOK {
			return unusable
		}
		if r := send(n, "before", "no-such-key"); r.status != http.StatusUnauthorized {
			return unusable
		}
	}
	if err := s.put(manifest(2, second...), 4*time.Second); err != nil {
		s.say("%v", err)
		return unusable
	}
	confirmed := time.Now()
	time.Sleep(time.Until(confirmed.Add(6 * time.Second)))
	for n := range 6 {
		send(n, "after", "key-of-lautoka")
		send(n, "after", "no-such-key")
		send(n, "after", "")
	}
	count := 0
	mu.Lock()
	defer mu.Unlock()
	for n := range 6 {
		for _, key := range []string{"key-of-lautoka", "no-such-key", ""} {
			if _, run := ran[fmt.Sprintf("after-%s-%d", key, n)]; run {
				count++
			}
		}
	}
	s.say("%d of 18 requests ran that were sent 6 s or more after the key was taken away, or with a key that no manifest held", count)
	if count > 0 {
		return broken
	}
	return held
}
