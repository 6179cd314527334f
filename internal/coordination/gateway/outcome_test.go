package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// keyWorld is one ledger, two gateways' ways to it, a scheduler and a service that
// counts the runs of the only key.
type keyWorld struct {
	mu     sync.Mutex
	ledger *ledger.Ledger
	runs   int
	// revoked is true once the lease of gateway a has been revoked.
	revoked bool
	// changeFrom and changeUntil bound the time without a leader.
	changeFrom, changeUntil time.Time
}

// keySend is one send of the key through one gateway, with the faults that it meets. It
// is the gateway's environment, ledger, placer and upstream.
type keySend struct {
	world   *keyWorld
	rand    *rand.Rand
	gateway ident.NodeID
	request *Request
	// cutFrom and cutUntil bound the time in which the gateway does not reach the ledger.
	cutFrom, cutUntil time.Time
	slow              time.Duration
	// runsSeen is the number of runs of the key when the ledger or the scheduler last
	// decided on this send, and sent the number of its own dispatches.
	runsSeen, sent int
	result         Result
}

// draw returns a number below n.
func (s *keySend) draw(n int) int {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return s.rand.IntN(n)
}

// decide applies a decision on this send at one moment and notes which runs preceded it.
func (s *keySend) decide(decision func()) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.runsSeen = s.world.runs
	decision()
}

// call makes a call to the ledger: cut, slow, or with a request or reply that is lost.
func (s *keySend) call(ctx context.Context, apply func(l *ledger.Ledger)) error {
	sleep(ctx, time.Duration(s.draw(int(s.slow))))
	now := time.Now()
	cut := now.After(s.cutFrom) && now.Before(s.cutUntil)
	leaderless := now.After(s.world.changeFrom) && now.Before(s.world.changeUntil)
	if fault := s.draw(10); cut || leaderless || fault == 0 {
		return errors.New("out of reach")
	}
	s.decide(func() { apply(s.world.ledger) })
	sleep(ctx, time.Duration(s.draw(int(s.slow))))
	if lost := s.draw(10); lost == 0 || ctx.Err() != nil {
		return errors.New("reply lost")
	}
	return nil
}

func (s *keySend) Lookup(ctx context.Context, k ledger.Key, wait time.Duration) (result ledger.ClaimResult, found bool, err error) {
	for end := time.Now().Add(wait); ; sleep(ctx, 50*time.Millisecond) {
		err = s.call(ctx, func(l *ledger.Ledger) {
			l.Advance(time.Now())
			result, found = l.Lookup(k)
		})
		if err != nil || !found || result.Verdict != ledger.VerdictRunning || !time.Now().Before(end) {
			return result, found, err
		}
	}
}

func (s *keySend) Claim(ctx context.Context, c ledger.Claim) (result ledger.ClaimResult, err error) {
	live := s.draw(10) > 0
	c.At = time.Now()
	err = s.call(ctx, func(l *ledger.Ledger) { result = l.Claim(c, live && !(s.world.revoked && s.gateway == "a")) })
	return result, err
}

func (s *keySend) Release(ctx context.Context, r ledger.Release) error {
	var outcome ledger.Outcome
	r.At = time.Now()
	err := s.call(ctx, func(l *ledger.Ledger) { outcome = l.Release(r) })
	if err == nil && outcome == ledger.OutcomeNotHeld {
		return errors.New("not held")
	}
	return err
}

func (s *keySend) Complete(ctx context.Context, c ledger.Complete) error {
	c.At = time.Now()
	return s.call(ctx, func(l *ledger.Ledger) { l.Complete(c) })
}

func (s *keySend) Place(ctx context.Context, t scheduler.Ticket, _ time.Time) (decision scheduler.Decision, err error) {
	sleep(ctx, time.Duration(s.draw(int(2*time.Second))))
	choice := s.draw(8)
	s.decide(func() {
		switch {
		case ctx.Err() != nil:
			err = ctx.Err()
		case choice < 2:
			reason := []scheduler.Reason{scheduler.ReasonOverload, scheduler.ReasonQuota}[choice]
			decision.Refusal = &scheduler.Refusal{Ticket: t.ID, Reason: reason}
		default:
			decision.Grant = &scheduler.Grant{Ticket: t.ID, Upstream: "u"}
		}
	})
	return decision, err
}

func (s *keySend) Send(ctx context.Context, _ Dispatch, sink AnswerSink) DispatchResult {
	outcome := []DispatchOutcome{DispatchComplete, DispatchUnsent, DispatchIncomplete}[s.draw(3)]
	if outcome == DispatchUnsent {
		return DispatchResult{Outcome: outcome, Err: errors.New("refused")}
	}
	s.decide(func() { s.world.runs++; s.sent++ })
	sleep(ctx, time.Duration(s.draw(int(time.Second))))
	_ = sink.Begin(AnswerHead{Status: 200})
	return DispatchResult{Outcome: outcome, Status: 200, Err: ctx.Err()}
}

