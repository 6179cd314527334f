package scheduler

// holdersMax bounds the upstreams kept for one block.
const holdersMax = 6

// holderSet holds the upstreams that are assumed to have one block cached, in no
// particular order. next is the index to overwrite once the set is full.
type holderSet struct {
	engines [holdersMax]*engine
	count   int
	next    int
}

// holders maps a block to the upstreams that hold it. Of more than holdersMax
// upstreams it keeps the latest.
type holders map[uint64]*holderSet

func (h holders) add(block uint64, g *engine) {
	set, known := h[block]
	if !known {
		set = &holderSet{}
		h[block] = set
	}
	if set.index(g) >= 0 {
		return
	}
	if set.count < holdersMax {
		set.engines[set.count] = g
		set.count++
		return
	}
	set.engines[set.next] = g
	set.next = (set.next + 1) % holdersMax
}

func (h holders) remove(block uint64, g *engine) {
	set, known := h[block]
	if !known {
		return
	}
	at := set.index(g)
	if at < 0 {
		return
	}
	set.count--
	set.engines[at] = set.engines[set.count]
	set.engines[set.count] = nil
	set.next = 0
	if set.count == 0 {
		delete(h, block)
	}
}

func (h holders) has(block uint64) bool {
	_, known := h[block]
	return known
}

func (s *holderSet) index(g *engine) int {
	for i, held := range s.engines[:s.count] {
		if held == g {
			return i
		}
	}
	return -1
}
