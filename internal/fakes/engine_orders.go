package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// versionSet holds the loaded versions and the accepted orders. The first loaded
// version is the default.
type versionSet struct {
	ignoreFence bool

	mu     sync.Mutex
	loaded []ident.VersionName
	// firstUsed holds the time of each version's first request.
	firstUsed map[ident.VersionName]time.Time
	// fence is the highest fencing number seen.
	fence uint64
	// orders holds the accepted orders, oldest first.
	orders []upstreamapi.Order
}

func newVersionSet(first ident.VersionName, ignoreFence bool) *versionSet {
	return &versionSet{
		ignoreFence: ignoreFence,
		loaded:      []ident.VersionName{first},
		firstUsed:   map[ident.VersionName]time.Time{},
	}
}

func (v *versionSet) list() []ident.VersionName {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.loaded)
}

// choose returns the version that serves a request: the wanted one if it is
// loaded, else the first loaded one. It returns false if no version is loaded.
func (v *versionSet) choose(wanted ident.VersionName) (ident.VersionName, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.loaded) == 0 {
		return "", false
	}
	chosen := v.loaded[0]
	if slices.Contains(v.loaded, wanted) {
		chosen = wanted
	}
	if v.firstUsed[chosen].IsZero() {
		v.firstUsed[chosen] = time.Now()
	}
	return chosen, true
}

// age returns the time since the version's first request, or 0 if there was none.
func (v *versionSet) age(name ident.VersionName) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	first := v.firstUsed[name]
	if first.IsZero() {
		return 0
	}
	return time.Since(first)
}

// accept rejects the order if its fencing number is old, unless fencing is ignored,
// and records it otherwise.
func (v *versionSet) accept(o upstreamapi.Order) upstreamapi.OrderReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	if o.Fence < v.fence && !v.ignoreFence {
		return upstreamapi.OrderReply{HighestFence: v.fence, Error: "old fencing number"}
	}
	v.fence = max(v.fence, o.Fence)
	v.orders = append(v.orders, o)
	return upstreamapi.OrderReply{Accepted: true, HighestFence: v.fence}
}

func (v *versionSet) add(name ident.VersionName) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !slices.Contains(v.loaded, name) {
		v.loaded = append(v.loaded, name)
	}
}

func (v *versionSet) drop(name ident.VersionName) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.loaded = slices.DeleteFunc(v.loaded, func(n ident.VersionName) bool { return n == name })
}

// Orders returns the orders that the engine accepted, oldest first.
func (e *Engine) Orders() []upstreamapi.Order {
	e.versions.mu.Lock()
	defer e.versions.mu.Unlock()
	return slices.Clone(e.versions.orders)
}

// Versions returns the loaded versions in the order of loading.
func (e *Engine) Versions() []ident.VersionName {
	return e.versions.list()
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o upstreamapi.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply := e.versions.accept(o)
	if !reply.Accepted {
		writeJSON(w, http.StatusConflict, reply)
		return
	}
	switch o.Kind {
	case upstreamapi.OrderLoad:
		go e.loadVersion(o.Version)
	case upstreamapi.OrderUnload:
		e.versions.drop(o.Version)
	case upstreamapi.OrderRole:
	default:
		reply = upstreamapi.OrderReply{HighestFence: reply.HighestFence, Error: "unknown kind of order"}
	}
	writeJSON(w, http.StatusOK, reply)
}

// loadVersion reads the version's weights from the weight store, if there is one,
// and then adds the version. If reading fails, the version is not added.
func (e *Engine) loadVersion(name ident.VersionName) {
	if e.options.WeightStore != "" {
		resp, err := http.Get(fmt.Sprintf("http://%s%s%s", e.options.WeightStore, PathWeights, name))
		if err != nil {
			return
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			return
		}
	}
	e.versions.add(name)
}
