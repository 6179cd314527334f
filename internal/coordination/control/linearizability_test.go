package control

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
)

// history records operations for a linearizability check. An operation of unknown
// outcome may take effect at any time after its call.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) add(client int, input any, call time.Time, output any, returned time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: input, Call: call.UnixNano(), Output: output, Return: returned.UnixNano(),
	})
}

// farFuture is the return time of operations whose outcome is unknown.
var farFuture = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// record runs one call and records it unless it certainly had no effect. output
// is valid only if known is true.
func (h *history) record(n *network, client int, input any, run func() (Status, string)) (output string, known bool) {
	call := time.Now()
	n.delay()
	status, output := run()
	n.delay()
	lost := n.intN(12) == 0
	switch {
	case status.NotLeader:
		return "", false
	case status.Uncertain || lost:
		h.add(client, input, call, "?", farFuture)
		return "", false
	}
	h.add(client, input, call, output, time.Now())
	return output, true
}

// ledgerInput is one operation on a key.
type ledgerInput struct {
	kind    string
	key     ledger.Key
	gateway ident.NodeID
	request ident.RequestID
	attempt uint32
}

// ledgerState is the model's state of one key.
type ledgerState struct {
	state   string
	gateway ident.NodeID
	request ident.RequestID
	attempt uint32
	body    string
	// expiredGateway is the gateway whose lease has ended.
	expiredGateway ident.NodeID
}

// stepLedger returns the expected output of an operation on one key, and the next
// state.
func stepLedger(s ledgerState, in ledgerInput) (string, ledgerState) {
	same := s.request == in.request
	switch in.kind {
	case "expire":
		if s.expiredGateway = in.gateway; s.state == "running" && s.gateway == in.gateway {
			s.state = "lost"
		}
		return "", s
	case "claim":
		switch {
		case in.gateway == s.expiredGateway, s.state == "" && same && in.attempt <= s.attempt && s.request != "":
			return string(ledger.VerdictStale), s
		case s.state == "":
			s.state, s.gateway, s.request, s.attempt = "running", in.gateway, in.request, in.attempt
			return string(ledger.VerdictGranted), s
		case s.state == "running" && same && s.gateway == in.gateway && s.attempt == in.attempt:
			return string(ledger.VerdictGranted), s
		case s.state == "running":
			return string(ledger.VerdictRunning), s
		case s.state == "recorded":
			return string(ledger.VerdictRecorded) + s.body, s
		}
		return string(ledger.VerdictMayHaveRun), s
	case "release":
		switch {
		case s.request != "" && (!same || s.attempt != in.attempt):
			return string(ledger.OutcomeNotHeld), s
		case s.state == "recorded":
			return string(ledger.OutcomeKnown), s
		}
		s.state, s.request, s.attempt = "", in.request, in.attempt
		return string(ledger.OutcomeDone), s
	}
	switch { // complete
	case s.state == "" || !same:
		return string(ledger.OutcomeNotHeld), s
	case s.state == "recorded":
		return string(ledger.OutcomeKnown), s
	}
	s.state, s.body = "recorded", string(in.request)
	return string(ledger.OutcomeDone), s
}

