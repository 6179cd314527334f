package orders

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

var (
	checking = Engine{Address: "10.0.0.1:80", Name: "e1", Fencing: config.FencingChecked}
	ignoring = Engine{Address: "10.0.0.2:80", Name: "e2", Fencing: config.FencingIgnored}
)

func wantsV2(engines ...Engine) []Want {
	var ws []Want
	for _, e := range engines {
		ws = append(ws, Want{Address: e.Address, Versions: []ident.VersionName{"v2"}, Keep: []ident.VersionName{"v1"}})
	}
	return ws
}

func openOrder(n machine.FencingNumber, e Engine) machine.Order {
	return machine.Order{Number: n, IssueOrder: machine.IssueOrder{Upstream: e.Name, Kind: machine.OrderUnload, Subject: "v1"}}
}

func TestPlanner_NewLeaderWaitsForEnginesThatIgnoreNumbers(t *testing.T) {
	both := []Engine{checking, ignoring}
	open := []machine.Order{openOrder(7, checking), openOrder(8, ignoring)}
	o := Options{SendWindow: 5 * time.Second, RunBound: time.Minute, StoreBurst: 4}
	p := NewPlanner(2, both, open, o, 0)
	p.SetWants(both, wantsV2(both...))
	for _, e := range both {
		p.Observe(ReadBack{Address: e.Address, Versions: []ident.VersionName{"v1"}, AskedAt: time.Second}, time.Second)
	}
	due := p.Due(time.Second)
	must.SliceLen(t, 1, due)
	must.Eq(t, checking.Address, due[0].Address)
	must.True(t, p.Issued(due[0], 9, time.Second))
	p.Replied(due[0], Reply{Accepted: true, Highest: 9}, 2*time.Second)
	must.Eq(t, machine.FencingNumber(7), p.Ended()[0].Number)
	must.SliceEmpty(t, p.Due(time.Hour))
	p.Observe(ReadBack{Address: ignoring.Address, AskedAt: 64 * time.Second}, 66*time.Second)
	must.SliceEmpty(t, p.Due(time.Hour), must.Sprint("asked before the predecessor's order must have ended"))
	p.Observe(ReadBack{Address: ignoring.Address, AskedAt: 65 * time.Second}, 66*time.Second)
	must.Eq(t, ignoring.Address, p.Due(66 * time.Second)[0].Address)
	must.Eq(t, machine.FencingNumber(8), p.Ended()[0].Number)
}

func TestPlanner_LateWritingIsNotSent(t *testing.T) {
	p := NewPlanner(1, []Engine{checking}, nil, Options{SendWindow: 5 * time.Second}, 0)
	p.SetWants([]Engine{checking}, wantsV2(checking))
	p.Observe(ReadBack{Address: checking.Address}, 0)
	due := p.Due(0)
	must.False(t, p.Issued(due[0], 1, 5*time.Second))
	must.SliceLen(t, 1, p.Ended())
}

func TestPlanner_FailedWritingKeepsTheIdentity(t *testing.T) {
	p := NewPlanner(1, []Engine{checking}, nil, Options{}, 0)
	p.SetWants([]Engine{checking}, wantsV2(checking))
	p.Observe(ReadBack{Address: checking.Address}, 0)
	first := p.Due(0)[0]
	p.IssueFailed(first, 0)
	must.SliceEmpty(t, p.Due(time.Second))
	must.Eq(t, first, p.Due(DefaultRetryAfter)[0])
}

func TestPlanner_LoadsByDeadlineTakeTurns(t *testing.T) {
	var engines []Engine
	var ws []Want
	soon, late := time.Unix(1000, 0), time.Unix(2000, 0)
	for i, v := range []ident.VersionName{"late", "a", "a", "b", "b"} {
		e := Engine{Address: fmt.Sprintf("10.0.0.%d:80", i), Name: ident.UpstreamName(fmt.Sprint(i))}
		deadline := soon
		if v == "late" {
			deadline = late
		}
		engines = append(engines, e)
		ws = append(ws, Want{Address: e.Address, Versions: []ident.VersionName{v}, Deadline: deadline})
	}
	p := NewPlanner(1, engines, nil, Options{StoreInterval: 10 * time.Second, MaxLoads: 10}, 0)
	p.SetWants(engines, ws)
	for _, e := range engines {
		p.Observe(ReadBack{Address: e.Address}, 0)
	}
	var order []string
	for now := time.Duration(0); now < 50*time.Second; now += time.Second {
		for _, o := range p.Due(now) {
			order = append(order, o.Subject)
			must.Eq(t, time.Duration(len(order)-1)*10*time.Second, now)
		}
	}
	must.Eq(t, []string{"a", "b", "a", "b", "late"}, order)
}