func (s *keySend) Begin(ident.RequestID) scheduler.BeginResult {
	return []scheduler.BeginResult{scheduler.BeginSend, scheduler.BeginSend, scheduler.BeginLapsed, scheduler.BeginPaused}[s.draw(4)]
}

func (s *keySend) Placer(ident.PoolName) Placer {
	if s.draw(10) == 0 {
		return nil
	}
	return s
}

func (s *keySend) Fresh() bool                                 { return s.draw(8) > 0 }
func (s *keySend) Identity() (ident.NodeID, ident.Incarnation) { return s.gateway, 1 }
func (s *keySend) PoolUpstreams(ident.PoolName) []Target       { return nil }
func (s *keySend) Upstream(ident.UpstreamName) (config.Upstream, bool) {
	return config.Upstream{}, true
}
func (s *keySend) Status(context.Context, Dispatch) *ledger.Answer       { return nil }
func (s *keySend) Relayed(ident.RequestID, ident.NodeID)                 {}
func (s *keySend) FirstToken(ident.RequestID, int, time.Duration)        {}
func (s *keySend) Notice(ident.RequestID, scheduler.UpstreamNotice) bool { return false }
func (s *keySend) Finish(ident.RequestID, scheduler.Ending)              {}

// serve sends the key once, after a while, and waits for all commits.
func (s *keySend) serve(key string) {
	time.Sleep(time.Duration(s.draw(int(4 * time.Second))))
	now := time.Now()
	s.cutFrom = now.Add(time.Duration(s.draw(int(3 * time.Second))))
	s.cutUntil = s.cutFrom.Add(time.Duration(s.draw(int(3 * time.Second))))
	s.request.Key = key
	s.request.Deadline = now.Add(time.Second + time.Duration(s.draw(int(4*time.Second))))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.draw(4) == 0 {
		time.AfterFunc(time.Duration(s.draw(int(2*time.Second))), cancel)
	}
	room := int64(1 << 20)
	if s.draw(10) == 0 {
		room = 1
	}
	g := New(s, s, s, NewBudget(room, DefaultTeamShare), nil)
	s.decide(func() {})
	s.result = g.Serve(ctx, s.request, &memorySink{})
	awaitSettled(g)
}

// TestOutcome_NoNotRunForAKeyThatRan sends one key again and again through two gateways
// with a ledger that is cut off, slow or without a leader: it runs at most once, no
// refusal says "not run" of a key that ran, and none says "not sent" of a send that was.
func TestOutcome_NoNotRunForAKeyThatRan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seeds := rapid.SliceOfN(rapid.Uint64(), 2, 6).Draw(rt, "sends")
		slow := rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 2 * time.Second}).Draw(rt, "slow")
		leaderless := rapid.IntRange(0, 4).Draw(rt, "seconds without a leader")
		entries := rapid.SampledFrom([]int{0, 1, 100}).Draw(rt, "room for entries")
		revokeAfter := rapid.IntRange(0, 5).Draw(rt, "seconds until a lease is revoked")
		world := &keyWorld{}
		var sends []*keySend
		synctest.Test(t, func(*testing.T) {
			limits := ledger.DefaultLimits()
			limits.MaxEntries = entries
			world.ledger = ledger.New(limits)
			world.changeFrom = time.Now().Add(2 * time.Second)
			world.changeUntil = world.changeFrom.Add(time.Duration(leaderless) * time.Second)
			if revokeAfter > 0 {
				time.AfterFunc(time.Duration(revokeAfter)*time.Second, func() {
					world.mu.Lock()
					defer world.mu.Unlock()
					world.revoked = true
					world.ledger.Revoke("a", 1)
				})
			}
			key := keyIssuedAt(time.Now())
			var all sync.WaitGroup
			for i, seed := range seeds {
				s := &keySend{
					world: world, rand: rand.New(rand.NewPCG(seed, 1)), gateway: ident.NodeID([]string{"a", "b"}[i%2]), slow: slow,
					request: &Request{ID: ident.RequestID(fmt.Sprint("r", i)), Body: []byte("body"), Digest: ledger.Digest{1}},
				}
				sends = append(sends, s)
				all.Go(func() { s.serve(key) })
			}
			all.Wait()
			time.Sleep(10 * time.Second)
		})
		must.LessEq(rt, 1, world.runs, must.Sprint("the key ran twice"))
		for _, s := range sends {
			if s.result.Failure == nil {
				continue
			}
			switch OutcomeOf(s.request, s.result.Failure) {
			case OutcomeNotRun:
				must.Zero(rt, s.runsSeen, must.Sprintf("%s through %s: not_run of a key that ran: %s", s.request.ID, s.gateway, s.result.Failure))
				must.Zero(rt, s.sent)
			case OutcomeNotSent:
				must.Zero(rt, s.sent, must.Sprintf("%s: not_sent of a send that was: %s", s.request.ID, s.result.Failure))
			}
		}
	})
}

// keyIssuedAt returns a UUIDv7 that was issued at the given time.
func keyIssuedAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	return id.String()
}
