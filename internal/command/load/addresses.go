package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
)

// addressTimeout limits one request for the address list. If every request fails,
// the seeds are used for this long before the list is fetched again.
const addressTimeout = time.Second

// addressCache caches the address list as a caller does: it fetches the list from
// any node, keeps it for its time to live and falls back to the seeds.
type addressCache struct {
	client *http.Client
	seeds  []string

	mu      sync.Mutex
	list    []string
	expires time.Time
	next    int
}

// choose returns the next address in turn that is not in avoid, then any such
// seed. If there is neither, it returns the next address of the list anyway.
func (c *addressCache) choose(ctx context.Context, avoid []string) string {
	list := c.current(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	for range list {
		address := list[c.next%len(list)]
		c.next++
		if !slices.Contains(avoid, address) {
			return address
		}
	}
	for _, address := range c.seeds {
		if !slices.Contains(avoid, address) {
			return address
		}
	}
	c.next++
	return list[c.next%len(list)]
}

// current returns the cached list, fetching it again once it has expired.
func (c *addressCache) current(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) && len(c.list) > 0 {
		return c.list
	}
	for _, address := range append(slices.Clone(c.list), c.seeds...) {
		answer, err := c.fetch(ctx, address)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		c.list = nil
		for _, a := range answer.Addresses {
			c.list = append(c.list, a.Address)
		}
		c.expires = time.Now().Add(time.Duration(answer.TTLSeconds * float64(time.Second)))
		return c.list
	}
	c.list = c.seeds
	c.expires = time.Now().Add(addressTimeout)
	return c.list
}

func (c *addressCache) fetch(ctx context.Context, address string) (*callerapi.AddressList, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+callerapi.PathAddresses, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("addresses from %s: status %d", address, resp.StatusCode)
	}
	var list callerapi.AddressList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, fmt.Errorf("addresses from %s: %w", address, err)
	}
	return &list, nil
}
