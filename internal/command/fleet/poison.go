package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// poisonParts returns the records of refused prompt parts that this node knows, also
// those that its clients have from schedulers.
func (n *Node) poisonParts() []poison.Part {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clients {
		n.poison.Merge(c.Poison(), time.Now())
	}
	return n.poison.List()
}

// learnPoison merges records of refused prompt parts and passes them to the clients
// of the schedulers.
func (n *Node) learnPoison(parts []poison.Part) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.poison.Merge(parts, time.Now())
	for _, c := range n.clients {
		c.LearnPoison(parts)
	}
}

// refusedParts returns the number of prompt parts that are refused.
func (n *Node) refusedParts() int {
	refused := 0
	for _, p := range n.poisonParts() {
		if !p.Lifted {
			refused++
		}
	}
	return refused
}

// poisonEntry is a record of a refused prompt part as operators see it.
type poisonEntry struct {
	Pool ident.PoolName `json:"pool"`
	// Part is hexadecimal.
	Part      string               `json:"part"`
	Since     time.Time            `json:"since"`
	Updated   time.Time            `json:"updated"`
	Ends      int                  `json:"ends"`
	Upstreams []ident.UpstreamName `json:"upstreams"`
	Trials    int                  `json:"trials"`
	NextTrial time.Time            `json:"next_trial"`
	Lifted    bool                 `json:"lifted"`
	By        string               `json:"by,omitempty"`
}

// PoisonHandler lists the refused prompt parts on GET, and lifts the one that the
// fields pool and part name on DELETE.
func (n *Node) PoisonHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) {
		entries := []poisonEntry{}
		for _, p := range n.poisonParts() {
			entries = append(entries, poisonEntry{
				Pool: p.Pool, Part: strconv.FormatUint(p.ID, 16), Since: p.Since, Updated: p.Updated, Ends: p.Ends,
				Upstreams: p.Upstreams, Trials: p.Trials, NextTrial: p.NextTrial, Lifted: p.Lifted, By: p.By,
			})
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(entries)
	})
	mux.HandleFunc("DELETE /", func(w http.ResponseWriter, r *http.Request) {
		pool, text := ident.PoolName(r.FormValue("pool")), r.FormValue("part")
		id, err := strconv.ParseUint(text, 16, 64)
		if err == nil {
			err = n.liftPoison(pool, id)
		}
		if err != nil {
			http.Error(w, fmt.Sprintf("part %q of pool %q: %v", text, pool, err), http.StatusNotFound)
		}
	})
	return mux
}

// liftPoison ends the refusal of a prompt part at an operator's request, at all
// nodes.
func (n *Node) liftPoison(pool ident.PoolName, id uint64) error {
	n.poisonParts()
	n.mu.Lock()
	p, refused := n.poison.Find(pool, id)
	n.mu.Unlock()
	if !refused {
		return fmt.Errorf("it is not refused")
	}
	lifted := p.Lift("an operator lifted it", time.Now())
	n.events.Record(timeline.Event{Kind: timeline.KindPoison, Pool: pool, Detail: lifted.String()})
	n.learnPoison([]poison.Part{lifted})
	n.applyPools()
	n.triggerSync()
	return nil
}
