package gateway

import (
	"errors"
	"time"
)

const (
	// answerShare is the share of the budget that answers may take which are held for callers.
	answerShare = 0.5
	// slowAfter is how long a caller may take nothing of a held answer before it counts as
	// slow.
	slowAfter = 2 * time.Second
)

// errSlowCaller ends the answer to a caller that reads too slowly.
var errSlowCaller = errors.New("the caller reads too slowly, and its answer's memory is needed for others")

// Aborter is implemented by Sinks whose writes can be ended from outside.
type Aborter interface {
	// Abort fails the present write and all later ones.
	Abort()
}

// holdAnswer reserves memory for a part of the answer to the request. If there is not
// enough, slow callers are given up, those of the lowest tier and of these the slowest first.
// It reports false if there is none left of these: the answer is then not to be held.
func (res *Reservation) holdAnswer(size int, now time.Time) bool {
	b, need := res.budget, int64(size)
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, held := b.reservations[res]; !held {
		return false
	}
	if over := max(b.answers+need-b.answerLimit, b.used+need-b.limit); over > 0 && !b.endSlow(over, now) {
		return false
	}
	b.addAnswer(res, need)
	return true
}

// writeAnswer records that the answer is now written to its caller, piece by piece.
func (res *Reservation) writeAnswer(sink Sink, now time.Time) {
	res.budget.mu.Lock()
	defer res.budget.mu.Unlock()
	res.writing, _ = sink.(Aborter)
	res.progress = now
}

// answerWritten returns the memory of a piece that the caller's connection has taken. It
// reports false if the caller was given up.
func (res *Reservation) answerWritten(size int, now time.Time) bool {
	res.budget.mu.Lock()
	defer res.budget.mu.Unlock()
	if res.givenUp {
		return false
	}
	res.budget.addAnswer(res, -min(int64(size), res.answer))
	res.progress = now
	return true
}

// dropAnswer returns the memory of an answer that is not held any more.
func (res *Reservation) dropAnswer() {
	res.budget.mu.Lock()
	defer res.budget.mu.Unlock()
	res.budget.addAnswer(res, -res.answer)
	res.writing = nil
}

// isGivenUp reports whether the caller was given up as too slow.
func (res *Reservation) isGivenUp() bool {
	res.budget.mu.Lock()
	defer res.budget.mu.Unlock()
	return res.givenUp
}

// addAnswer adds to the memory of a held answer. The caller holds the lock.
func (b *Budget) addAnswer(res *Reservation, bytes int64) {
	if _, held := b.reservations[res]; !held {
		return
	}
	res.answer += bytes
	b.answers += bytes
	b.used += bytes
}

// endSlow gives up slow callers until their answers make up need bytes, and none if they don't.
// The caller holds the lock.
func (b *Budget) endSlow(need int64, now time.Time) bool {
	var ended []*Reservation
	for freed := int64(0); freed < need; {
		res := b.slowest(now)
		if res == nil {
			for _, res := range ended {
				res.givenUp = false
			}
			return false
		}
		res.givenUp = true
		ended = append(ended, res)
		freed += res.answer
	}
	for _, res := range ended {
		res.writing.Abort()
		b.addAnswer(res, -res.answer)
		b.slowEnded++
	}
	return true
}

// slowest returns the slow caller to give up first; nil if there is none.
func (b *Budget) slowest(now time.Time) *Reservation {
	var found *Reservation
	for res := range b.reservations {
		if res.writing == nil || res.givenUp || res.answer == 0 || now.Sub(res.progress) < slowAfter {
			continue
		}
		if found == nil || res.rank < found.rank || res.rank == found.rank && res.progress.Before(found.progress) {
			found = res
		}
	}
	return found
}

// Answers returns the size of the answers that are held for callers, in bytes, and the number
// of callers that were given up as too slow.
func (b *Budget) Answers() (bytes int64, slowEnded uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.answers, b.slowEnded
}
