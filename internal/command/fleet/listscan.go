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
}

// ErrListRateLimited means that the platform rejected a call to its list because
// there were too many.
var ErrListRateLimited = errors.New("too many calls to the platform's list")

// listScan collects the pages of one pass over the list. Additions and changes take
// effect page by page; an upstream counts as removed only once the pass is
// complete.
type listScan struct {
	known map[ident.UpstreamName]control.Discovered
	seen  map[ident.UpstreamName]control.Discovered
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
