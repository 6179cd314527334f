package disk

import (
	"errors"
	"io"
	"io/fs"
	"math/rand"
	"path"
	"sort"
	"sync"
	"time"
)

// Errors specific to Fake.
var (
	// ErrInjected is returned by operations that fail because of
	// Faults.FailWrites or Faults.FailSyncs.
	ErrInjected = errors.New("disk: injected failure")
	// ErrStale is returned by files opened before the last Crash, Release or
	// Wipe.
	ErrStale = errors.New("disk: file was opened before a crash")
)

// Fake is an in-memory data directory for tests. Crash discards unsynced changes.
// As in a real file system, bytes whose sync failed stay readable until a crash
// and are lost then. Fake is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	rng *rand.Rand
	// generation counts the calls of Release, Wipe and Crash, which invalidate
	// open files and locks.
	generation int
	// files are the visible files, durable those that a crash leaves.
	files   map[string]*inode
	durable map[string]*inode
	pending []nameChange
	locks   map[string]bool
	faults  Faults
	syncs   int
}

// Faults are the failures that a Fake injects. The zero value injects none.
type Faults struct {
	// Tear makes Crash keep a random part of each file's unsynced tail, partly
	// zeroed, and a random prefix of the unsynced name changes.
	Tear bool
	// FailWrites makes every Append and Write fail, and FailSyncs every Sync and
	// SyncDir.
	FailWrites, FailSyncs bool
	// Full makes every write fail with ErrFull after writing a part of the data.
	Full bool
	// FullAbove is the size in bytes up to which writes succeed although the disk is full.
	FullAbove int
	// FullNames makes Truncate, Rename, Remove and SyncDir fail with ErrFull too, as on a
	// file system that needs space for them.
	FullNames bool
	// SyncDelay is the duration of each file sync.
	SyncDelay time.Duration
}

// inode is the content of one file.
type inode struct {
	content []byte
	// synced is the length of the durable prefix.
	synced int
	// syncFailed is set once a sync has failed. Until the next crash, later
	// syncs make nothing durable.
	syncFailed bool
}

// nameChange is a creation, rename or removal in dir that is not durable yet.
type nameChange struct {
	dir   string
	apply func(names map[string]*inode)
}

// NewFake returns an empty data directory. The seed determines its random
// choices.
func NewFake(seed int64) *Fake {
	return &Fake{
		rng:     rand.New(rand.NewSource(seed)),
		files:   map[string]*inode{},
		durable: map[string]*inode{},
		locks:   map[string]bool{},
	}
}

// Inject replaces the injected faults.
func (f *Fake) Inject(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

// Syncs returns the number of file syncs that succeeded.
func (f *Fake) Syncs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// ExitProcess simulates the exit of the process: it releases all locks and
// invalidates open files. Unsynced content stays readable.
func (f *Fake) ExitProcess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	f.locks = map[string]bool{}
}

// Wipe replaces the disk with an empty one.
func (f *Fake) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	f.files = map[string]*inode{}
	f.durable = map[string]*inode{}
	f.pending = nil
	f.locks = map[string]bool{}
}

// Truncate implements FS.
func (f *Fake) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.FullNames {
		return ErrFull
	}
	node, known := f.files[name]
	if !known {
		return fs.ErrNotExist
	}
	node.content = node.content[:min(int(size), len(node.content))]
	node.synced = min(node.synced, len(node.content))
	return nil
}

// Crash discards all unsynced changes, as a power failure does.
func (f *Fake) Crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.generation++
	f.locks = map[string]bool{}
	f.applyPending(f.survivingChanges())
	for _, name := range sortedNames(f.durable) {
		f.crashFile(f.durable[name])
	}
	f.files = map[string]*inode{}
	for name, node := range f.durable {
		f.files[name] = node
	}
}

// survivingChanges returns how many unsynced name changes survive a crash.
func (f *Fake) survivingChanges() int {
	if !f.faults.Tear || len(f.pending) == 0 {
		return 0
	}
	return f.rng.Intn(len(f.pending) + 1)
}

// applyPending makes the first n unsynced name changes durable and drops the
// others.
func (f *Fake) applyPending(n int) {
	for _, change := range f.pending[:n] {
		change.apply(f.durable)
	}
	f.pending = nil
}

