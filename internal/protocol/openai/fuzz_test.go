package openai

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// FuzzParseRequest checks that every completion call that ParseRequest accepts has
// positive token estimates and no more than the maximum of prefix hashes.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"hello","max_tokens":5}`))
	f.Add([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add([]byte(`{"model":"","max_tokens":-1}`))
	f.Add([]byte(`{"model":"m","max_tokens":1e99}`))
	f.Add([]byte(`{"model":"m","prompt":` + strings.Repeat("[", 2000)))
	f.Add([]byte("\xff{"))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := ParseRequest(body)
		if err != nil {
			must.Nil(t, r)
			return
		}
		must.NotEq(t, "", r.Model)
		must.Positive(t, r.PromptTokens())
		must.Positive(t, r.OutputTokens())
		must.LessEq(t, len(body), r.PromptBytes())
		must.LessEq(t, MaxPrefixBlocks, len(r.Prefixes()))
	})
}

// FuzzPrefixes checks that prompts with a common prefix share its hashes, and that
// a change to a block changes the hash of that block and of all later ones.
func FuzzPrefixes(f *testing.F) {
	f.Add([]byte("beginning"), []byte("end"))
	f.Add(bytes.Repeat([]byte("x"), 5*PrefixBlockBytes), []byte("y"))
	f.Add(bytes.Repeat([]byte("ab"), MaxPrefixBlocks*PrefixBlockBytes), []byte(""))
	f.Fuzz(func(t *testing.T, beginning, end []byte) {
		short := (&Request{Prompt: beginning}).Prefixes()
		long := (&Request{Prompt: slices.Concat(beginning, end)}).Prefixes()
		must.Eq(t, min(len(beginning)/PrefixBlockBytes, MaxPrefixBlocks), len(short))
		must.True(t, slices.Equal(short, long[:len(short)]))
		if len(short) == 0 {
			return
		}
		changed := slices.Clone(beginning)
		changed[0]++
		for i, hash := range (&Request{Prompt: changed}).Prefixes() {
			must.NotEq(t, short[i], hash)
		}
	})
}

// FuzzChunk checks that a round trip through JSON does not change a stream event.
func FuzzChunk(f *testing.F) {
	f.Add([]byte(`{"id":"c","choices":[{"index":0,"delta":{"content":"x"},"finish_reason":null}]}`))
	f.Add([]byte(`{"id":"c","choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4}}`))
	f.Add([]byte(`{"choices":[{"finish_reason":"stop"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second Chunk
		if json.Unmarshal(data, &first) != nil {
			return
		}
		encoded, err := json.Marshal(first)
		must.NoError(t, err)
		must.NoError(t, json.Unmarshal(encoded, &second))
		reencoded, err := json.Marshal(second)
		must.NoError(t, err)
		must.Eq(t, string(encoded), string(reencoded))
	})
}