var ledgerModel = porcupine.Model{
	Init: func() any { return ledgerState{} },
	Step: func(state, input, output any) (bool, any) {
		want, next := stepLedger(state.(ledgerState), input.(ledgerInput))
		return output == "?" || output == want, next
	},
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[ledger.Key][]porcupine.Operation{}
		for _, op := range ops {
			key := op.Input.(ledgerInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
}

// call sends the operation to the leading service.
func (in ledgerInput) call(s *Service) (Status, string) {
	if in.kind == "claim" {
		var reply ClaimReply
		claim := ledger.Claim{Key: in.key, Gateway: in.gateway, Incarnation: 1, Request: in.request, Attempt: in.attempt}
		_ = s.Claim(&ClaimArgs{Claim: claim}, &reply)
		body := ""
		if reply.Result.Answer != nil {
			body = string(reply.Result.Answer.Body)
		}
		return reply.Status, string(reply.Result.Verdict) + body
	}
	var reply LedgerReply
	if in.kind == "release" {
		_ = s.Release(&ReleaseArgs{Release: ledger.Release{Key: in.key, Request: in.request, Attempt: in.attempt}}, &reply)
	} else {
		answer := &ledger.Answer{Status: 200, Body: []byte(in.request)}
		_ = s.Complete(&CompleteArgs{Complete: ledger.Complete{Key: in.key, Request: in.request, Answer: answer}}, &reply)
	}
	return reply.Status, string(reply.Outcome)
}

// runGateway claims, resends, releases and completes requests with few keys.
func (h *history) runGateway(n *network, client int, id ident.NodeID, keys []ledger.Key) {
	for i := range 12 {
		time.Sleep(time.Duration(n.intN(400)) * time.Millisecond)
		in := ledgerInput{"claim", keys[n.intN(len(keys))], id, ident.RequestID(fmt.Sprint(id, "-", i)), 0}
		granted := false
		for try := 0; try < 4 && !granted; try++ {
			verdict, known := h.record(n, client, in, func() (Status, string) { return in.call(n.leaderService()) })
			granted = verdict == string(ledger.VerdictGranted)
			if known && !granted {
				break
			}
		}
		in.kind = []string{"release", "complete", "none"}[n.intN(3)]
		if !granted && in.kind != "none" {
			in.kind = "release"
		}
		for try := 0; try < 2 && in.kind != "none"; try++ {
			h.record(n, client, in, func() (Status, string) { return in.call(n.leaderService()) })
		}
		if n.intN(3) == 0 {
			// A copy of the claim that the network delayed.
			in.kind = "claim"
			h.record(n, client, in, func() (Status, string) { return in.call(n.leaderService()) })
		}
	}
}

// seeds returns the seeds of the test runs: count numbers from 1, or from
// FLAMINGOHAVEN_SEED if set.
func seeds(t *testing.T, count uint64) []uint64 {
	first := uint64(1)
	if text, set := os.LookupEnv("FLAMINGOHAVEN_SEED"); set {
		n, err := strconv.ParseUint(text, 10, 64)
		must.NoError(t, err)
		first = n
	}
	list := make([]uint64, count)
	for i := range list {
		list[i] = first + uint64(i)
	}
	return list
}

// TestLedger_LinearizableUnderFaults has gateways compete for few keys while
// replies are lost, leaders change and one gateway crashes.
func TestLedger_LinearizableUnderFaults(t *testing.T) {
	for _, seed := range seeds(t, 10) {
		synctest.Test(t, func(t *testing.T) {
			b := newBackground(t)
			n := newNetwork(seed)
			crashing := newBackground(t)
			n.start(t, b, "g1", "g2", "g3")
			n.start(t, crashing, "g4")
			time.Sleep(2 * time.Second)
			keys := []ledger.Key{newKey(1), newKey(2), newKey(3), newKey(4), newKey(5), newKey(6)}
			h := &history{}
			var clients sync.WaitGroup
			for i, id := range []ident.NodeID{"g1", "g2", "g3", "g4"} {
				clients.Go(func() { h.runGateway(n, i, id, keys) })
			}
			time.Sleep(time.Second)
			crashedAt := time.Now()
			crashing.stop()
			clients.Wait()
			time.Sleep(5 * time.Second)
			for _, key := range keys {
				h.add(4, ledgerInput{kind: "expire", key: key, gateway: "g4"}, crashedAt, "?", time.Now())
			}
			b.stop()
			must.True(t, porcupine.CheckOperations(ledgerModel, h.ops))
		})
	}
}

// configInput is one operation on the configuration; an empty id stands for a
// read.
type configInput struct {
	id   config.OperationID
	base ident.Revision
}

// configState is the model's state: the current revision, its author, and the
// first outcome of every operation as "\nID=OUTCOME\n" lines.
type configState struct {
	revision ident.Revision
	who      config.OperationID
	first    string
}

func stepConfig(s configState, in configInput) (string, configState) {
	if in.id == "" {
		return fmt.Sprint(s.revision), s
	}
	if _, rest, known := strings.Cut(s.first, "\n"+string(in.id)+"="); known {
		outcome, _, _ := strings.Cut(rest, "\n")
		return outcome, s
	}
	outcome := fmt.Sprint(config.VerdictConflict, " ", s.revision, " ", s.who)
	if in.base == s.revision {
		s.revision++
		s.who = in.id
		outcome = fmt.Sprint(config.VerdictAccepted, " ", s.revision, " ", s.who)
	}
	s.first += "\n" + string(in.id) + "=" + outcome + "\n"
	return outcome, s
}

var configModel = porcupine.Model{
	Init: func() any { return configState{} },
	Step: func(state, input, output any) (bool, any) {
		want, next := stepConfig(state.(configState), input.(configInput))
		return output == "?" || output == want, next
	},
}

// runOperator reads the revision, applies a change on top of it and resends the
// change.
func (h *history) runOperator(n *network, client int) {
	for i := range 5 {
		base := ident.Revision(0)
		h.record(n, client, configInput{}, func() (Status, string) {
			var reply ShowConfigReply
			_ = n.leaderService().ShowConfig(&ShowConfigArgs{}, &reply)
			base = reply.Revision
			return reply.Status, fmt.Sprint(reply.Revision)
		})
		in := configInput{config.OperationID(fmt.Sprint("op", client, "-", i)), base}
		args := sampleArgs(in.id, base, fmt.Sprintf("teams: {north: {shares: %d}}", 1+client*10+i))
		args.Who = string(in.id)
		args.Wait = time.Nanosecond
		for range 3 {
			h.record(n, client, in, func() (Status, string) {
				var reply ApplyConfigReply
				_ = n.leaderService().ApplyConfig(args, &reply)
				return reply.Status, fmt.Sprint(reply.Outcome.Verdict, " ", reply.Outcome.Revision, " ", reply.Outcome.Who)
			})
		}
	}
}

// TestConfig_LinearizableUnderFaults has operators apply changes to the same base
// and resend them after lost replies while leaders change.
func TestConfig_LinearizableUnderFaults(t *testing.T) {
	for _, seed := range seeds(t, 10) {
		synctest.Test(t, func(t *testing.T) {
			b := newBackground(t)
			n := newNetwork(seed)
			n.start(t, b, "g1")
			time.Sleep(2 * time.Second)
			h := &history{}
			var operators sync.WaitGroup
			for i := range 3 {
				operators.Go(func() { h.runOperator(n, i) })
			}
			operators.Wait()
			b.stop()
			must.True(t, porcupine.CheckOperations(configModel, h.ops))
		})
	}
}
