package snap

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/disk"
)

func sample(index uint64) Snapshot {
	meta := Meta{Index: index, Term: 2, Members: []byte("members")}
	return Snapshot{Meta: meta, Data: []byte("state")}
}

func open(t *testing.T, fsys disk.FS) *Store {
	t.Helper()
	s, err := Open(fsys, "snap")
	must.NoError(t, err)
	return s
}

func TestSnap_NewestValid(t *testing.T) {
	fake := disk.NewFake(1)
	s := open(t, fake)
	_, found, err := s.Latest()
	must.NoError(t, err)
	must.False(t, found)
	for index := uint64(5); index <= 7; index++ {
		must.NoError(t, s.Save(sample(index)))
	}
	must.NoError(t, s.Prune(2))
	fake.Crash()
	latest, found, err := s.Latest()
	must.NoError(t, err)
	must.True(t, found)
	must.Eq(t, sample(7), latest)
	must.NoError(t, fake.Corrupt("snap/0000000000000007.snap", 30))
	latest, _, err = s.Latest()
	must.NoError(t, err)
	must.Eq(t, sample(6), latest)
	must.NoError(t, fake.Corrupt("snap/0000000000000006.snap", 3))
	_, _, err = s.Latest()
	var damage *DamageError
	must.True(t, errors.As(err, &damage))
}

func TestSnap_CrashWhileSaving(t *testing.T) {
	fake := disk.NewFake(1)
	s := open(t, fake)
	must.NoError(t, s.Save(sample(1)))
	fake.Inject(disk.Faults{FailSyncs: true})
	must.Error(t, s.Save(sample(2)))
	fake.Crash()
	fake.Inject(disk.Faults{})
	latest, _, err := s.Latest()
	must.NoError(t, err)
	must.Eq(t, 1, latest.Meta.Index)
	must.NoError(t, s.Save(sample(3)))
}
