package ledger

import (
	"runtime"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

const benchEntries = 100_000

// fill claims and completes the given number of keys with answers of 200 bytes.
func fill(l *Ledger, now time.Time, entries int) {
	for n := range entries {
		c := Claim{Key: testKey(now, uint32(n)), Gateway: "gateway-1", Request: ident.RequestID(testKey(now, uint32(n)).Idempotency), At: now}
		if l.Claim(c, true).Verdict != VerdictGranted {
			panic("the ledger is full")
		}
		answer := &Answer{Status: 200, ContentType: "application/json", Body: make([]byte, 200)}
		l.Complete(Complete{Key: c.Key, Request: c.Request, Answer: answer, At: now})
	}
}

// heapBytes returns the size of live heap objects after a garbage collection, in
// bytes.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkLedger_Memory compares the heap used by 100,000 entries with answers of
// 200 bytes to the memory that the ledger accounts for.
func BenchmarkLedger_Memory(b *testing.B) {
	now := time.UnixMilli(1_800_000_000_000)
	for b.Loop() {
		before := heapBytes()
		l := New(DefaultLimits())
		fill(l, now, benchEntries)
		b.ReportMetric((heapBytes()-before)/benchEntries, "heap-B/entry")
		b.ReportMetric(float64(l.Bytes())/benchEntries, "accounted-B/entry")
		runtime.KeepAlive(l)
	}
}

// BenchmarkLedger_ClaimComplete measures the time of a claim with its completion.
func BenchmarkLedger_ClaimComplete(b *testing.B) {
	now := time.UnixMilli(1_800_000_000_000)
	for b.Loop() {
		fill(New(DefaultLimits()), now, 1000)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/1000, "ns/request")
}
