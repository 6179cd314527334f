package policymodel

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// boundLogVariable names a file with the logs of all gateways of a run, each
	// line led by the run's time in seconds.
	boundLogVariable = "FLAMINGOHAVEN_BOUND_LOG"
	// boundWorthVariable lists what a request is worth by its objective in
	// milliseconds, on time and late: "800=6.1/0.61,400=0.22/0.022".
	boundWorthVariable = "FLAMINGOHAVEN_BOUND_WORTH"
	// boundEnd is where the traffic of a platform's day ends.
	boundEnd = 34 * time.Second
	// quotaRefusals is how the detail of a refusal begins that a quota called for.
	quotaRefusals = "quota:"
)

var (
	lineFormat   = regexp.MustCompile(`^ *([0-9.]+) .* event=([a-z_]+) .*request="([^"]+)"(?: pool="([^"]+)" detail="(.*)")?`)
	acceptFormat = regexp.MustCompile(`route ([^,]+), .*deadline in (\d+) ms, objective in (\d+) ms`)
	slotsFormat  = regexp.MustCompile(`(\d+) slots`)
)

// loggedJob is a request as the log tells it.
type loggedJob struct {
	Job
	pool, route string
	dispatched  time.Duration
	overQuota   bool
}

// boundLog is what the log of a run tells of requests and slots.
type boundLog struct {
	jobs  map[string]*loggedJob
	slots map[string]map[int64]float64
}

// BenchmarkBound estimates by the log of a run what a scheduler that knows
// everything beforehand could have earned. Requests over their quota are left out;
// one that comes back after a refusal counts as a further one.
func BenchmarkBound(b *testing.B) {
	path := os.Getenv(boundLogVariable)
	if path == "" {
		b.Skip("no log given by " + boundLogVariable)
	}
	worth, err := parseWorth(os.Getenv(boundWorthVariable))
	must.NoError(b, err)
	read, err := readBoundLog(path, worth)
	must.NoError(b, err)
	earned, asked := 0.0, 0.0
	for pool, jobs := range read.byPool() {
		got, all := Bound(jobs, func(at time.Duration) float64 { return read.slots[pool][int64(at/time.Second)] })
		earned, asked = earned+got, asked+all
	}
	b.ReportMetric(asked, "worth-asked")
	b.ReportMetric(earned/asked, "part-earned")
}

type worthOf struct{ objective, onTime, late float64 }

func parseWorth(text string) ([]worthOf, error) {
	var all []worthOf
	for part := range strings.SplitSeq(text, ",") {
		var w worthOf
		if _, err := fmt.Sscanf(part, "%g=%g/%g", &w.objective, &w.onTime, &w.late); err != nil {
			return nil, fmt.Errorf("%s %q: %w", boundWorthVariable, part, err)
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b worthOf) int { return cmp.Compare(a.objective, b.objective) })
	return all, nil
}

func readBoundLog(path string, worth []worthOf) (*boundLog, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	l := &boundLog{jobs: make(map[string]*loggedJob), slots: make(map[string]map[int64]float64)}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if m := lineFormat.FindStringSubmatch(lines.Text()); m != nil {
			seconds, err := strconv.ParseFloat(m[1], 64)
			if err != nil {
				return nil, err
			}
			l.take(time.Duration(seconds*float64(time.Second)), m[2], m[3], m[4], m[5], worth)
		}
	}
	return l, lines.Err()
}

func (l *boundLog) take(at time.Duration, event, id, pool, detail string, worth []worthOf) {
	j := l.jobs[id]
	switch {
	case event == "request_accepted" && at < boundEnd:
		l.accepted(at, id, pool, detail, worth)
	case j == nil:
	case event == "request_granted":
		if m := slotsFormat.FindStringSubmatch(detail); m != nil {
			n, _ := strconv.ParseFloat(m[1], 64)
			if l.slots[pool] == nil {
				l.slots[pool] = make(map[int64]float64)
			}
			second := int64(at / time.Second)
			l.slots[pool][second] = max(l.slots[pool][second], n)
		}
	case event == "request_dispatched":
		j.dispatched = at
	case event == "attempt_ended" && strings.HasPrefix(detail, "whole") && strings.Contains(detail, "status 200"):
		j.Slot = at - j.dispatched
	case event == "request_refused":
		j.overQuota = strings.HasPrefix(detail, quotaRefusals)
	}
}

func (l *boundLog) accepted(at time.Duration, id, pool, detail string, worth []worthOf) {
	m := acceptFormat.FindStringSubmatch(detail)
	if m == nil {
		return
	}
	deadline, _ := strconv.ParseFloat(m[2], 64)
	objective, _ := strconv.ParseFloat(m[3], 64)
	for _, w := range worth {
		if objective <= w.objective {
			l.jobs[id] = &loggedJob{pool: pool, route: m[1], Job: Job{
				Arrival: at, Worth: w.onTime, LateWorth: w.late,
				Objective: time.Duration(objective) * time.Millisecond, Deadline: time.Duration(deadline) * time.Millisecond,
			}}
			return
		}
	}
}

// byPool returns the jobs within their quotas. One that did not end takes the
// mean time of its route.
func (l *boundLog) byPool() map[string][]Job {
	sum, count := make(map[string]time.Duration), make(map[string]time.Duration)
	for _, j := range l.jobs {
		if j.Slot > 0 {
			sum[j.route] += j.Slot
			count[j.route]++
		}
	}
	pools := make(map[string][]Job)
	for _, j := range l.jobs {
		if j.overQuota || count[j.route] == 0 {
			continue
		}
		if j.Slot == 0 {
			j.Slot = sum[j.route] / count[j.route]
		}
		pools[j.pool] = append(pools[j.pool], j.Job)
	}
	return pools
}
