package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/poison"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// known returns what this node knows and the leader may not.
func (n *Node) known() control.Known {
	known := control.Known{TeamUse: n.quotas.Use(time.Now()), Poison: n.poisonRecords()}
	if known.TeamUse == nil {
		known.HotTeams = n.quotas.Hot(time.Now())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for pool, c := range n.clients {
		cleared := c.Cleared()
		known.Cleared = append(known.Cleared, cleared.Requests...)
		if len(cleared.Parts) > 0 {
			if known.ClearedParts == nil {
				known.ClearedParts = make(map[ident.PoolName][]uint64)
			}
			known.ClearedParts[pool] = cleared.Parts
		}
		if m := n.masters[pool]; m != nil {
			m.ClearAnswered(cleared)
		}
	}
	for _, m := range n.masters {
		known.Ends = append(known.Ends, m.RequestEnds()...)
	}
	return known
}

// poisonRecords returns the records of refused prompt parts and requests that this node
// knows, also those that its clients have from schedulers.
func (n *Node) poisonRecords() []poison.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clients {
		n.poison.Merge(c.Poison(), time.Now())
	}
	return n.poison.List()
}

// learnPoison merges records and passes them to the clients of the schedulers.
func (n *Node) learnPoison(records []poison.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.poison.Merge(records, time.Now())
	for _, c := range n.clients {
		c.LearnPoison(records)
	}
}

// setEnded tells the clients of the schedulers under which requests and parts upstreams have
// ended, and this node's schedulers which of those before were answered since: the leader has
// dropped their ends. Another leader may never have had them.
func (n *Node) setEnded(ends []poison.End, term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term == n.endsTerm {
		cleared := control.ClearedSince(n.ends, ends)
		for pool, m := range n.masters {
			m.ClearAnswered(cleared[pool])
		}
	}
	n.ends, n.endsTerm = ends, term
	for _, c := range n.clients {
		c.SetEnded(ends)
	}
}

// refused returns the number of prompt parts or requests that are refused.
func (n *Node) refused(kind poison.Kind) int {
	refused := 0
	for _, p := range n.poisonRecords() {
		if p.Kind == kind && !p.Lifted {
			refused++
		}
	}
	return refused
}

// poisonEntry is a record as operators see it.
type poisonEntry struct {
	Pool ident.PoolName `json:"pool"`
	// Part is the part, or Request the request's fingerprint, in hexadecimal.
	Part      string               `json:"part,omitempty"`
	Request   string               `json:"request,omitempty"`
	Route     ident.RouteName      `json:"route,omitempty"`
	Team      ident.TeamName       `json:"team,omitempty"`
	Since     time.Time            `json:"since"`
	Updated   time.Time            `json:"updated"`
	Ends      int                  `json:"ends"`
	Upstreams []ident.UpstreamName `json:"upstreams"`
	Trials    int                  `json:"trials"`
	// NextTrial is absent if there is none to come.
	NextTrial *time.Time `json:"next_trial,omitempty"`
	Lifted    bool       `json:"lifted"`
	By        string     `json:"by,omitempty"`
}

func newPoisonEntry(p poison.Record) poisonEntry {
	e := poisonEntry{
		Pool: p.Pool, Route: p.Route, Team: p.Team, Since: p.Since, Updated: p.Updated, Ends: p.Ends,
		Upstreams: p.Upstreams, Trials: p.Trials, Lifted: p.Lifted, By: p.By,
	}
	if !p.NextTrial.IsZero() {
		e.NextTrial = &p.NextTrial
	}
	if p.Kind == poison.KindRequest {
		e.Request = fmt.Sprintf("%016x", p.ID)
	} else {
		e.Part = strconv.FormatUint(p.ID, 16)
	}
	return e
}

// PoisonHandler lists the refused prompt parts and requests on GET. On DELETE it lifts
// the request that the field request names, or the part that the fields pool and part
// name.
func (n *Node) PoisonHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) {
		entries := []poisonEntry{}
		for _, p := range n.poisonRecords() {
			entries = append(entries, newPoisonEntry(p))
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(entries)
	})
	mux.HandleFunc("DELETE /", func(w http.ResponseWriter, r *http.Request) {
		kind, pool, text := poison.KindPart, ident.PoolName(r.FormValue("pool")), r.FormValue("part")
		if request := r.FormValue("request"); request != "" {
			kind, text = poison.KindRequest, request
		}
		id, err := strconv.ParseUint(text, 16, 64)
		if err == nil {
			err = n.liftPoison(kind, pool, id)
		}
		if err != nil {
			http.Error(w, fmt.Sprintf("%s %q of pool %q: %v", kind, text, pool, err), http.StatusNotFound)
		}
	})
	return mux
}

// liftPoison ends the refusal of a prompt part or request at an operator's request, at
// all nodes.
func (n *Node) liftPoison(kind poison.Kind, pool ident.PoolName, id uint64) error {
	n.poisonRecords()
	n.mu.Lock()
	p, refused := n.poison.Find(pool, id)
	if kind == poison.KindRequest {
		p, refused = n.poison.FindRequest(id)
	}
	n.mu.Unlock()
	if !refused {
		return fmt.Errorf("it is not refused")
	}
	lifted := p.Lift("an operator lifted it", time.Now())
	n.events.Record(timeline.Event{Kind: timeline.KindPoison, Pool: p.Pool, Detail: lifted.String()})
	n.learnPoison([]poison.Record{lifted})
	n.applyPools()
	n.triggerSync()
	return nil
}
