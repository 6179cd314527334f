package standins3

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2
)

// scenario plays a case and reports whether the rule was broken.
type scenario func(d *deployment, p *platform, trouble bool) (broken bool, err error)

var scenarios = map[string]struct {
	play          scenario
	cores, fronts int
}{
	"stale-rollouts": {play: staleRollouts, cores: 3, fronts: 2},
	"rolled-back":    {play: rolledBack, cores: 3, fronts: 2},
	"lossy-endings":  {play: lossyEndings, cores: 3, fronts: 2},
	"last-streams":   {play: lastStreams, cores: 3, fronts: 5},
}

// TestMain plays the case that REVIEW_CASE names in the folder REVIEW_FOLDER.
func TestMain(*testing.M) { os.Exit(play()) }

func play() int {
	s, known := scenarios[os.Getenv("REVIEW_CASE")]
	folder := os.Getenv("REVIEW_FOLDER")
	if !known || folder == "" {
		fmt.Fprintln(os.Stderr, "REVIEW_CASE and REVIEW_FOLDER name no case")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.out.Close()
	notRun := func(err error) int {
		rec.say("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	temp, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return notRun(err)
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		defer os.RemoveAll(temp)
	}
	p, err := startPlatform()
	if err != nil {
		return notRun(err)
	}
	d, err := newDeployment(rec, temp, p.address, s.cores, s.fronts)
	if err != nil {
		return notRun(err)
	}
	defer d.killAll()
	if err := d.startAll(); err != nil {
		return notRun(err)
	}
	time.Sleep(time.Second)
	broken, err := s.play(d, p, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		return notRun(err)
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

var leading = regexp.MustCompile(`(?m)^flamingohaven_fleet_leading(\{[^}]*\})? 1`)

// leads reports whether the metrics are those of a leader.
func leads(metrics []byte) bool { return leading.Match(metrics) }
