package retryslots

import (
	"slices"
	"time"
)

const (
	// Step is the resolution of the calendar. It is about the service time of a fast
	// upstream, and well below the wait of any caller that is worth a reservation.
	Step = 50 * time.Millisecond
	// steps is the length of the calendar. A third of the remaining time of callers with
	// limits of up to 75 s fits into it.
	steps = 512
)

// load is what is reserved in one step by the tier of one rank.
type load struct {
	rank int
	work time.Duration
}

// slot is one step of the calendar. A slot whose number is not the one asked for belongs to
// a step that is over.
type slot struct {
	number int64
	loads  []load
	// entries are those that hold work in the step.
	entries []*entry
}

// calendar holds the reserved work, in slot time, of the coming steps.
type calendar struct {
	ring [steps]slot
}

func numberOf(at time.Duration) int64 { return int64(at / Step) }

// at returns the step of a number, empty if nothing was reserved in it.
func (c *calendar) at(number int64) *slot {
	s := &c.ring[number%steps]
	if s.number != number {
		s.number, s.loads = number, s.loads[:0]
		clear(s.entries)
		s.entries = s.entries[:0]
	}
	return s
}

// work returns what the tiers of a rank of at least lowest have reserved in the step, and
// what that rank itself has.
func (s *slot) work(lowest int) (all, own time.Duration) {
	for _, l := range s.loads {
		if l.rank >= lowest {
			all += l.work
		}
		if l.rank == lowest {
			own = l.work
		}
	}
	return all, own
}

func (s *slot) total() time.Duration {
	sum := time.Duration(0)
	for _, l := range s.loads {
		sum += l.work
	}
	return sum
}

func (s *slot) add(rank int, work time.Duration) {
	for i := range s.loads {
		if s.loads[i].rank == rank {
			s.loads[i].work += work
			return
		}
	}
	s.loads = append(s.loads, load{rank: rank, work: work})
}

// lowest returns the latest entry of the lowest rank below the given one; nil if none.
func (s *slot) lowest(below int) *entry {
	var found *entry
	for _, e := range s.entries {
		if e.rank < below && (found == nil || e.rank <= found.rank) {
			found = e
		}
	}
	return found
}

// span is the work that an entry holds in one step.
type span struct {
	number int64
	work   time.Duration
}

func (c *calendar) hold(e *entry, spans []span) {
	e.spans = append(e.spans[:0:0], spans...)
	for _, sp := range spans {
		s := c.at(sp.number)
		s.add(e.rank, sp.work)
		s.entries = append(s.entries, e)
	}
}

// release returns the capacity that an entry holds in steps that the calendar still has.
func (c *calendar) release(e *entry) {
	for _, sp := range e.spans {
		s := &c.ring[sp.number%steps]
		if s.number != sp.number {
			continue
		}
		s.add(e.rank, -sp.work)
		if i := slices.Index(s.entries, e); i >= 0 {
			s.entries = slices.Delete(s.entries, i, i+1)
		}
	}
	e.spans = nil
}
