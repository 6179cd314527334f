package wal

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
)

// TestWAL_FullDisk checks that appends fail while the disk is full and succeed
// once it has space again, and that after a power failure the log contains each
// entry exactly once.
func TestWAL_FullDisk(t *testing.T) {
	fsys := disk.NewFake(7)
	log, _, err := Open(fsys, "wal", Options{})
	must.NoError(t, err)
	entry := func(index uint64) Batch {
		return Batch{Entries: []Entry{{Index: index, Term: 1, Data: []byte("some data of a command")}}}
	}
	must.NoError(t, log.Append(entry(1)))
	fsys.Inject(disk.Faults{Full: true})
	for range 3 {
		must.ErrorIs(t, log.Append(entry(2)), disk.ErrFull)
	}
	fsys.Inject(disk.Faults{})
	must.NoError(t, log.Append(entry(2)))
	must.NoError(t, log.Append(entry(3)))
	fsys.Crash()
	_, recovered, err := Open(fsys, "wal", Options{})
	must.NoError(t, err)
	must.Len(t, 3, recovered.Entries)
	must.Zero(t, recovered.TornBytes)
}

// TestWAL_HardStateOfAFailedAppendIsNotKept checks that a hard state whose append failed for
// a full disk does not become durable with the segment that begins next: the replica has
// not acted on it, and a later one may be older.
func TestWAL_HardStateOfAFailedAppendIsNotKept(t *testing.T) {
	fsys := disk.NewFake(7)
	log, _ := open(t, fsys)
	must.NoError(t, log.Append(Batch{Hard: &HardState{Term: 1}}))
	fsys.Inject(disk.Faults{Full: true})
	must.ErrorIs(t, log.Append(Batch{Hard: &HardState{Term: 2, VoteID: "r2"}}), disk.ErrFull)
	fsys.Inject(disk.Faults{})
	for i := range uint64(2) {
		must.NoError(t, log.Append(Batch{Entries: []Entry{{Index: i + 1, Term: 1, Data: make([]byte, 512)}}}))
	}
	fsys.Crash()
	_, recovered := open(t, fsys)
	must.Eq(t, HardState{Term: 1}, recovered.Hard)
}
