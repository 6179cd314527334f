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
	checkingEngine = Engine{Address: "10.0.0.1:80", Name: "e1", Fencing: config.FencingChecked}
	ignoringEngine = Engine{Address: "10.0.0.2:80", Name: "e2", Fencing: config.FencingIgnored}
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

func TestPlanner_NewLeaderWaitsForEnginesThatIgnoreFencing(t *testing.T) {
	both := []Engine{checkingEngine, ignoringEngine}
	open := []machine.Order{openOrder(7, checkingEngine), openOrder(8, ignoringEngine)}
	o := Options{SendWindow: 5 * time.Second, RunTimeout: time.Minute, StoreBurst: 4}
	p := NewPlanner(2, both, open, o, 0)
	p.SetWants(both, wantsV2(both...))
	for _, e := range both {
		p.Observe(ReadBack{Address: e.Address, Versions: []ident.VersionName{"v1"}, AskedAt: time.Second}, time.Second)
	}
	due := p.Due(time.Second)
	must.SliceLen(t, 1, due)
	must.Eq(t, checkingEngine.Address, due[0].Address)
	must.True(t, p.Issued(due[0], 9, time.Second))
	p.Replied(due[0], Reply{Accepted: true, Highest: 9}, 2*time.Second)
	must.Eq(t, machine.FencingNumber(7), p.Ended()[0].Number)
	must.SliceEmpty(t, p.Due(time.Hour))
	p.Observe(ReadBack{Address: ignoringEngine.Address, AskedAt: 64 * time.Second}, 66*time.Second)
	must.SliceEmpty(t, p.Due(time.Hour), must.Sprint("read-back was requested before the predecessor's order must have ended"))
	p.Observe(ReadBack{Address: ignoringEngine.Address, AskedAt: 65 * time.Second}, 66*time.Second)
	must.Eq(t, ignoringEngine.Address, p.Due(66 * time.Second)[0].Address)
	must.Eq(t, machine.FencingNumber(8), p.Ended()[0].Number)
}

func TestPlanner_LateCommitIsNotSent(t *testing.T) {
	p := NewPlanner(1, []Engine{checkingEngine}, nil, Options{SendWindow: 5 * time.Second}, 0)
	p.SetWants([]Engine{checkingEngine}, wantsV2(checkingEngine))
	p.Observe(ReadBack{Address: checkingEngine.Address}, 0)
	due := p.Due(0)
	must.False(t, p.Issued(due[0], 1, 5*time.Second))
	must.SliceLen(t, 1, p.Ended())
}

func TestPlanner_FailedIssueKeepsOrderID(t *testing.T) {
	p := NewPlanner(1, []Engine{checkingEngine}, nil, Options{}, 0)
	p.SetWants([]Engine{checkingEngine}, wantsV2(checkingEngine))
	p.Observe(ReadBack{Address: checkingEngine.Address}, 0)
	first := p.Due(0)[0]
	p.IssueFailed(first, 0)
	must.SliceEmpty(t, p.Due(time.Second))
	must.Eq(t, first, p.Due(DefaultRetryAfter)[0])
}

func TestPlanner_LoadsOfOneDeadlineAlternate(t *testing.T) {
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

// fakeCluster is a journal and a set of engines. One answer in three of
// IssueOrder and Send is lost.
type fakeCluster struct {
	mu     sync.Mutex
	last   machine.FencingNumber
	open   map[machine.FencingNumber]bool
	ids    map[machine.OrderID]machine.FencingNumber
	loaded map[string][]ident.VersionName
	calls  int
	sent   []machine.FencingNumber
}

var errLost = errors.New("answer lost")

func (f *fakeCluster) loseAnswer() bool {
	f.calls++
	return f.calls%3 == 1
}

func (f *fakeCluster) IssueOrder(_ context.Context, o machine.IssueOrder) (machine.FencingNumber, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ids[o.ID] == 0 {
		f.last++
		f.ids[o.ID] = f.last
		f.open[f.last] = true
	}
	if f.loseAnswer() {
		return 0, errLost
	}
	return f.ids[o.ID], nil
}

func (f *fakeCluster) CompleteOrder(_ context.Context, c machine.CompleteOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, c.Number)
	return nil
}

func (f *fakeCluster) Send(_ context.Context, o Order) (Reply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, o.Number)
	if !f.open[o.Number] {
		return Reply{}, errors.New("order was sent without being committed to the journal")
	}
	v := ident.VersionName(o.Subject)
	if o.Kind == machine.OrderLoad {
		f.loaded[o.Address] = append(f.loaded[o.Address], v)
	} else {
		f.loaded[o.Address] = slices.DeleteFunc(f.loaded[o.Address], func(x ident.VersionName) bool { return x == v })
	}
	if f.loseAnswer() {
		return Reply{}, errLost
	}
	return Reply{Accepted: true, Highest: o.Number}, nil
}

func (f *fakeCluster) ReadBack(_ context.Context, e Engine) (ReadBack, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ReadBack{Versions: slices.Clone(f.loaded[e.Address])}, nil
}

func TestDriver_LostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCluster{
			open: map[machine.FencingNumber]bool{}, ids: map[machine.OrderID]machine.FencingNumber{},
			loaded: map[string][]ident.VersionName{checkingEngine.Address: {"v0"}, ignoringEngine.Address: {"v1"}},
		}
		both := []Engine{checkingEngine, ignoringEngine}
		source := func() ([]Engine, []Want) { return both, wantsV2(both...) }
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
		defer cancel()
		NewDriver(1, nil, f, f, source, Options{}).Run(ctx)
		must.Eq(t, []ident.VersionName{"v2"}, f.loaded[checkingEngine.Address])
		must.Eq(t, []ident.VersionName{"v1", "v2"}, f.loaded[ignoringEngine.Address])
		must.MapEmpty(t, f.open)
		must.SliceLen(t, 3, f.sent)
	})
}
