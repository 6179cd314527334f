package ledger

import (
	"encoding/binary"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// event is a state change of a key in the oracle.
type event struct {
	kind    string
	gateway ident.NodeID
	request ident.RequestID
	attempt uint32
	digest  Digest
	body    string
}

// oracle is a reference implementation of the ledger. It keeps all events of all
// keys and derives verdicts by replaying them from the start.
type oracle struct {
	now    time.Time
	limits Limits
	events map[Key][]event
	issued map[Key]time.Time
}

// keyState is the state of a key after replaying its events.
type keyState struct {
	event
	state string
}

// replay returns the state of a key after all its events.
func (o *oracle) replay(k Key) keyState {
	h := keyState{state: "free"}
	for _, e := range o.events[k] {
		switch e.kind {
		case "grant":
			h = keyState{event: e, state: "running"}
		case "release":
			h.state, h.request, h.attempt = "free", e.request, e.attempt
		case "lost", "unknown":
			h.state = e.kind
		case "answer":
			h.state, h.body = "recorded", e.body
		}
	}
	return h
}

// windowVerdict returns the verdict for a key outside the retention window, or ""
// for a key inside it.
func (o *oracle) windowVerdict(k Key) Verdict {
	issued := o.issued[k]
	switch {
	case issued.After(o.now.Add(o.limits.MaxSkew)):
		return VerdictMalformed
	case !issued.Add(o.limits.Retention).After(o.now):
		return VerdictExpired
	}
	return ""
}

// size returns the number of keys that have events and are inside the retention
// window.
func (o *oracle) size() int {
	n := 0
	for k := range o.events {
		if o.issued[k].Add(o.limits.Retention).After(o.now) {
			n++
		}
	}
	return n
}

func (o *oracle) add(k Key, e event) { o.events[k] = append(o.events[k], e) }

func (o *oracle) claim(c Claim, live bool) Verdict {
	if !live {
		return VerdictStale
	}
	if v := o.windowVerdict(c.Key); v != "" {
		return v
	}
	h := o.replay(c.Key)
	switch {
	case len(o.events[c.Key]) == 0 && o.size() >= o.limits.MaxEntries:
		return VerdictFull
	case h.digest != (Digest{}) && h.digest != c.Digest:
		return VerdictMismatch
	case h.state == "free" && h.request == c.Request && c.Attempt <= h.attempt:
		return VerdictStale
	case h.state == "free":
		o.add(c.Key, event{"grant", c.Gateway, c.Request, c.Attempt, c.Digest, ""})
		return VerdictGranted
	case h.state == "running" && h.gateway == c.Gateway && h.request == c.Request && h.attempt == c.Attempt:
		return VerdictGranted
	case h.state == "running":
		return VerdictRunning
	case h.state == "recorded":
		return VerdictRecorded
	}
	return VerdictMayHaveRun
}

func (o *oracle) release(r Release) Outcome {
	h := o.replay(r.Key)
	none := len(o.events[r.Key]) == 0
	switch {
	case o.windowVerdict(r.Key) != "", none && o.size() >= o.limits.MaxEntries:
		return OutcomeNotHeld
	case !none && (h.request != r.Request || h.attempt != r.Attempt):
		return OutcomeNotHeld
	case h.state == "recorded" || h.state == "unknown":
		return OutcomeKnown
	}
	o.add(r.Key, event{kind: "release", request: r.Request, attempt: r.Attempt})
	return OutcomeDone
}

func (o *oracle) complete(c Complete) Outcome {
	h := o.replay(c.Key)
	switch {
	case o.windowVerdict(c.Key) != "" || h.state == "free" || h.request != c.Request:
		return OutcomeNotHeld
	case h.state == "recorded":
		return OutcomeKnown
	case c.Answer == nil:
		o.add(c.Key, event{kind: "unknown"})
	default:
		o.add(c.Key, event{kind: "answer", body: string(c.Answer.Body)})
	}
	return OutcomeDone
}

func (o *oracle) resolve(r Resolve) Outcome {
	h := o.replay(r.Key)
	switch {
	case o.windowVerdict(r.Key) != "" || h.state == "free" || h.state == "running":
		return OutcomeNotHeld
	case h.state == "recorded":
		return OutcomeKnown
	}
	o.add(r.Key, event{kind: "answer", body: string(r.Answer.Body)})
	return OutcomeDone
}

func (o *oracle) revoke(gateway ident.NodeID) {
	for k := range o.events {
		if h := o.replay(k); h.state == "running" && h.gateway == gateway {
			o.add(k, event{kind: "lost"})
		}
	}
}

// testKey returns the nth key with the given time of issue.
func testKey(issued time.Time, n uint32) Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(issued.UnixMilli())<<16)
	binary.BigEndian.PutUint32(id[12:], n)
	id[6] |= 0x70
	id[8] |= 0x80
	return Key{Team: "north", Route: "submit", Idempotency: id.String()}
}

