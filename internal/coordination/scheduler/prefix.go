package scheduler

// Prompts are indexed at certain block positions only. The distance between
// indexed positions grows with the position, so that a long prompt costs few
// entries: a prompt of 300 blocks has 20.

// nextIndexedPosition returns the indexed position after the given one. Positions
// count blocks from 1.
func nextIndexedPosition(position int) int {
	return position + 1 + position/4
}

// indexedPositions appends to out the indexed positions of a prompt of the given
// number of blocks.
func indexedPositions(blocks int, out []int) []int {
	for position := 1; position <= blocks; position = nextIndexedPosition(position) {
		out = append(out, position)
	}
	return out
}

// maxIndexedPositions is enough for any prompt that a slice can hold.
const maxIndexedPositions = 192

// longestMatch returns the highest indexed position of the prompt, in blocks, for
// which has is true, or 0. It searches by bisection: hashes are chained, so a
// block that is held implies those before it.
func longestMatch(prefixes []uint64, has func(block uint64) bool) int {
	var buffer [maxIndexedPositions]int
	grid := indexedPositions(len(prefixes), buffer[:0])
	low, high := 0, len(grid)+1
	for high-low > 1 {
		middle := (low + high) / 2
		if has(prefixes[grid[middle-1]-1]) {
			low = middle
		} else {
			high = middle
		}
	}
	if low == 0 {
		return 0
	}
	return grid[low-1]
}
