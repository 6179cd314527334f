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

// ErrListBusy is the answer of a platform that gets more calls than it permits.
var ErrListBusy = errors.New("the platform's list gets too many calls")

// listing is one reading of the list, page by page. What a page says holds at
// once; that an upstream is gone holds once the reading is complete.
type listing struct {
	former map[ident.UpstreamName]control.Discovered
	read   map[ident.UpstreamName]control.Discovered
	// changed is true when a page told of something that was not known.
	changed bool
}

// newListing begins a reading, given the upstreams that are known so far.
func newListing(former []control.Discovered) *listing {
	l := &listing{
		former: make(map[ident.UpstreamName]control.Discovered, len(former)),
		read:   make(map[ident.UpstreamName]control.Discovered, len(former)),
	}
	for _, d := range former {
		l.former[d.Name] = d
	}
	return l
}

// add takes in a page.
func (l *listing) add(page ListPage) {
	for _, d := range page.Found {
		l.read[d.Name] = d
		if known, ok := l.former[d.Name]; !ok || known != d {
			l.changed = true
		}
	}
}

// partial returns what is known after some pages if they told of anything new.
func (l *listing) partial() (found []control.Discovered, changed bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	for name, d := range l.former {
		if _, again := l.read[name]; !again {
			found = append(found, d)
		}
	}
	return append(found, l.complete()...), true
}

// complete returns what the whole list said.
func (l *listing) complete() []control.Discovered {
	found := make([]control.Discovered, 0, len(l.read))
	for _, d := range l.read {
		found = append(found, d)
	}
	return found
}
