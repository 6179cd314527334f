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

// harness drives one move through random sequences of samples, ticks, late or
// lost commits, changes of readiness and fail-overs. committed is the record in
// the replicated log, which follows the rules of the state machine.
type harness struct {
	t                *rapid.T
	now              time.Time
	committed        move.Record
	epoch            ident.Epoch
	controller       *moves.Move
	proposed         *move.Record
	ready            []moves.Readiness
	model            model
	takeBackProposed bool
}

func (h *harness) failOver() {
	h.epoch++
	h.proposed = nil
	h.controller = moves.New(h.model.spec(), h.committed, moves.Options{Epoch: h.epoch, Routes: 2})
	h.controller.SetReadiness(h.ready, h.now)
	h.takeBackProposed = false
}

func (h *harness) tick() {
	if r := h.controller.Tick(h.now); r != nil {
		h.proposed = r
	}
}

// commit appends the last proposal to the log. If answered is false, the
// controller does not learn of it.
func (h *harness) commit(answered bool) {
	if h.proposed == nil {
		return
	}
	r := *h.proposed
	h.proposed = nil
	if h.committed.State.CanTransitionTo(r.State) && r.Epoch == h.epoch {
		h.committed = r
	}
	if answered {
		h.controller.Committed(h.committed, h.now)
	}
}

func (h *harness) check() {
	share, non := h.controller.Shares()
	committed := h.controller.Record()
	switch {
	case share < 0 || share > 1 || non < 0 || non > share:
		h.t.Fatalf("invalid shares: idempotent %v, non-idempotent %v", share, non)
	case committed.State != move.StateDone && (share > committed.Share || non > committed.NonIdempotentShare):
		h.t.Fatalf("shares %v and %v exceed the committed record %+v", share, non, committed)
	case h.committed.State == move.StateCanary && share > moves.MaxCanaryShare:
		h.t.Fatalf("canary share %v is too large", share)
	case h.committed.NonIdempotentShare > 0 && h.committed.Share < 1 && h.committed.State != move.StateTakenBack:
		h.t.Fatalf("non-idempotent traffic moved before all idempotent traffic: %+v", h.committed)
	case committed.State == move.StateTakenBack && share > 0:
		h.t.Fatalf("share %v after the move was taken back", share)
	case h.committed.State.Final() && committed.State.Final() && h.committed.State != committed.State:
		h.t.Fatalf("final state %s became %s", h.committed.State, committed.State)
	}
	if p := h.proposed; p != nil {
		h.checkProposal(*p)
	}
	if h.takeBackProposed && share > 0 && committed.State != move.StateDone {
		h.t.Fatalf("share %v after the controller proposed to take the move back", share)
	}
}

func (h *harness) checkProposal(p move.Record) {
	if p.State == move.StateTakenBack {
		h.takeBackProposed = true
		return
	}
	late := !h.now.Before(h.model.spec().Deadline)
	if late && p.At.Equal(h.now) {
		h.t.Fatalf("state %s proposed after the deadline", p.State)
	}
	if p.Share > max(2*h.controller.Record().Share, moves.MaxCanaryShare) {
		h.t.Fatalf("share grows too much in one step, from %v to %v", h.controller.Record().Share, p.Share)
	}
}

// checkDeadline advances the clock past the deadline and checks that a move
// that is not done is taken back.
func (h *harness) checkDeadline() {
	h.now = h.now.Add(h.model.deadline)
	h.tick()
	share, _ := h.controller.Shares()
	if h.controller.Record().State == move.StateDone {
		return
	}
	if share > 0 {
		h.t.Fatalf("share %v after the deadline in state %s", share, h.controller.Record().State)
	}
	if !h.controller.Record().State.Final() && (h.proposed == nil || h.proposed.State != move.StateTakenBack) {
		h.t.Fatalf("move not taken back after the deadline, proposed record: %+v", h.proposed)
	}
}

func (h *harness) samples(n int, newFails, oldFails bool) {
	for i := range n {
		version, failed := oldVersion, oldFails
		if i%2 == 0 {
			version, failed = newVersion, newFails
		}
		h.now = h.now.Add(20 * time.Millisecond)
		h.controller.Observe(moves.Sample{
			Route: ident.RouteName(fmt.Sprint("r", i/2%2)), Idempotent: i/2%2 == 0,
			Version: version, Upstream: ident.UpstreamName(version), Failed: failed,
			FirstToken: 100 * time.Millisecond, PromptTokens: 10, Load: 0.2,
		}, h.now)
	}
}

func (h *harness) setReady(versions ...ident.VersionName) {
	h.ready = nil
	for _, v := range versions {
		h.ready = append(h.ready, moves.Readiness{Version: v, Ready: 2, Capacity: 16})
	}
	if h.controller != nil {
		h.controller.SetReadiness(h.ready, h.now)
	}
}

// goodRounds runs n rounds of good samples, a tick and a commit.
func (h *harness) goodRounds(n int) {
	for range n {
		h.samples(120, false, false)
		h.now = h.now.Add(3 * time.Second)
		h.tick()
		h.check()
		h.commit(true)
		h.check()
	}
}

// startRecords returns records from which a new lease holder may resume a move.
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

// TestMove_StateMachine checks these rules after every step, with fail-overs at
// any time: the shares never exceed the committed ones, a canary share stays
// small, growth is bounded, non-idempotent traffic moves last, a version whose
// fault was detected gets no traffic, final states are final, and no move is
// completed after its deadline.
func TestMove_StateMachine(t *testing.T) {
	ends := make(map[move.State]int)
	rapid.Check(t, func(t *rapid.T) {
		m := defaultModel()
		m.deadline = 12 * time.Minute
		m.watch = 2 * time.Minute
		h := &harness{t: t, now: origin, model: m, committed: rapid.SampledFrom(startRecords(m)).Draw(t, "start")}
		h.setReady(oldVersion, newVersion)
		h.failOver()
		t.Repeat(map[string]func(*rapid.T){
			"good round":   func(t *rapid.T) { h.goodRounds(rapid.IntRange(1, 12).Draw(t, "rounds")) },
			"good rounds":  func(*rapid.T) { h.goodRounds(6) },
			"good samples": func(t *rapid.T) { h.samples(rapid.IntRange(1, 200).Draw(t, "n"), false, false) },
			"more samples": func(t *rapid.T) { h.samples(200, false, false) },
			"bad samples":  func(t *rapid.T) { h.samples(rapid.IntRange(1, 30).Draw(t, "n"), true, false) },
			"both fail":    func(*rapid.T) { h.samples(30, true, true) },
			"tick":         func(*rapid.T) { h.tick() },
			"step": func(*rapid.T) {
				h.now = h.now.Add(3 * time.Second)
				h.tick()
				h.commit(true)
			},
			"commit":      func(t *rapid.T) { h.commit(rapid.Bool().Draw(t, "answered")) },
			"wait":        func(*rapid.T) { h.now = h.now.Add(time.Minute) },
			"fail-over":   func(*rapid.T) { h.failOver() },
			"ready":       func(*rapid.T) { h.setReady(oldVersion, newVersion) },
			"old is gone": func(*rapid.T) { h.setReady(newVersion) },
			"new is gone": func(*rapid.T) { h.setReady(oldVersion) },
			"":            func(*rapid.T) { h.check() },
		})
		ends[h.committed.State]++
		h.checkDeadline()
	})
	t.Logf("runs by last state: %v", ends)
}

func TestMove_FailOverDoesNotResumeTakenBackMove(t *testing.T) {
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
		t.Fatalf("taken-back move has share %v in state %s", share, c.Record().State)
	}
}