func TestWants_KeepsWhatAnOpenMoveNeeds(t *testing.T) {
	deadline := time.Unix(1000, 0)
	c := &config.Config{
		Pools:     map[ident.PoolName]config.Pool{"p": {Kind: config.KindEngine, Version: "v1"}},
		Upstreams: map[ident.UpstreamName]config.Upstream{"e1": {Pool: "p", Version: "v2", Address: "x:1"}},
		Moves:     map[ident.MoveName]config.Move{"m": {Deadline: deadline}},
	}
	record := move.Record{Name: "m", Pool: "p", From: "v0", To: "v2", State: move.StateRamping}
	_, ws := Wants(c, []move.Record{record}, nil)
	must.Eq(t, deadline, ws[0].Deadline)
	must.SliceContains(t, ws[0].Keep, "v0")
	record.State = move.StateDone
	_, ws = Wants(c, []move.Record{record}, nil)
	must.SliceNotContains(t, ws[0].Keep, "v0")
}

// fakeWorld is a journal and a set of engines; answers are lost at times.
type fakeWorld struct {
	mu     sync.Mutex
	last   machine.FencingNumber
	open   map[machine.FencingNumber]bool
	ids    map[machine.OrderID]machine.FencingNumber
	loaded map[string][]ident.VersionName
	calls  int
	sent   []machine.FencingNumber
}

var errLost = errors.New("answer lost")

func (w *fakeWorld) lost() bool {
	w.calls++
	return w.calls%3 == 1
}

func (w *fakeWorld) IssueOrder(_ context.Context, o machine.IssueOrder) (machine.FencingNumber, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ids[o.ID] == 0 {
		w.last++
		w.ids[o.ID] = w.last
		w.open[w.last] = true
	}
	if w.lost() {
		return 0, errLost
	}
	return w.ids[o.ID], nil
}

func (w *fakeWorld) CompleteOrder(_ context.Context, c machine.CompleteOrder) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.open, c.Number)
	return nil
}

func (w *fakeWorld) Send(_ context.Context, o Order) (Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = append(w.sent, o.Number)
	if !w.open[o.Number] {
		return Reply{}, errors.New("sent without having been written down")
	}
	v := ident.VersionName(o.Subject)
	if o.Kind == machine.OrderLoad {
		w.loaded[o.Address] = append(w.loaded[o.Address], v)
	} else {
		w.loaded[o.Address] = slices.DeleteFunc(w.loaded[o.Address], func(x ident.VersionName) bool { return x == v })
	}
	if w.lost() {
		return Reply{}, errLost
	}
	return Reply{Accepted: true, Highest: o.Number}, nil
}

func (w *fakeWorld) Ask(_ context.Context, e Engine) (ReadBack, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return ReadBack{Versions: slices.Clone(w.loaded[e.Address])}, nil
}

func TestDriver_LostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWorld{
			open: map[machine.FencingNumber]bool{}, ids: map[machine.OrderID]machine.FencingNumber{},
			loaded: map[string][]ident.VersionName{checking.Address: {"v0"}, ignoring.Address: {"v1"}},
		}
		both := []Engine{checking, ignoring}
		source := func() ([]Engine, []Want) { return both, wantsV2(both...) }
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		NewDriver(1, nil, w, w, source, Options{}).Run(ctx)
		must.Eq(t, []ident.VersionName{"v2"}, w.loaded[checking.Address])
		must.Eq(t, []ident.VersionName{"v1", "v2"}, w.loaded[ignoring.Address])
		must.MapEmpty(t, w.open)
		must.SliceLen(t, 3, w.sent)
	})
}
