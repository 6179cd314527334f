package retryslots

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const ms = time.Millisecond

func request(fingerprint uint64, rank int) Request {
	return Request{Fingerprint: fingerprint, Rank: rank, Cost: 100 * ms, Latest: 2 * time.Second, Deadline: 6 * time.Second}
}

// TestTable_CapacityOnce makes random reservations of three tiers: no step may hold more
// than all slots do, nor a tier more than its share, and all that is held is returned.
func TestTable_CapacityOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	table, now := New(), time.Second
	for i := range 5000 {
		now += time.Duration(random.IntN(3)) * ms
		rank := random.IntN(3)
		r := request(uint64(i%50+1), rank)
		r.Cost = time.Duration(1+random.IntN(400)) * ms
		r.Latest, r.Deadline = now+2*time.Second, now+6*time.Second
		c := Capacity{Recent: float64(3 + 3*rank), Usual: float64(3 + 3*rank), Total: 9}
		if at, ok := table.Reserve(r, c, now); ok {
			must.Between(t, now, at, r.Latest)
		}
		if i%3 == 0 {
			table.Take(request(uint64(random.IntN(50)+1), random.IntN(3)), true, now)
		}
		for n := numberOf(now); n < numberOf(now)+steps; n++ {
			s := &table.calendar.ring[n%steps]
			if s.number == n {
				must.LessEq(t, 9*Step+steps, s.total())
				for _, l := range s.loads {
					must.Between(t, 0, l.work, time.Duration(TierShare*float64(3+3*l.rank)*float64(Step))+1)
				}
			}
		}
	}
	counts := table.Counts()
	must.Positive(t, counts.Displaced)
	must.Positive(t, counts.Honoured)
	table.Expire(now + time.Minute)
	counts = table.Counts()
	must.Eq(t, counts.Made, counts.Honoured+counts.Expired+counts.Displaced)
	must.MapEmpty(t, table.open)
	for i := range table.calendar.ring {
		must.Zero(t, table.calendar.ring[i].total())
		must.SliceEmpty(t, table.calendar.ring[i].entries)
	}
}

// TestTable_Take checks that copies of a retry, early ones and those of other callers with
// an equal request get nothing, and that a lost retry's reservation expires.
func TestTable_Take(t *testing.T) {
	table := New()
	c := Capacity{Recent: 10, Usual: 10, Total: 10, Backlog: 4 * time.Second}
	r := request(7, 1)
	at, ok := table.Reserve(r, c, 0)
	must.True(t, ok)
	must.Between(t, 400*ms, at, 500*ms)
	must.Eq(t, Early, table.Take(r, true, at-100*ms))
	other := r
	other.Deadline += time.Second
	must.Eq(t, Unknown, table.Take(other, false, at), must.Sprint("a first attempt of another caller"))
	other = r
	other.Rank = 2
	must.Eq(t, Unknown, table.Take(other, true, at))
	must.Eq(t, Honoured, table.Take(r, false, at+50*ms))
	must.Eq(t, Unknown, table.Take(r, true, at+50*ms), must.Sprint("a copy"))
	at, ok = table.Reserve(r, c, at)
	must.True(t, ok)
	must.Eq(t, Unknown, table.Take(r, true, at+time.Second))
	must.Eq(t, Counts{Made: 2, Honoured: 1, Expired: 1}, table.Counts())
}

// TestTable_EqualRequestOfAnother checks that a first attempt that arrives when the retry of
// an equal request is due, after a short wait, does not get its reservation.
func TestTable_EqualRequestOfAnother(t *testing.T) {
	table := New()
	r := request(7, 1)
	r.Earliest = 80 * ms
	at, ok := table.Reserve(r, Capacity{Recent: 10, Usual: 10, Total: 10}, 0)
	must.True(t, ok)
	other := r
	other.Deadline += at - 20*ms
	must.Eq(t, Unknown, table.Take(other, false, at-20*ms))
	must.Eq(t, Honoured, table.Take(r, false, at-20*ms))
}

// TestTable_EqualCallersSpread checks that callers who are refused at once are told different
// times, no more of them than the capacity serves, and that late ones get none.
func TestTable_EqualCallersSpread(t *testing.T) {
	table, last, got := New(), time.Duration(0), 0
	for range 1000 {
		at, ok := table.Reserve(request(7, 1), Capacity{Recent: 10, Usual: 10, Total: 10}, 0)
		if !ok {
			continue
		}
		got++
		must.GreaterEq(t, last, at)
		last = at
	}
	// 10 slots serve 100 such requests a second, of which 70 may be reserved, for 2 s.
	must.Between(t, 130, got, 150)
	must.Between(t, 1900*ms, last, 2*time.Second)
}

// TestCapacity_Overload checks that a short overload is expected to end within the time that
// it has lasted so far, and one that lasts is not.
func TestCapacity_Overload(t *testing.T) {
	c := Capacity{Recent: 0, Usual: 10, Total: 10, Age: time.Second}
	must.Zero(t, c.slots(400*ms))
	must.Eq(t, 5, c.slots(time.Second))
	c.Age = time.Minute
	must.Zero(t, c.slots(20*time.Second))
	_, ok := New().Reserve(request(1, 1), c, 0)
	must.False(t, ok)
}
