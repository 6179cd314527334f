package fleet

import (
	"errors"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// ListPage is one page of the platform's list of upstreams.
type ListPage struct {
	Found []control.Discovered
	// Next is the token of the following page; empty on the last page.
	Next string
	// Skipped are the entries that can't be used.
	Skipped SkippedEntries
}

// maxSkipReasons bounds the reasons that are kept of the entries that were skipped, and
// maxSkipReason the length of each, in bytes.
const (
	maxSkipReasons = 3
	maxSkipReason  = 256
)

// SkippedEntries describes the entries of the platform's list that can't be used.
type SkippedEntries struct {
	Count int
	// Reasons says of the first ones why.
	Reasons [maxSkipReasons]string
}

// Add adds an entry that was skipped.
func (s *SkippedEntries) Add(reason string) {
	if s.Count < maxSkipReasons {
		s.Reasons[s.Count] = reason[:min(len(reason), maxSkipReason)]
	}
	s.Count++
}

// merge adds the entries of a page.
func (s *SkippedEntries) merge(page SkippedEntries) {
	for i := range min(page.Count, maxSkipReasons) {
		s.Add(page.Reasons[i])
	}
	s.Count += max(0, page.Count-maxSkipReasons)
}

// ErrListRateLimited means that the platform rejected a call to its list because
// there were too many.
var ErrListRateLimited = errors.New("too many calls to the platform's list")

// listScan collects the pages of one pass over the list. Additions and changes take
// effect page by page; an upstream counts as removed only once the pass is
// complete.
type listScan struct {
	known   map[ident.UpstreamName]control.Discovered
	seen    map[ident.UpstreamName]control.Discovered
	skipped SkippedEntries
	// changed is set when a page holds a new or changed upstream. partial resets
	// it.
	changed bool
}

// newListScan starts a pass over the list, given the upstreams known so far.
func newListScan(known []control.Discovered) *listScan {
	l := &listScan{
		known: make(map[ident.UpstreamName]control.Discovered, len(known)),
		seen:  make(map[ident.UpstreamName]control.Discovered, len(known)),
	}
	for _, d := range known {
		l.known[d.Name] = d
	}
	return l
}

// add records the upstreams of a page.
func (l *listScan) add(page ListPage) {
	l.skipped.merge(page.Skipped)
	for _, d := range page.Found {
		l.seen[d.Name] = d
		if known, ok := l.known[d.Name]; !ok || known != d {
			l.changed = true
		}
	}
}

// partial returns the known upstreams, updated from the pages read so far. Changed
// is false if no page since the last call held a new or changed upstream.
func (l *listScan) partial() (found []control.Discovered, changed bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	for name, d := range l.known {
		if _, seen := l.seen[name]; !seen {
			found = append(found, d)
		}
	}
	return append(found, l.complete()...), true
}

// complete returns the upstreams of all pages read.
func (l *listScan) complete() []control.Discovered {
	found := make([]control.Discovered, 0, len(l.seen))
	for _, d := range l.seen {
		found = append(found, d)
	}
	return found
}
