package scheduler

// Prompts are indexed at a grid of block positions that widens with the
// position, so that a long prompt costs few entries. A prompt of 300 blocks
// has 20 marks.

// nextIndexedPosition returns the grid position after the given one; positions count
// blocks from 1.
func nextIndexedPosition(position int) int {
	return position + 1 + position/4
}

// indexedPositions appends the grid positions of a prompt of so many blocks.
func indexedPositions(blocks int, out []int) []int {
	for position := 1; position <= blocks; position = nextIndexedPosition(position) {
		out = append(out, position)
	}
	return out
}

// maxIndexedPositions is enough for the grid of any prompt that a slice can hold.
const maxIndexedPositions = 192

// longestMatch returns the last of the prompt's marks, in blocks, for which has
// is true. Hashes are chained, so that a block implies those before it.
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
