package scheduler

import "time"

// answeredSize is the number of fingerprints that an AnsweredTable holds, a power of
// two.
const answeredSize = 1 << 12

// AnsweredTable remembers which requests were answered lately, by fingerprint. It is
// a direct-mapped cache: a request that is answered often is in it almost always, one
// that is answered once may be displaced soon. Its zero value is empty.
type AnsweredTable struct{ slots []answeredSlot }

type answeredSlot struct {
	fingerprint uint64
	at          time.Duration
}

// Add records an answer at a time on any clock.
func (t *AnsweredTable) Add(fingerprint uint64, at time.Duration) {
	if t.slots == nil {
		t.slots = make([]answeredSlot, answeredSize)
	}
	t.slots[fingerprint%answeredSize] = answeredSlot{fingerprint: fingerprint, at: at}
}

// Last returns when the request was last answered, as far as the table knows.
func (t *AnsweredTable) Last(fingerprint uint64) (at time.Duration, known bool) {
	if t.slots == nil {
		return 0, false
	}
	s := t.slots[fingerprint%answeredSize]
	return s.at, s.fingerprint == fingerprint
}
