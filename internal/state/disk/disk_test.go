package disk

import (
	"io/fs"
	"testing"

	"github.com/shoenig/test/must"
)

// write appends content to a file and syncs it if sync is set.
func write(t *testing.T, fsys FS, name, content string, sync bool) {
	t.Helper()
	file, err := fsys.Append(name)
	must.NoError(t, err)
	_, err = file.Write([]byte(content))
	must.NoError(t, err)
	if sync {
		must.NoError(t, file.Sync())
	}
	must.NoError(t, file.Close())
}

func TestFS_BothImplementations(t *testing.T) {
	for name, fsys := range map[string]FS{"os": NewOS(t.TempDir()), "fake": NewFake(1)} {
		t.Run(name, func(t *testing.T) {
			must.NoError(t, fsys.MkdirAll("d"))
			write(t, fsys, "d/a", "one", true)
			write(t, fsys, "d/a", "two", true)
			must.NoError(t, WriteFile(fsys, "d", "b", []byte("whole")))
			names, err := fsys.List("d")
			must.NoError(t, err)
			must.Eq(t, []string{"a", "b"}, names)
			content, err := fsys.ReadFile("d/a")
			must.NoError(t, err)
			must.Eq(t, "onetwo", string(content))
			must.NoError(t, fsys.Remove("d/a"))
			_, err = fsys.ReadFile("d/a")
			must.ErrorIs(t, err, fs.ErrNotExist)
			lock, err := fsys.Lock("d/lock")
			must.NoError(t, err)
			_, err = fsys.Lock("d/lock")
			must.ErrorIs(t, err, ErrLocked)
			must.NoError(t, lock.Close())
		})
	}
}

func TestFake_CrashLosesUnsynced(t *testing.T) {
	f := NewFake(1)
	write(t, f, "d/kept", "durable", true)
	must.NoError(t, f.SyncDir("d"))
	write(t, f, "d/kept", "gone", false)
	write(t, f, "d/unnamed", "synced but its name is not", true)
	must.NoError(t, f.Rename("d/kept", "d/renamed"))
	f.Crash()
	names, err := f.List("d")
	must.NoError(t, err)
	must.Eq(t, []string{"kept"}, names)
	content, err := f.ReadFile("d/kept")
	must.NoError(t, err)
	must.Eq(t, "durable", string(content))
}

func TestFake_FailedSyncLosesContent(t *testing.T) {
	f := NewFake(1)
	file, err := f.Append("d/a")
	must.NoError(t, err)
	must.NoError(t, f.SyncDir("d"))
	_, err = file.Write([]byte("x"))
	must.NoError(t, err)
	f.Inject(Faults{FailSyncs: true})
	must.ErrorIs(t, file.Sync(), ErrInjected)
	f.Inject(Faults{})
	must.NoError(t, file.Sync())
	f.Crash()
	content, err := f.ReadFile("d/a")
	must.NoError(t, err)
	must.Eq(t, 0, len(content))
}

// TestWriteFile_FullDiskLeavesNothing checks that a file which did not fit leaves no
// temporary file behind, which would keep others from writing, and that one of an earlier
// process can be removed.
func TestWriteFile_FullDiskLeavesNothing(t *testing.T) {
	fsys := NewFake(3)
	must.NoError(t, WriteFile(fsys, "d", "f", []byte("old")))
	fsys.Inject(Faults{Full: true})
	must.ErrorIs(t, WriteFile(fsys, "d", "f", []byte("a longer content")), ErrFull)
	names, err := fsys.List("d")
	must.NoError(t, err)
	must.Eq(t, []string{"f"}, names)
	content, err := fsys.ReadFile("d/f")
	must.NoError(t, err)
	must.Eq(t, "old", string(content))

	fsys.Inject(Faults{Full: true, FullNames: true})
	must.ErrorIs(t, WriteFile(fsys, "d", "g", []byte("a longer content")), ErrFull)
	fsys.Inject(Faults{})
	must.NoError(t, RemoveTemporary(fsys, "d"))
	names, err = fsys.List("d")
	must.NoError(t, err)
	must.Eq(t, []string{"f"}, names)
}
