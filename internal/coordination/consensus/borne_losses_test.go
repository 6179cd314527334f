package consensus

import (
	"flag"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// borneShare is the number of other histories for each one of borne losses, which take
// longer.
const borneShare = 4

// lossKind is a loss that deployments bear.
type lossKind string

const (
	lossPlanned   lossKind = "replaced, the new node first"
	lossUnplanned lossKind = "replaced after it was lost"
	lossNone      lossKind = "none"
)

// returnKind is what happens to nodes that return.
type returnKind string

const (
	returnWiped     returnKind = "disks lost"
	returnKilled    returnKind = "killed"
	returnCut       returnKind = "cut off"
	returnWipedAll  returnKind = "disks lost while all others lose power"
	returnKilledAll returnKind = "all killed"
)

// borneLosses is one series of losses of which no more count at any time than a
// deployment bears. A node that was replaced counts until its successor has run
// for catchUpTime, and one that returns for catchUpTime more.
type borneLosses struct {
	// Age is the time before the series.
	Age  time.Duration
	Kind lossKind
	Lost replacement
	// Then happens Gap after the replaced node stopped counting, to as many nodes
	// as the deployment bears, for Down.
	Then  returnKind
	Gap   time.Duration
	Down  time.Duration
	Order int64
	// Writes is the number of large commands before the series.
	Writes int
}

var borneLossesGen = rapid.Custom(func(t *rapid.T) borneLosses {
	ms := func(from, to int, name string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, name)) * time.Millisecond
	}
	return borneLosses{
		Age:  rapid.SampledFrom([]time.Duration{0, time.Second, 70 * time.Second, 70 * time.Second, 3 * time.Minute}).Draw(t, "age"),
		Kind: rapid.SampledFrom([]lossKind{lossPlanned, lossPlanned, lossUnplanned, lossNone}).Draw(t, "kind"),
		Lost: replacementGen.Draw(t, "lost"),
		Then: rapid.SampledFrom([]returnKind{returnWiped, returnWiped, returnWipedAll, returnKilled, returnCut, returnKilledAll}).Draw(t, "then"),
		Gap:  rapid.OneOf(rapid.Just(time.Duration(0)), rapid.Map(rapid.IntRange(0, 2000), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })).Draw(t, "gap"),
		Down: ms(0, 3000, "down"), Order: rapid.Int64().Draw(t, "order"),
		Writes: rapid.SampledFrom([]int{0, 0, 0, 100}).Draw(t, "writes"),
	}
})

// borneScript is a sequence of series of losses.
type borneScript struct {
	script
	Series []borneLosses
}

var borneScriptGen = rapid.Custom(func(t *rapid.T) borneScript {
	return borneScript{
		script: script{
			Seed: rapid.Int64().Draw(t, "seed"), ReplaceDead: true,
			Replicas: rapid.SampledFrom([]int{3, 3, 3, 5, 6}).Draw(t, "replicas"),
			Rates:    rapid.SliceOfN(rapid.SampledFrom(clockRates), 5, 5).Draw(t, "rates"),
		},
		Series: rapid.SliceOfN(borneLossesGen, 1, 4).Draw(t, "series"),
	}
})

// runBorne runs a script in virtual time, like runReplacements. After each series a
// leader must exist within recoveryTime, commit a command and hold all acknowledged
// ones.
func runBorne(s borneScript) ([]porcupine.Operation, error) {
	options := replacementOptions
	options.MinVoters = 2*toleratedLosses(s.Replicas) + 1
	r := newScriptRun(s.script, seedCount, options)
	defer r.stopAll()
	for _, series := range s.Series {
		r.latestOnly = r.latestOnly || series.Writes > 0
	}
	r.addSpares()
	for i, id := range append(append([]ident.NodeID(nil), r.ids...), r.spares...) {
		r.members[id].clockRate = float64(s.Rates[i%len(s.Rates)]) / 100
	}
	if err := r.formWithSeeds(); err != nil {
		return nil, err
	}
	for i, series := range s.Series {
		r.playBorne(series)
		if err := r.oracle.violation(); err != nil {
			r.oracle.fail("series %d: %v", i, err)
			break
		}
	}
	return r.recorder.ops, r.oracle.violation()
}

func (r *scriptRun) playBorne(s borneLosses) {
	time.Sleep(s.Age)
	for range s.Writes {
		r.writeWithin(electionLimit, largeKey, "before the losses")
	}
	switch s.Kind {
	case lossPlanned:
		old := r.node(s.Lost.Victim)
		r.add()
		time.Sleep(catchUpTime)
		r.remove(old, s.Lost.How)
	case lossUnplanned:
		r.remove(r.node(s.Lost.Victim), s.Lost.How)
		time.Sleep(min(s.Lost.Gap, 2*time.Second))
		r.add()
		time.Sleep(catchUpTime)
	}
	time.Sleep(s.Gap)
	acked := r.oracle.ackedIDs()
	r.loseAndReturn(s)
	r.writeWithin(recoveryTime, "k", "after "+string(s.Kind)+", "+string(s.Then))
	if l := r.leading(); l != nil && !r.latestOnly {
		r.checkApplied(acked, l.state().history())
	}
	r.changedAt = time.Now()
	r.settle(catchUpTime)
}

// loseAndReturn loses as many nodes as the deployment bears for a time.
func (r *scriptRun) loseAndReturn(s borneLosses) {
	count := toleratedLosses(r.script.Replicas)
	var lost []ident.NodeID
	for i := range count {
		lost = append(lost, r.ids[(int(uint64(s.Order)%uint64(len(r.ids)))+i)%len(r.ids)])
	}
	down := lost
	if s.Then == returnWipedAll || s.Then == returnKilledAll {
		down = r.ids
	}
	for _, id := range down {
		switch s.Then {
		case returnCut:
			r.isolate(r.members[id])
		case returnKilled, returnKilledAll:
			r.kill(id)
		default:
			r.crash(id)
		}
	}
	if s.Then == returnWiped || s.Then == returnWipedAll {
		for _, id := range lost {
			r.members[id].fs.Wipe()
		}
	}
	time.Sleep(s.Down)
	r.net.heal()
	for _, id := range down {
		r.restart(id)
	}
}

// writeWithin commits a command within a time.
func (r *scriptRun) writeWithin(limit time.Duration, key, when string) {
	if r.oracle.violation() != nil {
		return
	}
	if !r.writeKey(limit, key) {
		r.oracle.fail("no command committed for %v %s: %s", limit, when, r.describe())
	}
}

// TestFuzz_BorneLosses checks the guarantee that deployments rely on: in every
// history in which no more losses count at once than they bear, a leader exists soon and
// what was acknowledged is kept. Leaders are up to minutes old, replicas new at any
// moment, logs of some MB, and a second loss comes a moment after a removal.
func TestFuzz_BorneLosses(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	histories, err := strconv.Atoi(checks.Value.String())
	must.NoError(t, err)
	defer setFlag("rapid.checks", checks.Value.String())
	setFlag("rapid.checks", strconv.Itoa((histories+borneShare-1)/borneShare))
	rapid.Check(t, func(rt *rapid.T) {
		s := borneScriptGen.Draw(rt, "script")
		var err error
		synctest.Test(t, func(*testing.T) { _, err = runBorne(s) })
		if err != nil {
			rt.Fatal(err)
		}
	})
}
