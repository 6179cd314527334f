package moves_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/coordination/moves"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
)

// world drives one move through any order of samples, ticks, commits that come
// late or are lost, readiness that comes and goes, and fail-overs. log is the
// replicated log: it follows the rules of the state machine.
type world struct {
	t        *rapid.T
	now      time.Time
	log      move.Record
	epoch    ident.Epoch
	c        *moves.Move
	proposed *move.Record
	ready    []moves.Readiness
	model    model
	taken    bool
}

func (w *world) failOver() {
	w.epoch++
	w.proposed = nil
	w.c = moves.New(w.model.spec(), w.log, moves.Options{Epoch: w.epoch, Routes: 2})
	w.c.SetReadiness(w.ready, w.now)
	w.taken = false
}

func (w *world) tick() {
	if r := w.c.Tick(w.now); r != nil {
		w.proposed = r
	}
}

// commit appends the last proposal; the answer may be lost.
func (w *world) commit(answered bool) {
	if w.proposed == nil {
		return
	}
	r := *w.proposed
	w.proposed = nil
	if w.log.State.MayFollow(r.State) && r.Epoch == w.epoch {
		w.log = r
	}
	if answered {
		w.c.Committed(w.log, w.now)
	}
}

func (w *world) check() {
	share, non := w.c.Shares()
	committed := w.c.Record()
	switch {
	case share < 0 || share > 1 || non < 0 || non > share:
		w.t.Fatalf("shares %v and %v", share, non)
	case committed.State != move.StateDone && (share > committed.Share || non > committed.NonIdempotentShare):
		w.t.Fatalf("shares %v, %v exceed the committed %+v", share, non, committed)
	case w.log.State == move.StateCanary && share > moves.MaxCanaryShare:
		w.t.Fatalf("canary share %v", share)
	case w.log.NonIdempotentShare > 0 && w.log.Share < 1 && w.log.State != move.StateTakenBack:
		w.t.Fatalf("non-idempotent traffic before the rest: %+v", w.log)
	case committed.State == move.StateTakenBack && share > 0:
		w.t.Fatalf("taken back with share %v", share)
	case w.log.State.Final() && committed.State.Final() && w.log.State != committed.State:
		w.t.Fatalf("final state %s became %s", w.log.State, committed.State)
	}
	if p := w.proposed; p != nil {
		w.checkProposal(*p)
	}
	if w.taken && share > 0 && committed.State != move.StateDone {
		w.t.Fatalf("share %v after the fault showed", share)
	}
}

func (w *world) checkProposal(p move.Record) {
	if p.State == move.StateTakenBack {
		w.taken = true
		return
	}
	late := !w.now.Before(w.model.spec().Deadline)
	if late && p.At.Equal(w.now) {
		w.t.Fatalf("%s proposed after the deadline", p.State)
	}
	if p.Share > max(2*w.c.Record().Share, moves.MaxCanaryShare) {
		w.t.Fatalf("share grows from %v to %v", w.c.Record().Share, p.Share)
	}
}

// checkDeadline passes the deadline: a move that is not done is taken back.
func (w *world) checkDeadline() {
	w.now = w.now.Add(w.model.deadline)
	w.tick()
	share, _ := w.c.Shares()
	if w.c.Record().State == move.StateDone {
		return
	}
	if share > 0 {
		w.t.Fatalf("share %v after the deadline in state %s", share, w.c.Record().State)
	}
	if !w.c.Record().State.Final() && (w.proposed == nil || w.proposed.State != move.StateTakenBack) {
		w.t.Fatalf("not taken back after the deadline: %+v", w.proposed)
	}
}

func (w *world) samples(n int, newFails, oldFails bool) {
	for i := range n {
		version, failed := oldVersion, oldFails
		if i%2 == 0 {
			version, failed = newVersion, newFails
		}
		w.now = w.now.Add(20 * time.Millisecond)
		w.c.Observe(moves.Sample{
			Route: ident.RouteName(fmt.Sprint("r", i/2%2)), Idempotent: i/2%2 == 0,
			Version: version, Upstream: ident.UpstreamName(version), Failed: failed,
			FirstToken: 100 * time.Millisecond, PromptTokens: 10, Load: 0.2,
		}, w.now)
	}
}

