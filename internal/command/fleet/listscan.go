package fleet

import (
	"errors"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// ListPage is one page of the platform's list of upstreams.
type ListPage struct {
	Found []control.Discovered
	// Next names the following page; empty on the last one.
	Next string
}

// ErrListRateLimited is the answer of a platform that gets more calls than it permits.
var ErrListRateLimited = errors.New("the platform's list gets too many calls")

// listScan is one reading of the list, page by page. What a page says holds at
// once; that an upstream is gone holds once the reading is complete.
type listScan struct {
	known map[ident.UpstreamName]control.Discovered
	seen  map[ident.UpstreamName]control.Discovered
	// changed is true when a page told of something that was not known.
	changed bool
}

// newListScan begins a reading, given the upstreams that are known so far.
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

// add takes in a page.
func (l *listScan) add(page ListPage) {
	for _, d := range page.Found {
		l.seen[d.Name] = d
		if known, ok := l.known[d.Name]; !ok || known != d {
			l.changed = true
		}
	}
}

// partial returns what is known after some pages if they told of anything new.
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

// complete returns what the whole list said.
func (l *listScan) complete() []control.Discovered {
	found := make([]control.Discovered, 0, len(l.seen))
	for _, d := range l.seen {
		found = append(found, d)
	}
	return found
}