// TestLedger_AgreesWithOracle applies the same random commands to a ledger and to
// the oracle, which must agree on every result. The ledger is also saved and
// restored at random points.
func TestLedger_AgreesWithOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Retention: time.Minute, MaxSkew: 5 * time.Second, MaxEntries: 4, MaxBytes: 1 << 20, MaxAnswerBytes: 64}
		start := time.UnixMilli(1_800_000_000_000)
		o := &oracle{now: start, limits: limits, events: make(map[Key][]event), issued: make(map[Key]time.Time)}
		l := New(limits)
		l.Advance(start)
		var keys []Key
		for i := range 6 {
			issued := start.Add(time.Duration(i-2) * 5 * time.Second)
			keys = append(keys, testKey(issued, uint32(i)))
			o.issued[keys[i]] = issued
		}
		key := func() Key { return rapid.SampledFrom(keys).Draw(t, "key") }
		request := func() ident.RequestID { return rapid.SampledFrom([]ident.RequestID{"q1", "q2"}).Draw(t, "request") }
		attempt := func() uint32 { return rapid.Uint32Range(0, 1).Draw(t, "attempt") }
		gateway := func() ident.NodeID { return rapid.SampledFrom([]ident.NodeID{"g1", "g2"}).Draw(t, "gateway") }
		body := func() []byte { return []byte(rapid.SampledFrom([]string{"", "yes", "no"}).Draw(t, "body")) }
		// A proposer whose clock lags must not turn the ledger's clock back.
		at := func() time.Time { return o.now.Add(rapid.SampledFrom([]time.Duration{0, -time.Hour}).Draw(t, "lag")) }
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				c := Claim{Key: key(), Digest: Digest{rapid.SampledFrom([]byte{1, 1, 1, 2}).Draw(t, "digest")}, Gateway: gateway(), Request: request(), Attempt: attempt(), At: at()}
				live := rapid.IntRange(0, 9).Draw(t, "live") > 0
				got := l.Claim(c, live)
				must.Eq(t, o.claim(c, live), got.Verdict)
				if got.Verdict == VerdictRecorded {
					must.Eq(t, o.replay(c.Key).body, string(got.Answer.Body))
				}
			},
			"release": func(t *rapid.T) {
				r := Release{Key: key(), Request: request(), Attempt: attempt(), At: at()}
				must.Eq(t, o.release(r), l.Release(r))
			},
			"complete": func(t *rapid.T) {
				c := Complete{Key: key(), Request: request(), At: at()}
				if rapid.Bool().Draw(t, "answered") {
					c.Answer = &Answer{Status: 200, Body: body()}
				}
				must.Eq(t, o.complete(c), l.Complete(c))
			},
			"resolve": func(t *rapid.T) {
				r := Resolve{Key: key(), Answer: Answer{Status: 200, Body: body()}, At: at()}
				must.Eq(t, o.resolve(r), l.Resolve(r))
			},
			"revoke": func(*rapid.T) {
				g := gateway()
				o.revoke(g)
				l.Revoke(g, 0)
			},
			"advance": func(t *rapid.T) {
				o.now = o.now.Add(time.Duration(rapid.IntRange(0, 2).Draw(t, "steps")) * 5 * time.Second)
				l.Advance(o.now)
			},
			"restore": func(t *rapid.T) {
				restored, err := FromState(l.State(), limits)
				must.NoError(t, err)
				must.Eq(t, l.bytes, restored.bytes)
				l = restored
			},
			"": func(t *rapid.T) {
				must.Eq(t, o.size(), l.Len())
				must.Eq(t, accounted(l), l.bytes)
			},
		})
	})
}

// accounted returns the sum of the accounted memory of all entries, in bytes.
func accounted(l *Ledger) int64 {
	var total int64
	for _, e := range l.entries {
		total += e.cost()
	}
	return total
}

// TestLedger_FullRefusesNewKeepsOld checks that a full ledger keeps unexpired keys
// and refuses new ones until keys expire.
func TestLedger_FullRefusesNewKeepsOld(t *testing.T) {
	limits := Limits{Retention: time.Minute, MaxSkew: time.Second, MaxEntries: 100, MaxBytes: 20 * entryBytes, MaxAnswerBytes: 1 << 20}
	now := time.UnixMilli(1_800_000_000_000)
	l := New(limits)
	granted := 0
	for n := range uint32(50) {
		c := Claim{Key: testKey(now, n), Gateway: "g", Request: "q", At: now}
		if l.Claim(c, true).Verdict == VerdictGranted {
			granted++
			// Large answers must not use the memory reserved for claims.
			big := &Answer{Status: 200, Body: make([]byte, 4*entryBytes)}
			must.Eq(t, OutcomeDone, l.Complete(Complete{Key: c.Key, Request: "q", Answer: big, At: now}))
		}
	}
	must.Greater(t, 8, granted)
	must.Less(t, 20, granted)
	must.LessEq(t, limits.MaxBytes, l.Bytes())
	for n := range uint32(granted) {
		got := l.Claim(Claim{Key: testKey(now, n), Gateway: "g", Request: "r", At: now}, true)
		must.Eq(t, VerdictRecorded, got.Verdict)
	}
	later := now.Add(limits.Retention)
	got := l.Claim(Claim{Key: testKey(later, 1), Gateway: "g", Request: "q", At: later}, true)
	must.Eq(t, VerdictGranted, got.Verdict)
	must.Eq(t, 1, l.Len())
}

// TestLedger_KeyForms checks that only the 36-character text form of a UUIDv7 is
// accepted, and that upper and lower case give the same key.
func TestLedger_KeyForms(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	good := testKey(now, 0xabcdef).Idempotency
	_, issued, ok := ParseKey(good)
	must.True(t, ok)
	must.Eq(t, now.UnixMilli(), issued)
	upper, _, ok := ParseKey(strings.ToUpper(good))
	must.True(t, ok)
	lower, _, _ := ParseKey(good)
	must.Eq(t, lower, upper)
	bad := []string{"", "x", "urn:uuid:" + good, "{" + good + "}", good[:14] + "4" + good[15:], good[:19] + "0" + good[20:]}
	must.False(t, slices.ContainsFunc(bad, func(s string) bool { _, _, ok := ParseKey(s); return ok }))
}
