package disk

import "time"

// fakeFile is an open file of a Fake.
type fakeFile struct {
	fake       *Fake
	node       *inode
	generation int
}

// Write implements io.Writer. A failing write appends a random part of data.
func (f *fakeFile) Write(data []byte) (int, error) {
	f.fake.mu.Lock()
	defer f.fake.mu.Unlock()
	if f.generation != f.fake.generation {
		return 0, ErrStale
	}
	if f.fake.faults.FailWrites {
		n := f.fake.rng.Intn(len(data) + 1)
		f.node.content = append(f.node.content, data[:n]...)
		return n, ErrInjected
	}
	if f.fake.faults.Full && len(data) > f.fake.faults.FullAbove {
		n := f.fake.rng.Intn(len(data) + 1)
		f.node.content = append(f.node.content, data[:n]...)
		return n, ErrFull
	}
	f.node.content = append(f.node.content, data...)
	return len(data), nil
}

// Sync implements File.
func (f *fakeFile) Sync() error {
	f.fake.mu.Lock()
	covered := len(f.node.content)
	delay := f.fake.faults.SyncDelay
	f.fake.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	f.fake.mu.Lock()
	defer f.fake.mu.Unlock()
	if f.generation != f.fake.generation {
		return ErrStale
	}
	if f.fake.faults.FailSyncs {
		f.node.syncFailed = true
		return ErrInjected
	}
	if !f.node.syncFailed {
		f.node.synced = max(f.node.synced, covered)
	}
	f.fake.syncs++
	return nil
}

// Close implements io.Closer. It does not sync the file.
func (f *fakeFile) Close() error { return nil }

// fakeLock is a lock held on a file of a Fake.
type fakeLock struct {
	fake       *Fake
	name       string
	generation int
}

// Close implements io.Closer. It releases the lock unless Release, Wipe or Crash
// already did so.
func (l *fakeLock) Close() error {
	l.fake.mu.Lock()
	defer l.fake.mu.Unlock()
	if l.generation == l.fake.generation {
		delete(l.fake.locks, l.name)
	}
	return nil
}
