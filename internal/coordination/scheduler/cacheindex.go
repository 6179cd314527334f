package scheduler

import "time"

const (
	// cacheBlocksTotal bounds the blocks indexed over all upstreams of a pool.
	cacheBlocksTotal = 1 << 19
	// cacheBlocksMax bounds the blocks indexed for one upstream.
	cacheBlocksMax = 1 << 12
	// cacheBlocksMin is the least capacity that an index assumes.
	cacheBlocksMin = 64
	// cacheFresh is the age below which a block is kept against an event that
	// says it was evicted: events come late, and the block was stored since.
	cacheFresh = time.Second
	// cacheShrink and cacheGrow adapt the assumed capacity.
	cacheShrink = 0.97
	cacheGrow   = 1.01
)

// none marks the end of a list of nodes.
const none = int32(-1)

// cacheIndex is what an engine's prefix cache is believed to hold. It knows
// the blocks that granted requests and events put there, and forgets the least
// recently used beyond an assumed capacity, since evictions may go unreported.
type cacheIndex struct {
	nodes    []cacheNode
	byBlock  map[uint64]int32
	newest   int32
	oldest   int32
	unused   int32
	capacity float64
	bound    int
	sequence uint64
}

type cacheNode struct {
	block        uint64
	newer, older int32
	usedAt       time.Duration
}

func newCacheIndex() cacheIndex {
	return cacheIndex{newest: none, oldest: none, unused: none, capacity: cacheBlocksMax, bound: cacheBlocksMax}
}

// setBound limits the memory of the index, in blocks.
func (c *cacheIndex) setBound(blocks int) {
	c.bound = min(cacheBlocksMax, max(cacheBlocksMin, blocks))
	c.trim()
}

// match returns how many leading blocks are believed to be cached. Hashes are
// chained, so that a cached block implies those before it.
func (c *cacheIndex) match(prefixes []uint64) int {
	if len(c.byBlock) == 0 || len(prefixes) == 0 || !c.has(prefixes[0]) {
		return 0
	}
	low, high := 1, 2
	for high <= len(prefixes) && c.has(prefixes[high-1]) {
		low, high = high, high*2
	}
	high = min(high, len(prefixes)+1)
	for high-low > 1 {
		middle := (low + high) / 2
		if c.has(prefixes[middle-1]) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func (c *cacheIndex) has(block uint64) bool {
	_, known := c.byBlock[block]
	return known
}

// store notes blocks as cached, the last one as the oldest: engines evict the
// ends of prompts before their beginnings.
func (c *cacheIndex) store(blocks []uint64, now time.Duration) {
	if c.byBlock == nil {
		c.byBlock = make(map[uint64]int32)
	}
	keep := min(len(blocks), c.limit())
	for i := keep - 1; i >= 0; i-- {
		c.touch(blocks[i], now)
	}
	c.trim()
}

func (c *cacheIndex) touch(block uint64, now time.Duration) {
	at, known := c.byBlock[block]
	if known {
		c.unlink(at)
	} else {
		at = c.allocate()
		c.nodes[at].block = block
		c.byBlock[block] = at
	}
	c.nodes[at].usedAt = now
	c.pushNewest(at)
}

// observeEvicted takes in an event's evictions.
func (c *cacheIndex) observeEvicted(blocks []uint64, now time.Duration) {
	for _, block := range blocks {
		at, known := c.byBlock[block]
		if known && now-c.nodes[at].usedAt >= cacheFresh {
			c.drop(at)
		}
	}
}

// observeMatch compares the expected with the actual number of cached blocks
// of a request and adapts the assumed capacity.
func (c *cacheIndex) observeMatch(expected, actual int) {
	if expected > actual {
		c.capacity = max(cacheBlocksMin, c.capacity*cacheShrink)
	} else if expected > 0 {
		c.capacity = min(cacheBlocksMax, c.capacity*cacheGrow)
	}
}

// clear forgets everything.
func (c *cacheIndex) clear() {
	bound, capacity, sequence := c.bound, c.capacity, c.sequence
	*c = newCacheIndex()
	c.bound, c.capacity, c.sequence = bound, capacity, sequence
}

func (c *cacheIndex) limit() int {
	return min(c.bound, int(c.capacity))
}

func (c *cacheIndex) trim() {
	for len(c.byBlock) > c.limit() {
		c.drop(c.oldest)
	}
}

func (c *cacheIndex) drop(at int32) {
	c.unlink(at)
	delete(c.byBlock, c.nodes[at].block)
	c.nodes[at].older = c.unused
	c.unused = at
}

func (c *cacheIndex) allocate() int32 {
	if c.unused != none {
		at := c.unused
		c.unused = c.nodes[at].older
		return at
	}
	c.nodes = append(c.nodes, cacheNode{})
	return int32(len(c.nodes) - 1)
}

func (c *cacheIndex) pushNewest(at int32) {
	c.nodes[at].newer = none
	c.nodes[at].older = c.newest
	if c.newest != none {
		c.nodes[c.newest].newer = at
	} else {
		c.oldest = at
	}
	c.newest = at
}

func (c *cacheIndex) unlink(at int32) {
	node := c.nodes[at]
	if node.newer != none {
		c.nodes[node.newer].older = node.older
	} else {
		c.newest = node.older
	}
	if node.older != none {
		c.nodes[node.older].newer = node.newer
	} else {
		c.oldest = node.newer
	}
}

// observe takes in an event. Events that come out of order are left out; after a
// gap the least recently used blocks leave the index as capacity demands.
func (c *cacheIndex) observe(e CacheEvent, now time.Duration) {
	if e.Sequence <= c.sequence && e.Sequence != 0 {
		return
	}
	c.sequence = e.Sequence
	if e.Cleared {
		c.clear()
	}
	c.observeEvicted(e.Evicted, now)
	c.store(e.Stored, now)
}
