package moves_test

import (
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/moves"
)

// BenchmarkMove_Observe measures the cost of one Observe call on an open move.
func BenchmarkMove_Observe(b *testing.B) {
	c := newController(defaultModel())
	now := origin
	rng := newRand(1)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		version := oldVersion
		if rng.IntN(20) == 0 {
			version = newVersion
		}
		c.Observe(moves.Sample{
			Route: "r", Idempotent: true, Version: version, Upstream: "u",
			FirstToken: time.Duration(1+rng.IntN(1e9)) + time.Millisecond, PerToken: 20 * time.Millisecond,
			PromptTokens: rng.IntN(4000), Load: rng.Float64(),
		}, now)
	}
}
