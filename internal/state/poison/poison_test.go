package poison

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var began = time.Unix(9000, 0)

func part(id uint64) Record {
	return Record{Pool: "p", ID: id, Since: began, Updated: began, Ends: 3, NextTrial: began.Add(TrialInterval)}
}

// TestSet_MergesInAnyOrder checks that nodes which learn the same records in different
// orders agree, also after clocks were set back.
func TestSet_MergesInAnyOrder(t *testing.T) {
	found := part(1)
	trial := found.BeginTrial(began.Add(TrialInterval))
	lifted := trial.Lift("an operator lifted it", began)
	must.True(t, lifted.Supersedes(trial))
	for seed := range uint64(50) {
		records := []Record{found, trial, lifted, part(2)}
		rand.New(rand.NewPCG(seed, 1)).Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		var s Set
		for _, r := range records {
			s.Merge([]Record{r}, began)
		}
		_, refused := s.Find("p", 1)
		must.False(t, refused)
		_, refused = s.FindAny("p", []uint64{7, 1, 2})
		must.True(t, refused)
		_, refused = s.Find("other", 2)
		must.False(t, refused)
		must.Len(t, 2, s.List())
		must.SliceEmpty(t, s.Newer(records))
	}
}

// TestSet_IsBounded checks that refused parts are kept before lifted ones, and that
// the record of a lifted part is dropped in the end and does not come back.
func TestSet_IsBounded(t *testing.T) {
	var s Set
	old := part(1).Lift("a trial succeeded", began)
	s.Merge([]Record{old}, began)
	for id := range uint64(MaxRecords) {
		s.Merge([]Record{part(100 + id)}, began)
	}
	must.Len(t, MaxRecords, s.List())
	must.False(t, s.List()[MaxRecords-1].Lifted)
	var other Set
	other.Merge([]Record{old}, began)
	must.Len(t, 1, other.List())
	other.Merge([]Record{old}, began.Add(2*liftedRetention))
	must.Len(t, 0, other.List())
}

// TestPart_TrialsAtGrowingIntervals checks that the time to the next trial doubles up
// to a bound.
func TestPart_TrialsAtGrowingIntervals(t *testing.T) {
	p, now := part(1), began
	for _, want := range []time.Duration{2, 4, 8, 16, 32} {
		now = p.NextTrial
		p = p.BeginTrial(now)
		must.Eq(t, want*TrialInterval, p.NextTrial.Sub(now))
	}
	for range 100 {
		now = p.NextTrial
		p = p.BeginTrial(now)
	}
	must.Eq(t, maxTrialInterval, p.NextTrial.Sub(now))
}
