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
	// boundLogVariable names the environment variable with the path of a file that
	// holds the logs of all gateways of a run. Each line starts with the time
	// since the start of the run, in seconds.
	boundLogVariable = "FLAMINGOHAVEN_BOUND_LOG"
	// boundWorthVariable names the environment variable with the values of
	// requests by objective: comma-separated items of the form
	// objective in milliseconds=value on time/value late, for example
	// "800=6.1/0.61,400=0.22/0.022".
	boundWorthVariable = "FLAMINGOHAVEN_BOUND_WORTH"
	// trafficEnd is the time since the start of a run at which the traffic ends;
	// later requests are ignored.
	trafficEnd = 34 * time.Second
	// quotaRefusalPrefix starts the detail of a refusal for an exceeded quota.
	quotaRefusalPrefix = "quota:"
)

var (
	linePattern     = regexp.MustCompile(`^ *([0-9.]+) .* event=([a-z_]+) .*request="([^"]+)"(?: pool="([^"]+)" detail="(.*)")?`)
	acceptedPattern = regexp.MustCompile(`route ([^,]+), .*deadline in (\d+) ms, objective in (\d+) ms`)
	slotsPattern    = regexp.MustCompile(`(\d+) slots`)
)

// loggedJob is a request reconstructed from the log.
type loggedJob struct {
	Job
	pool, route string
	dispatched  time.Duration
	overQuota   bool
}

// boundLog holds the requests and slot counts read from the log of a run.
type boundLog struct {
	// jobs is keyed by request id.
	jobs map[string]*loggedJob
	// slots holds the highest logged slot count by pool and second of the run.
	slots map[string]map[int64]float64
}

// BenchmarkBound estimates from the log of a run the value that a scheduler that
// knows all requests in advance could have earned. Requests over their quota are
// left out; a retry after a refusal counts as a separate request.
func BenchmarkBound(b *testing.B) {
	path := os.Getenv(boundLogVariable)
	if path == "" {
		b.Skip("no log file is named by " + boundLogVariable)
	}
	values, err := parseValues(os.Getenv(boundWorthVariable))
	must.NoError(b, err)
	log, err := readBoundLog(path, values)
	must.NoError(b, err)
	earned, offered := 0.0, 0.0
	for pool, jobs := range log.jobsByPool() {
		poolEarned, poolOffered := UpperBound(jobs, func(at time.Duration) float64 { return log.slots[pool][int64(at/time.Second)] })
		earned, offered = earned+poolEarned, offered+poolOffered
	}
	b.ReportMetric(offered, "worth-asked")
	b.ReportMetric(earned/offered, "part-earned")
}

// objectiveValue holds the values of requests whose objective, in milliseconds,
// is at most objective and above that of the previous entry.
type objectiveValue struct{ objective, onTime, late float64 }

// parseValues parses the format of boundWorthVariable and sorts the entries by
// objective.
func parseValues(text string) ([]objectiveValue, error) {
	var all []objectiveValue
	for part := range strings.SplitSeq(text, ",") {
		var w objectiveValue
		if _, err := fmt.Sscanf(part, "%g=%g/%g", &w.objective, &w.onTime, &w.late); err != nil {
			return nil, fmt.Errorf("%s %q: %w", boundWorthVariable, part, err)
		}
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b objectiveValue) int { return cmp.Compare(a.objective, b.objective) })
	return all, nil
}

// readBoundLog reads the log at path. Lines without a request event are ignored.
func readBoundLog(path string, values []objectiveValue) (*boundLog, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	l := &boundLog{jobs: make(map[string]*loggedJob), slots: make(map[string]map[int64]float64)}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if m := linePattern.FindStringSubmatch(lines.Text()); m != nil {
			seconds, err := strconv.ParseFloat(m[1], 64)
			if err != nil {
				return nil, err
			}
			l.addEvent(time.Duration(seconds*float64(time.Second)), m[2], m[3], m[4], m[5], values)
		}
	}
	return l, lines.Err()
}

// addEvent records one log event of a request; at is the time since the start
// of the run.
func (l *boundLog) addEvent(at time.Duration, event, id, pool, detail string, values []objectiveValue) {
	j := l.jobs[id]
	switch {
	case event == "request_accepted" && at < trafficEnd:
		l.addJob(at, id, pool, detail, values)
	case j == nil:
	case event == "request_granted":
		if m := slotsPattern.FindStringSubmatch(detail); m != nil {
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
		j.SlotTime = at - j.dispatched
	case event == "request_refused":
		j.overQuota = strings.HasPrefix(detail, quotaRefusalPrefix)
	}
}

// addJob adds an accepted request, unless no value is given for its objective.
func (l *boundLog) addJob(at time.Duration, id, pool, detail string, values []objectiveValue) {
	m := acceptedPattern.FindStringSubmatch(detail)
	if m == nil {
		return
	}
	deadline, _ := strconv.ParseFloat(m[2], 64)
	objective, _ := strconv.ParseFloat(m[3], 64)
	for _, w := range values {
		if objective <= w.objective {
			l.jobs[id] = &loggedJob{pool: pool, route: m[1], Job: Job{
				Arrival: at, Value: w.onTime, LateValue: w.late,
				Objective: time.Duration(objective) * time.Millisecond, Deadline: time.Duration(deadline) * time.Millisecond,
			}}
			return
		}
	}
}

// jobsByPool returns the jobs within their quotas. A job without a complete
// answer gets the mean slot time of its route, or is left out if the route has
// none.
func (l *boundLog) jobsByPool() map[string][]Job {
	sum, count := make(map[string]time.Duration), make(map[string]time.Duration)
	for _, j := range l.jobs {
		if j.SlotTime > 0 {
			sum[j.route] += j.SlotTime
			count[j.route]++
		}
	}
	pools := make(map[string][]Job)
	for _, j := range l.jobs {
		if j.overQuota || count[j.route] == 0 {
			continue
		}
		if j.SlotTime == 0 {
			j.SlotTime = sum[j.route] / count[j.route]
		}
		pools[j.pool] = append(pools[j.pool], j.Job)
	}
	return pools
}