// crashFile truncates a file to its durable prefix, or with Faults.Tear to a
// random length between that prefix and its full length.
func (f *Fake) crashFile(node *inode) {
	kept := node.synced
	unsynced := len(node.content) - node.synced
	if f.faults.Tear && unsynced > 0 {
		kept += f.rng.Intn(unsynced + 1)
	}
	content := append([]byte(nil), node.content[:kept]...)
	if kept > node.synced {
		f.zeroRandomRange(content[node.synced:])
	}
	node.content = content
	node.synced = kept
	node.syncFailed = false
}

// zeroRandomRange zeroes a random range of a torn tail with a probability of
// one half.
func (f *Fake) zeroRandomRange(tail []byte) {
	if f.rng.Intn(2) == 0 {
		return
	}
	from := f.rng.Intn(len(tail))
	to := from + f.rng.Intn(len(tail)-from) + 1
	clear(tail[from:to])
}

// Corrupt inverts the byte at offset in a file. The change survives a crash if
// that byte was durable.
func (f *Fake) Corrupt(name string, offset int) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	node, ok := f.files[name]
	if !ok || offset >= len(node.content) {
		return fs.ErrNotExist
	}
	node.content[offset] ^= 0xff
	return nil
}

// changeNames applies a name change to the visible files and queues it until
// SyncDir makes it durable.
func (f *Fake) changeNames(dir string, apply func(names map[string]*inode)) {
	apply(f.files)
	f.pending = append(f.pending, nameChange{dir: dir, apply: apply})
}

// sortedNames returns the names in sorted order, so that random choices are
// reproducible for a seed.
func sortedNames(names map[string]*inode) []string {
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	return sorted
}

// MkdirAll implements FS. Directories exist implicitly through the names of their
// files.
func (f *Fake) MkdirAll(string) error { return nil }

// Append implements FS.
func (f *Fake) Append(name string) (File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.FailWrites {
		return nil, ErrInjected
	}
	name = path.Clean(name)
	node, ok := f.files[name]
	if !ok {
		node = &inode{}
		f.changeNames(path.Dir(name), func(names map[string]*inode) { names[name] = node })
	}
	return &fakeFile{fake: f, node: node, generation: f.generation}, nil
}

// ReadFile implements FS.
func (f *Fake) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	node, ok := f.files[path.Clean(name)]
	if !ok {
		return nil, &fs.PathError{Op: "read", Path: name, Err: fs.ErrNotExist}
	}
	return append([]byte(nil), node.content...), nil
}

// Rename implements FS.
func (f *Fake) Rename(oldName, newName string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.FullNames {
		return ErrFull
	}
	oldName, newName = path.Clean(oldName), path.Clean(newName)
	node, ok := f.files[oldName]
	if !ok {
		return &fs.PathError{Op: "rename", Path: oldName, Err: fs.ErrNotExist}
	}
	f.changeNames(path.Dir(newName), func(names map[string]*inode) {
		names[newName] = node
		delete(names, oldName)
	})
	return nil
}

// Remove implements FS.
func (f *Fake) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.FullNames {
		return ErrFull
	}
	name = path.Clean(name)
	if _, ok := f.files[name]; !ok {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	f.changeNames(path.Dir(name), func(names map[string]*inode) { delete(names, name) })
	return nil
}

// List implements FS.
func (f *Fake) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, name := range sortedNames(f.files) {
		if path.Dir(name) == path.Clean(dir) {
			names = append(names, path.Base(name))
		}
	}
	return names, nil
}

// SyncDir implements FS.
func (f *Fake) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults.FailSyncs {
		return ErrInjected
	}
	if f.faults.FullNames {
		return ErrFull
	}
	var rest []nameChange
	for _, change := range f.pending {
		if change.dir == path.Clean(dir) {
			change.apply(f.durable)
			continue
		}
		rest = append(rest, change)
	}
	f.pending = rest
	return nil
}

// Lock implements FS.
func (f *Fake) Lock(name string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locks[name] {
		return nil, ErrLocked
	}
	f.locks[name] = true
	return &fakeLock{fake: f, name: name, generation: f.generation}, nil
}
