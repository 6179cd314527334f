package openai

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of a prompt block, in bytes. Each prefix hash
// extends the previous one by a block.
const PrefixBlockBytes = 256

// MaxPrefixBlocks limits the number of prefix hashes of one request.
const MaxPrefixBlocks = 64

// Prefixes returns chained hashes of the prompt's leading blocks, longest prefix
// last. Apart from hash collisions, two prompts share hash i if and only if their
// first i+1 blocks are equal.
func (r *Request) Prefixes() []uint64 {
	chain := prefixChain{}
	chain.write(r.Prompt)
	for _, m := range r.Messages {
		chain.write([]byte(m.Role))
		chain.write(m.Content)
	}
	return chain.hashes
}

// MaxParts limits the parts of one request.
const MaxParts = 64

// Parts returns a hash of each message but the last, whose content other requests
// may share at any position. A prompt that is no list of messages has none.
func (r *Request) Parts() []uint64 {
	var parts []uint64
	for i := range min(len(r.Messages)-1, MaxParts) {
		digest := xxhash.New()
		_, _ = digest.WriteString(r.Messages[i].Role)
		_, _ = digest.Write([]byte{0})
		_, _ = digest.Write(r.Messages[i].Content)
		parts = append(parts, digest.Sum64())
	}
	return parts
}

type prefixChain struct {
	hashes  []uint64
	pending []byte
}

func (c *prefixChain) write(text []byte) {
	for len(text) > 0 && len(c.hashes) < MaxPrefixBlocks {
		n := min(PrefixBlockBytes-len(c.pending), len(text))
		c.pending = append(c.pending, text[:n]...)
		text = text[n:]
		if len(c.pending) == PrefixBlockBytes {
			c.flush()
		}
	}
}

func (c *prefixChain) flush() {
	digest := xxhash.New()
	if n := len(c.hashes); n > 0 {
		var previous [8]byte
		binary.LittleEndian.PutUint64(previous[:], c.hashes[n-1])
		_, _ = digest.Write(previous[:])
	}
	_, _ = digest.Write(c.pending)
	c.hashes = append(c.hashes, digest.Sum64())
	c.pending = c.pending[:0]
}
