package control

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// readRetention is how long a configuration is kept after it was read, for repeats of a
// change that is not committed yet.
const readRetention = 5 * time.Second

// DocumentReader reads the texts of submitted configurations, one at a time and the latest
// first: an operator repeats a change that is not acknowledged in time, and gives up the
// earlier calls. A text that is repeated is not read again. It is safe for concurrent use,
// and its zero value is ready for use.
type DocumentReader struct {
	turns    turns
	arrivals atomic.Uint64

	mu   sync.Mutex
	last *config.Numbered
}

// Read waits for the turn of a text and reads it. The error wraps config.ErrInvalid if read
// fails or the configuration has too many objects, and is that of the context or errTooManyChanges if the turn does not come.
func (d *DocumentReader) Read(ctx context.Context, text []byte, read config.Reader) (config.Numbered, error) {
	if err := d.turns.take(ctx, d.arrivals.Add(1)); err != nil {
		return config.Numbered{}, err
	}
	defer d.turns.done()
	if known, ok := d.known(text); ok {
		return known, nil
	}
	n, err := read(text)
	n.Level = machine.FeatureLevel
	if err == nil {
		err = n.Config.CheckSize()
	}
	if err != nil {
		return config.Numbered{}, fmt.Errorf("%w: %w", config.ErrInvalid, err)
	}
	d.keep(n)
	return n, nil
}

// known returns the configuration of a text that was read last.
func (d *DocumentReader) known(text []byte) (config.Numbered, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil || !bytes.Equal(d.last.Document, text) {
		return config.Numbered{}, false
	}
	return *d.last, true
}

// keep keeps a configuration for readRetention or until the next one.
func (d *DocumentReader) keep(n config.Numbered) {
	d.mu.Lock()
	d.last = &n
	d.mu.Unlock()
	time.AfterFunc(readRetention, func() { d.forget(func(kept *config.Numbered) bool { return kept == &n }) })
}

// Committed forgets the configurations up to a number.
func (d *DocumentReader) Committed(number uint64) {
	d.forget(func(kept *config.Numbered) bool { return kept.Number <= number })
}

func (d *DocumentReader) forget(which func(*config.Numbered) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last != nil && which(d.last) {
		d.last = nil
	}
}