func (w *world) setReady(versions ...ident.VersionName) {
	w.ready = nil
	for _, v := range versions {
		w.ready = append(w.ready, moves.Readiness{Version: v, Ready: 2, Capacity: 16})
	}
	if w.c != nil {
		w.c.SetReadiness(w.ready, w.now)
	}
}

// goodRounds lets a good version go ahead for some steps.
func (w *world) goodRounds(n int) {
	for range n {
		w.samples(120, false, false)
		w.now = w.now.Add(3 * time.Second)
		w.tick()
		w.check()
		w.commit(true)
		w.check()
	}
}

// startRecords returns records from which a new holder may resume.
func startRecords(m model) []move.Record {
	var rs []move.Record
	for _, r := range []move.Record{
		{State: move.StatePending},
		{State: move.StateCanary, Share: 0.05},
		{State: move.StateRamping, Share: 0.4},
		{State: move.StateRamping, Share: 1, NonIdempotentShare: 0.1},
		{State: move.StateWatching, Share: 1, NonIdempotentShare: 1},
	} {
		first := pendingRecord(m)
		first.State, first.Share, first.NonIdempotentShare = r.State, r.Share, r.NonIdempotentShare
		rs = append(rs, first)
	}
	return rs
}

// TestMove_StateMachine checks at every step, with fail-over at any of them:
// the shares never exceed the committed ones, a canary stays small, growth is
// bounded, non-idempotent traffic moves last, nothing goes to a version whose
// fault has shown, final states are final, and no move ends well too late.
func TestMove_StateMachine(t *testing.T) {
	ends := make(map[move.State]int)
	rapid.Check(t, func(t *rapid.T) {
		m := defaultModel()
		m.deadline = 12 * time.Minute
		m.watch = 2 * time.Minute
		w := &world{t: t, now: origin, model: m, log: rapid.SampledFrom(startRecords(m)).Draw(t, "start")}
		w.setReady(oldVersion, newVersion)
		w.failOver()
		t.Repeat(map[string]func(*rapid.T){
			"good round":   func(t *rapid.T) { w.goodRounds(rapid.IntRange(1, 12).Draw(t, "rounds")) },
			"good rounds":  func(*rapid.T) { w.goodRounds(6) },
			"good samples": func(t *rapid.T) { w.samples(rapid.IntRange(1, 200).Draw(t, "n"), false, false) },
			"more samples": func(t *rapid.T) { w.samples(200, false, false) },
			"bad samples":  func(t *rapid.T) { w.samples(rapid.IntRange(1, 30).Draw(t, "n"), true, false) },
			"both fail":    func(*rapid.T) { w.samples(30, true, true) },
			"tick":         func(*rapid.T) { w.tick() },
			"step": func(*rapid.T) {
				w.now = w.now.Add(3 * time.Second)
				w.tick()
				w.commit(true)
			},
			"commit":      func(t *rapid.T) { w.commit(rapid.Bool().Draw(t, "answered")) },
			"wait":        func(*rapid.T) { w.now = w.now.Add(time.Minute) },
			"fail-over":   func(*rapid.T) { w.failOver() },
			"ready":       func(*rapid.T) { w.setReady(oldVersion, newVersion) },
			"old is gone": func(*rapid.T) { w.setReady(newVersion) },
			"new is gone": func(*rapid.T) { w.setReady(oldVersion) },
			"":            func(*rapid.T) { w.check() },
		})
		ends[w.log.State]++
		w.checkDeadline()
	})
	t.Logf("histories by last state: %v", ends)
}

func TestMove_FailOverNeverRevivesATakenBackMove(t *testing.T) {
	m := defaultModel()
	r := pendingRecord(m)
	r.State = move.StateTakenBack
	c := moves.New(m.spec(), r, moves.Options{Epoch: 9})
	c.SetReadiness([]moves.Readiness{{Version: newVersion, Ready: 4, Capacity: 40}}, origin)
	grow := r
	grow.State, grow.Share, grow.Epoch = move.StateRamping, 0.5, 9
	c.Committed(grow, origin)
	share, _ := c.Shares()
	if share != 0 || c.Record().State != move.StateTakenBack || c.Tick(origin) != nil {
		t.Fatalf("share %v in state %s", share, c.Record().State)
	}
}
