package policymodel

import "container/list"

// prefixCache is an engine's cache of prompt blocks; the least recently used
// block goes first.
type prefixCache struct {
	capacity int
	order    *list.List // of uint64, most recent first
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are cached and marks them used.
func (c *prefixCache) match(prefixes []uint64) int {
	n := 0
	for n < len(prefixes) {
		element, cached := c.blocks[prefixes[n]]
		if !cached {
			break
		}
		c.order.MoveToFront(element)
		n++
	}
	return n
}

// store caches blocks and returns those that are new and those that went. The
// end of a prompt goes before its beginning.
func (c *prefixCache) store(prefixes []uint64) (stored, evicted []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		block := prefixes[i]
		if element, cached := c.blocks[block]; cached {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		stored = append(stored, block)
	}
	for c.order.Len() > c.capacity {
		block := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, block)
		evicted = append(evicted, block)
	}
	return stored, evicted
}
