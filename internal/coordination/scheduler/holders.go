package scheduler

// holdersMax bounds the upstreams remembered for one block.
const holdersMax = 6

// holderSet is the upstreams believed to hold one block, in no order.
type holderSet struct {
	engines [holdersMax]*engine
	count   int
	next    int
}

// holders finds the upstreams that hold a block. Of more than holdersMax it
// knows the latest.
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
