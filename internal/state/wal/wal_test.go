package wal

import (
	"errors"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
)

// entries returns entries with the indexes from..to and the given term.
func entries(term, from, to uint64) []Entry {
	var out []Entry
	for i := from; i <= to; i++ {
		out = append(out, Entry{Index: i, Term: term, Data: []byte(fmt.Sprintf("%d.%d", term, i))})
	}
	return out
}

// open opens the log with segments small enough that a few batches fill one.
func open(t must.T, fsys disk.FS) (*Log, Recovered) {
	t.Helper()
	l, found, err := Open(fsys, "wal", Options{SegmentBytes: 512})
	must.NoError(t, err)
	return l, found
}

// model is the expected content of the log.
type model struct {
	hard    HardState
	entries []Entry
}

// with returns the model after a batch.
func (m model) with(b Batch) model {
	next := model{hard: m.hard, entries: append([]Entry(nil), m.entries...)}
	if b.Hard != nil {
		next.hard = *b.Hard
	}
	for _, e := range b.Entries {
		next.entries = append(next.entries[:e.Index-1], e)
	}
	return next
}

// prefixModels returns every content that the log may have after a crash during
// the write of a batch.
func prefixModels(m model, b Batch) []model {
	out := []model{m}
	if b.Hard != nil {
		m = m.with(Batch{Hard: b.Hard})
		out = append(out, m)
	}
	for _, e := range b.Entries {
		m = m.with(Batch{Entries: []Entry{e}})
		out = append(out, m)
	}
	return out
}

// TestWAL_TornTail checks that after a crash the log contains every acknowledged
// batch, and at most a prefix of the batch being written.
func TestWAL_TornTail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := disk.NewFake(rapid.Int64().Draw(t, "seed"))
		state := model{}
		l, _ := open(t, fake)
		for round := range rapid.IntRange(1, 12).Draw(t, "rounds") {
			from := uint64(rapid.IntRange(1, len(state.entries)+1).Draw(t, "from"))
			count := uint64(rapid.IntRange(0, 6).Draw(t, "count"))
			batch := Batch{Entries: entries(uint64(round+1), from, from+count-1)}
			if rapid.Bool().Draw(t, "hard") {
				batch.Hard = &HardState{Term: uint64(round + 1), VoteID: "b", VoteIncarnation: 7, Commit: 1}
			}
			fail := rapid.IntRange(0, 3).Draw(t, "fail")
			fake.Inject(disk.Faults{Tear: true, FailSyncs: fail == 0, FailWrites: fail == 1})
			err := l.Append(batch)
			fake.Inject(disk.Faults{Tear: true})
			if err == nil {
				state = state.with(batch)
				if rapid.Bool().Draw(t, "continue without crash") {
					continue
				}
			}
			fake.Crash()
			var found Recovered
			l, found = open(t, fake)
			allowed := []model{state}
			if err != nil {
				allowed = prefixModels(state, batch)
			}
			state = findModel(t, allowed, found)
		}
	})
}

// findModel returns the allowed model that equals the recovered content. It fails
// the test if there is none.
func findModel(t *rapid.T, allowed []model, found Recovered) model {
	for _, m := range allowed {
		if m.hard == found.Hard && fmt.Sprint(m.entries) == fmt.Sprint(found.Entries) {
			return m
		}
	}
	t.Fatalf("recovered %+v, want one of %+v", found, allowed)
	return model{}
}

// TestWAL_DamagedByte corrupts each byte of a log in turn and checks that only
// damage in the last batch is treated as a torn tail.
func TestWAL_DamagedByte(t *testing.T) {
	build := func() (*disk.Fake, int, int) {
		fake := disk.NewFake(1)
		l, _ := open(t, fake)
		must.NoError(t, l.Append(Batch{Entries: entries(1, 1, 2)}))
		last := l.current().size
		must.NoError(t, l.Append(Batch{Entries: entries(1, 3, 3)}))
		return fake, last, l.current().size
	}
	_, last, size := build()
	for offset := range size {
		fake, _, _ := build()
		fake.ExitProcess()
		must.NoError(t, fake.Corrupt("wal/"+segmentName(1), offset))
		_, found, err := Open(fake, "wal", Options{})
		if offset >= last {
			must.NoError(t, err)
			must.Eq(t, entries(1, 1, 2), found.Entries)
			continue
		}
		var damage *DamageError
		must.True(t, errors.As(err, &damage))
		must.Eq(t, "wal/"+segmentName(1), damage.File)
		must.LessEq(t, offset, damage.Offset)
	}
}

func TestWAL_DamagedOrMissingSegment(t *testing.T) {
	fake := disk.NewFake(1)
	l, _ := open(t, fake)
	for i := uint64(1); i <= 60; i++ {
		must.NoError(t, l.Append(Batch{Entries: entries(1, i, i)}))
	}
	must.Greater(t, 2, len(l.segments))
	must.NoError(t, fake.Corrupt("wal/"+segmentName(1), l.segments[0].size-1))
	_, _, err := Open(fake, "wal", Options{})
	var damage *DamageError
	must.True(t, errors.As(err, &damage))
	must.NoError(t, fake.Remove("wal/"+segmentName(2)))
	_, _, err = Open(fake, "wal", Options{})
	must.True(t, errors.As(err, &damage))
}

func TestWAL_FailedSyncIsFinal(t *testing.T) {
	fake := disk.NewFake(1)
	l, _ := open(t, fake)
	fake.Inject(disk.Faults{FailSyncs: true})
	must.ErrorIs(t, l.Append(Batch{Entries: entries(1, 1, 1)}), disk.ErrInjected)
	fake.Inject(disk.Faults{})
	must.ErrorIs(t, l.Append(Batch{Entries: entries(1, 1, 1)}), disk.ErrInjected)
	must.ErrorIs(t, l.Compact(1), disk.ErrInjected)
}

// TestWAL_FailedSyncThenProcessRestart checks that the entries recovered by a
// restarted process are durable, although the sync that should have made them
// durable failed in the previous process.
func TestWAL_FailedSyncThenProcessRestart(t *testing.T) {
	fake := disk.NewFake(1)
	l, _ := open(t, fake)
	fake.Inject(disk.Faults{FailSyncs: true})
	must.Error(t, l.Append(Batch{Entries: entries(1, 1, 2)}))
	fake.Inject(disk.Faults{})
	fake.ExitProcess()
	_, before := open(t, fake)
	fake.Crash()
	_, after := open(t, fake)
	must.Eq(t, before.Entries, after.Entries)
}

func TestWAL_CompactAndMark(t *testing.T) {
	fake := disk.NewFake(1)
	l, _ := open(t, fake)
	hard := HardState{Term: 3, VoteID: "a", VoteIncarnation: 1}
	must.NoError(t, l.Append(Batch{Hard: &hard}))
	for i := uint64(1); i <= 60; i++ {
		must.NoError(t, l.Append(Batch{Entries: entries(1, i, i)}))
	}
	must.NoError(t, l.Compact(40))
	fake.Crash()
	l, found := open(t, fake)
	must.Eq(t, hard, found.Hard)
	must.LessEq(t, 41, found.Entries[0].Index)
	must.Greater(t, 1, found.Entries[0].Index)
	must.Eq(t, 60, found.Entries[len(found.Entries)-1].Index)
	must.NoError(t, l.Append(Batch{Mark: &Mark{Index: 100, Term: 3}, Entries: entries(3, 101, 102)}))
	_, found = open(t, fake)
	must.Eq(t, Mark{Index: 100, Term: 3}, found.Base)
	must.Eq(t, entries(3, 101, 102), found.Entries)
}
