package policymodel

import "container/list"

// prefixCache is an engine's cache of prompt blocks. It evicts the least recently
// used block first.
type prefixCache struct {
	capacity int
	order    *list.List // of uint64, most recent first
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are cached and marks these
// blocks as recently used.
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

// store caches the blocks of a prompt and returns the hashes of the blocks that
// were added and evicted. It starts with the last block, so that the end of a
// prompt is evicted before its beginning.
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
