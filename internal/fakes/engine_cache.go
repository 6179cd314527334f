package fakes

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
)

// maxCacheEvents is the maximum number of events kept for queries. When it is
// exceeded, the older half is dropped.
const maxCacheEvents = 4096

// prefixCache is a cache of prompt prefixes that evicts the least recently used
// block. It publishes events about stored and evicted blocks, with a delay and
// with some events missing.
type prefixCache struct {
	// capacity is the maximum number of blocks.
	capacity int
	// lag is the delay before an event is published.
	lag time.Duration
	// dropEvery drops every n-th event; zero drops none.
	dropEvery int

	mu     sync.Mutex
	recent *list.List
	blocks map[uint64]*list.Element
	// sequence is the number of the latest event, also if that was dropped.
	sequence uint64
	events   []timedCacheEvent
}

type timedCacheEvent struct {
	event upstreamapi.CacheEvent
	at    time.Time
}

func newPrefixCache(capacity int, lag time.Duration, dropEvery int) *prefixCache {
	return &prefixCache{
		capacity:  capacity,
		lag:       lag,
		dropEvery: dropEvery,
		recent:    list.New(),
		blocks:    map[uint64]*list.Element{},
	}
}

// lookupAndStore returns the number of leading prompt tokens that are cached and
// stores the blocks that are not.
func (c *prefixCache) lookupAndStore(prefixes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(prefixes) && c.blocks[prefixes[hits]] != nil {
		hits++
	}
	var event upstreamapi.CacheEvent
	for _, hash := range prefixes {
		if e := c.blocks[hash]; e != nil {
			c.recent.MoveToFront(e)
			continue
		}
		c.blocks[hash] = c.recent.PushFront(hash)
		event.Stored = append(event.Stored, hash)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, oldest)
		event.Evicted = append(event.Evicted, oldest)
	}
	if len(event.Stored)+len(event.Evicted) > 0 {
		c.publish(event)
	}
	return hits * openai.PrefixBlockBytes / openai.BytesPerToken
}

// publish numbers and records an event. A dropped event uses up a number, so that
// readers can detect the gap. The caller holds c.mu.
func (c *prefixCache) publish(event upstreamapi.CacheEvent) {
	c.sequence++
	if c.dropEvery > 0 && c.sequence%uint64(c.dropEvery) == 0 {
		return
	}
	event.Sequence = c.sequence
	c.events = append(c.events, timedCacheEvent{event: event, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = append([]timedCacheEvent(nil), c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// eventsAfter returns the published events with a higher sequence number.
func (c *prefixCache) eventsAfter(sequence uint64) upstreamapi.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out upstreamapi.CacheEvents
	for _, e := range c.events {
		if e.event.Sequence > sequence && time.Since(e.at) >= c.lag {
			out.Events = append(out.Events, e.event)
		}
	}
	return out
}

// used returns the used fraction of the cache, 0 to 1.
func (c *prefixCache) used() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(len(c.blocks)) / float64(c.capacity)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil && r.FormValue("after") != "" {
		http.Error(w, "after is not a sequence number", http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, e.cache.eventsAfter(after))
}
