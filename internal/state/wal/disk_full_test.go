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

// TestWAL_PartialWriteIsRemovedLater checks that a log whose partial write can't be removed
// while the disk is full goes on once there is space.
func TestWAL_PartialWriteIsRemovedLater(t *testing.T) {
	fsys := disk.NewFake(7)
	log, _ := open(t, fsys)
	batch := func(index uint64) Batch {
		return Batch{Entries: []Entry{{Index: index, Term: 1, Data: make([]byte, 300)}}}
	}
	must.NoError(t, log.Append(batch(1)))
	fsys.Inject(disk.Faults{Full: true, FullNames: true})
	for range 3 {
		must.ErrorIs(t, log.Append(batch(2)), disk.ErrFull)
	}
	fsys.Inject(disk.Faults{})
	for index := uint64(2); index <= 8; index++ {
		must.NoError(t, log.Append(batch(index)))
	}
	fsys.Crash()
	_, recovered := open(t, fsys)
	must.Len(t, 8, recovered.Entries)
	must.Zero(t, recovered.TornBytes)
}

// TestWAL_CompactOnAFullDisk checks that a log which can't remove segments while the disk is
// full appends meanwhile and removes them later.
func TestWAL_CompactOnAFullDisk(t *testing.T) {
	fsys := disk.NewFake(7)
	log, _ := open(t, fsys)
	last := uint64(0)
	add := func(count int) {
		for range count {
			last++
			must.NoError(t, log.Append(Batch{Entries: []Entry{{Index: last, Term: 1, Data: make([]byte, 300)}}}))
		}
	}
	segments := func() int {
		names, err := fsys.List("wal")
		must.NoError(t, err)
		return len(names)
	}
	add(10)
	before := segments()
	must.Greater(t, 2, before)
	fsys.Inject(disk.Faults{FullNames: true})
	must.ErrorIs(t, log.Compact(last), disk.ErrFull)
	must.Eq(t, before, segments())
	fsys.Inject(disk.Faults{})
	add(1)
	must.NoError(t, log.Compact(last-1))
	must.Less(t, before, segments())
	fsys.Crash()
	_, recovered := open(t, fsys)
	must.Eq(t, last, recovered.Entries[len(recovered.Entries)-1].Index)
}
