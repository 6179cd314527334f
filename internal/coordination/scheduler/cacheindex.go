package scheduler

import "time"

const (
	// cacheEntriesTotal bounds the entries of the cache indexes of a pool's
	// upstreams together.
	cacheEntriesTotal = 1 << 18
	// cacheEntriesMax bounds the entries of one upstream's cache index.
	cacheEntriesMax = 1 << 12
	// cacheBlocksMax is the largest cache capacity that an index assumes, in
	// blocks.
	cacheBlocksMax = 1 << 14
	// cacheBlocksStart is the capacity assumed of an unknown engine, in blocks.
	cacheBlocksStart = 1 << 11
	// cacheBlocksMin is the smallest capacity that an index assumes, in blocks.
	// It is also the minimum of maxEntries.
	cacheBlocksMin = 64
	// evictionGrace is the age below which a block is kept although an event
	// reports its eviction: events arrive late, and the block has been stored
	// since.
	evictionGrace = time.Second
	// cacheShrink and cacheGrow are the factors that adapt the assumed capacity.
	cacheShrink = 0.97
	cacheGrow   = 1.01
)

// noNode marks the end of a list of nodes.
const noNode = int32(-1)

// cacheIndex models the content of an engine's prefix cache. Its entries are the
// indexed positions of prompts that granted requests and events put there. It
// drops the least recently used entries beyond an assumed capacity in blocks,
// since evictions may go unreported.
type cacheIndex struct {
	owner      *engine
	holders    holders
	nodes      []cacheNode
	byBlock    map[uint64]int32
	newest     int32
	oldest     int32
	freeList   int32
	blocks     int
	capacity   float64
	maxEntries int
	sequence   uint64
}

// cacheNode is the entry of one indexed position. blocks counts the blocks since
// the indexed position before it.
type cacheNode struct {
	block        uint64
	blocks       int32
	newer, older int32
	usedAt       time.Duration
}

func newCacheIndex(owner *engine, h holders) cacheIndex {
	return cacheIndex{
		owner: owner, holders: h, byBlock: make(map[uint64]int32),
		newest: noNode, oldest: noNode, freeList: noNode,
		capacity: cacheBlocksStart, maxEntries: cacheEntriesMax,
	}
}

// setMaxEntries bounds the number of entries and so the memory of the index.
func (c *cacheIndex) setMaxEntries(entries int) {
	c.maxEntries = min(cacheEntriesMax, max(cacheBlocksMin, entries))
	c.trim()
}

// match returns how many leading blocks are assumed to be cached.
func (c *cacheIndex) match(prefixes []uint64) int {
	if len(c.byBlock) == 0 {
		return 0
	}
	return longestMatch(prefixes, c.has)
}

func (c *cacheIndex) has(block uint64) bool {
	_, known := c.byBlock[block]
	return known
}

// store records a prompt as cached, with its end as the least recently used part:
// engines evict the ends of prompts before their beginnings.
func (c *cacheIndex) store(prefixes []uint64, now time.Duration) {
	var buffer [maxIndexedPositions]int
	grid := indexedPositions(len(prefixes), buffer[:0])
	for i := len(grid) - 1; i >= 0; i-- {
		before := 0
		if i > 0 {
			before = grid[i-1]
		}
		c.touch(prefixes[grid[i]-1], int32(grid[i]-before), now)
	}
	c.trim()
}

func (c *cacheIndex) touch(block uint64, blocks int32, now time.Duration) {
	at, known := c.byBlock[block]
	if known {
		c.unlink(at)
	} else {
		at = c.allocate()
		c.nodes[at].block = block
		c.nodes[at].blocks = blocks
		c.blocks += int(blocks)
		c.byBlock[block] = at
		c.holders.add(block, c.owner)
	}
	c.nodes[at].usedAt = now
	c.pushNewest(at)
}

// observeEvicted drops the blocks that an event reports as evicted.
func (c *cacheIndex) observeEvicted(blocks []uint64, now time.Duration) {
	for _, block := range blocks {
		at, known := c.byBlock[block]
		if known && now-c.nodes[at].usedAt >= evictionGrace {
			c.drop(at)
		}
	}
}

// observeMatch compares the expected with the actual number of cached blocks of a
// request and adapts the assumed capacity.
func (c *cacheIndex) observeMatch(expected, actual int) {
	if expected > actual {
		c.capacity = max(cacheBlocksMin, c.capacity*cacheShrink)
	} else if expected > 0 {
		c.capacity = min(cacheBlocksMax, c.capacity*cacheGrow)
	}
}

// clear drops all entries.
func (c *cacheIndex) clear() {
	for c.oldest != noNode {
		c.drop(c.oldest)
	}
}

func (c *cacheIndex) trim() {
	for len(c.byBlock) > c.maxEntries || float64(c.blocks) > c.capacity && c.oldest != c.newest {
		c.drop(c.oldest)
	}
}

func (c *cacheIndex) drop(at int32) {
	c.unlink(at)
	block := c.nodes[at].block
	delete(c.byBlock, block)
	c.holders.remove(block, c.owner)
	c.blocks -= int(c.nodes[at].blocks)
	c.nodes[at].older = c.freeList
	c.freeList = at
}

func (c *cacheIndex) allocate() int32 {
	if c.freeList != noNode {
		at := c.freeList
		c.freeList = c.nodes[at].older
		return at
	}
	c.nodes = append(c.nodes, cacheNode{})
	return int32(len(c.nodes) - 1)
}

func (c *cacheIndex) pushNewest(at int32) {
	c.nodes[at].newer = noNode
	c.nodes[at].older = c.newest
	if c.newest != noNode {
		c.nodes[c.newest].newer = at
	} else {
		c.oldest = at
	}
	c.newest = at
}

func (c *cacheIndex) unlink(at int32) {
	node := c.nodes[at]
	if node.newer != noNode {
		c.nodes[node.newer].older = node.older
	} else {
		c.newest = node.older
	}
	if node.older != noNode {
		c.nodes[node.older].newer = node.newer
	} else {
		c.oldest = node.newer
	}
}

// observe applies an event. Events that arrive out of order are ignored.
// Evictions lost in a gap are made up for by trim, which drops the least recently
// used entries beyond the capacity. A stored block is added only if it is an
// entry of some upstream's index.
func (c *cacheIndex) observe(e CacheEvent, now time.Duration) {
	if e.Sequence <= c.sequence && e.Sequence != 0 {
		return
	}
	c.sequence = e.Sequence
	if e.Cleared {
		c.clear()
	}
	c.observeEvicted(e.Evicted, now)
	for _, block := range e.Stored {
		if c.holders.has(block) && !c.has(block) {
			c.touch(block, 1, now)
		}
	}
	c.trim()
}
