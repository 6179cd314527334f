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

// addressTimeout bounds one question for the list of addresses.
const addressTimeout = time.Second

// addressCache keeps the list of addresses as a caller does: it asks any node,
// keeps the answer for its time to live and falls back on the seeds.
type addressCache struct {
	client *http.Client
	seeds  []string

	mu      sync.Mutex
	list    []string
	expires time.Time
	next    int
}

// choose returns an address, avoiding those given unless there is no other.
func (b *addressCache) choose(ctx context.Context, avoid []string) string {
	list := b.current(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	for range list {
		address := list[b.next%len(list)]
		b.next++
		if !slices.Contains(avoid, address) {
			return address
		}
	}
	for _, address := range b.seeds {
		if !slices.Contains(avoid, address) {
			return address
		}
	}
	b.next++
	return list[b.next%len(list)]
}

func (b *addressCache) current(ctx context.Context) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.expires) && len(b.list) > 0 {
		return b.list
	}
	for _, address := range append(slices.Clone(b.list), b.seeds...) {
		answer, err := b.fetch(ctx, address)
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		b.list = nil
		for _, a := range answer.Addresses {
			b.list = append(b.list, a.Address)
		}
		b.expires = time.Now().Add(time.Duration(answer.TTLSeconds * float64(time.Second)))
		return b.list
	}
	b.list = b.seeds
	b.expires = time.Now().Add(addressTimeout)
	return b.list
}

func (b *addressCache) fetch(ctx context.Context, address string) (*callerapi.AddressList, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+callerapi.PathAddresses, nil)
	if err != nil {
		return nil, err
	}
	resp, err := b.client.Do(req)
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
