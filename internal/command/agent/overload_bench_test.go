package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
)

const (
	overloadArrivals  = 8 * time.Second
	overloadWarmUp    = time.Second
	overloadCalibrate = 4 * time.Second
	// overloadGrace is how long a caller waits for an answer after its deadline.
	overloadGrace         = 250 * time.Millisecond
	overloadEngineSlots   = 32
	overloadServiceSlots  = 8
	overloadServiceTime   = 20 * time.Millisecond
	overloadServiceRate   = float64(overloadServiceSlots) * float64(time.Second) / float64(overloadServiceTime)
	overloadSeed          = 1
	overloadCallers       = 256
	overloadConfiguration = `
tiers:
  patient: {rank: 1, deadline: 5s}
  normal: {rank: 2, deadline: 3s}
  urgent: {rank: 3, deadline: 1s}
teams:
  alpha: {shares: 2}
  beta: {shares: 1}
pools:
  writer: {kind: engine, model: writer-8b, version: v1}
  ledger: {kind: service, version: v1}
upstreams:
  fast: {pool: writer, version: v1, address: %q, max_concurrent: 32}
  slow: {pool: writer, version: v1, address: %q, max_concurrent: 32}
  entries: {pool: ledger, version: v1, address: %q, max_concurrent: 8}
routes:
  chat: {path: /v1/chat/completions, pool: writer, tier: normal, idempotent: true}
  review: {path: /v1/completions, pool: writer, tier: patient, idempotent: true}
  lookup: {path: /lookup, pool: ledger, tier: urgent, idempotent: true}
  submit: {path: /submit, pool: ledger, tier: urgent, idempotent: false, status_path: /status}
  history: {path: /history, pool: ledger, tier: patient, idempotent: true}
`
)

// overloadClass is a kind of request. minTokens and maxTokens bound the output
// length of engine requests.
type overloadClass struct {
	path, tier           string
	deadline             time.Duration
	weight               float64
	minTokens, maxTokens float64
}

// engineMix has output lengths that differ by a factor of up to 100. Prompts
// have five times as many tokens as the output.
var engineMix = []overloadClass{
	{path: openai.PathChat, tier: "normal", deadline: 3 * time.Second, weight: 0.7, minTokens: 4, maxTokens: 400},
	{path: openai.PathCompletion, tier: "patient", deadline: 5 * time.Second, weight: 0.3, minTokens: 40, maxTokens: 400},
}

var serviceMix = []overloadClass{
	{path: "/lookup", tier: "urgent", deadline: time.Second, weight: 0.5},
	{path: "/submit", tier: "urgent", deadline: time.Second, weight: 0.1},
	{path: "/history", tier: "patient", deadline: 5 * time.Second, weight: 0.4},
}

// overloadJob is one request of a caller. Its tokens are those of prompt and
// output; service requests have none.
type overloadJob struct {
	class  *overloadClass
	at     time.Duration
	body   string
	query  string
	echo   string
	tokens int
}

func randomJob(rng *rand.Rand, mix []overloadClass, marker string) overloadJob {
	remaining := rng.Float64()
	class := &mix[len(mix)-1]
	for i := range mix {
		if remaining -= mix[i].weight; remaining < 0 {
			class = &mix[i]
			break
		}
	}
	j := overloadJob{class: class}
	switch class.path {
	case openai.PathChat, openai.PathCompletion:
		j.fillCompletion(rng, marker)
	case "/submit":
		j.body = fmt.Sprintf(`{"item":%q}`, marker)
		j.echo = fakes.Echo([]byte(j.body))
	default:
		j.query = "?q=" + marker
		j.echo = fakes.Echo([]byte(class.path + j.query))
	}
	return j
}

func (j *overloadJob) fillCompletion(rng *rand.Rand, marker string) {
	low, high := math.Log(j.class.minTokens), math.Log(j.class.maxTokens)
	output := int(math.Exp(low + rng.Float64()*(high-low)))
	text, _ := json.Marshal(marker + strings.Repeat("x", output*5*openai.BytesPerToken))
	call := openai.Request{Model: "writer-8b", Stream: true, MaxTokens: output, Prompt: text}
	if j.class.path == openai.PathChat {
		call.Prompt, call.Messages = nil, []openai.Message{{Role: "user", Content: text}}
	}
	body, _ := json.Marshal(call)
	j.body, j.echo, j.tokens = string(body), fakes.EchoOf(&call), output+call.PromptTokens()
}

func planJobs(rng *rand.Rand, mix []overloadClass, rate float64, name string) []overloadJob {
	var jobs []overloadJob
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		if at >= overloadArrivals.Seconds() {
			return jobs
		}
		j := randomJob(rng, mix, fmt.Sprintf("%s-%d", name, len(jobs)))
		j.at = time.Duration(at * float64(time.Second))
		jobs = append(jobs, j)
	}
}

// benchTarget is a way to send requests, through the nodes or directly, in both
// cases to fake upstreams of its own.
type benchTarget struct {
	name    string
	engines []*fakes.Engine
	service *fakes.Service
	// nodes are the caller addresses of the nodes. If there are none, callers send
	// to the upstreams directly, in turn.
	nodes  []string
	client *http.Client
	next   atomic.Int64
}

func startTarget(b *testing.B, name string) *benchTarget {
	a := &benchTarget{name: name, client: benchClient()}
	for _, step := range []time.Duration{2 * time.Millisecond, 6 * time.Millisecond} {
		e, err := fakes.StartEngine(fakes.EngineOptions{Version: "v1", StepBase: step})
		must.NoError(b, err)
		b.Cleanup(func() { _ = e.Close() })
		a.engines = append(a.engines, e)
	}
	var err error
	a.service, err = fakes.StartService(fakes.ServiceOptions{Latency: overloadServiceTime, Workers: overloadServiceSlots})
	must.NoError(b, err)
	b.Cleanup(func() { _ = a.service.Close() })
	return a
}

// startTargets starts three nodes with fake upstreams of their own, and equal
// fake upstreams that are called directly.
func startTargets(b *testing.B) (through, direct *benchTarget) {
	c := startCluster(b, withConnections(20_000))
	through, direct = startTarget(b, "through"), startTarget(b, "direct")
	c.apply(b, fmt.Sprintf(overloadConfiguration, through.engines[0].Addr(), through.engines[1].Addr(), through.service.Addr()))
	for _, n := range c.nodes {
		through.nodes = append(through.nodes, n.settings.CallerAdvertise)
	}
	return through, direct
}

func (a *benchTarget) address(j *overloadJob) string {
	turn := int(a.next.Add(1))
	if len(a.nodes) > 0 {
		return a.nodes[turn%len(a.nodes)]
	}
	if j.tokens > 0 {
		return a.engines[turn%len(a.engines)].Addr()
	}
	return a.service.Addr()
}

// overloadOutcome is the result of a request as its caller saw it.
type overloadOutcome struct {
	job      *overloadJob
	ended    time.Time
	first    time.Duration
	total    time.Duration
	complete bool
	refusal  callerapi.Outcome
}

func (a *benchTarget) send(j *overloadJob, began time.Time) overloadOutcome {
	o := overloadOutcome{job: j}
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(j.class.deadline+overloadGrace))
	defer cancel()
	method := http.MethodPost
	if j.body == "" {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+a.address(j)+j.class.path+j.query, strings.NewReader(j.body))
	if err != nil {
		return o
	}
	request.Header.Set(callerapi.HeaderTeam, "alpha")
	request.Header.Set(callerapi.HeaderDeadline, j.class.deadline.String())
	if j.class.path == "/submit" {
		request.Header.Set(callerapi.HeaderIdempotencyKey, newKey())
	}
	if len(a.nodes) == 0 {
		request.Header.Set(upstreamapi.HeaderRequestID, newKey())
	}
	if response, err := a.client.Do(request); err == nil {
		o.read(response, began)
	}
	o.ended = time.Now()
	o.total = o.ended.Sub(began)
	return o
}

// read reads an answer to its end. Comment lines of a stream do not count as
// the first token.
func (o *overloadOutcome) read(response *http.Response, began time.Time) {
	defer response.Body.Close()
	o.refusal = callerapi.Outcome(response.Header.Get(callerapi.HeaderOutcome))
	echoed, done := false, o.job.tokens == 0
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		line := lines.Text()
		if o.first == 0 && line != "" && !strings.HasPrefix(line, ":") {
			o.first = time.Since(began)
		}
		echoed = echoed || strings.Contains(line, o.job.echo)
		done = done || strings.Contains(line, openai.DoneData)
		for _, refusal := range []callerapi.Outcome{callerapi.NotRun, callerapi.NotSent, callerapi.MayHaveRun} {
			if strings.Contains(line, `"`+string(refusal)+`"`) {
				o.refusal = refusal
			}
		}
	}
	o.complete = echoed && done && o.refusal == "" && lines.Err() == nil && response.StatusCode == http.StatusOK
}

// run sends each job at its scheduled time and waits for all answers. It also
// returns the time to which the schedule is relative.
func (a *benchTarget) run(jobs []overloadJob) ([]overloadOutcome, time.Time) {
	outcomes := make([]overloadOutcome, len(jobs))
	var callers sync.WaitGroup
	began := time.Now()
	for i := range jobs {
		time.Sleep(time.Until(began.Add(jobs[i].at)))
		callers.Go(func() { outcomes[i] = a.send(&jobs[i], began.Add(jobs[i].at)) })
	}
	callers.Wait()
	return outcomes, began
}

// engineCapacity measures how many requests of engineMix per second the engines
// complete with all slots in use.
func engineCapacity(b *testing.B) float64 {
	a := startTarget(b, "calibrate")
	var ended atomic.Int64
	began := time.Now()
	end := began.Add(overloadWarmUp + overloadCalibrate)
	var callers sync.WaitGroup
	for i := range overloadEngineSlots * len(a.engines) {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(overloadSeed, uint64(i)))
			direct := &benchTarget{engines: a.engines[i%len(a.engines) : i%len(a.engines)+1], client: a.client}
			for n := 0; time.Now().Before(end); n++ {
				j := randomJob(rng, engineMix, fmt.Sprintf("calibrate-%d-%d", i, n))
				relaxed := *j.class
				relaxed.deadline = testTimeout
				j.class = &relaxed
				o := direct.send(&j, time.Now())
				if o.complete && o.ended.After(began.Add(overloadWarmUp)) && o.ended.Before(end) {
					ended.Add(1)
				}
			}
		})
	}
	callers.Wait()
	return float64(ended.Load()) / overloadCalibrate.Seconds()
}

// BenchmarkPathGoodput sends the same open-loop arrivals through three nodes
// and directly, in round-robin order, to equal upstreams at the same time. The
// load is a fraction of the capacity of the engines and of the service.
func BenchmarkPathGoodput(b *testing.B) {
	capacity := engineCapacity(b)
	through, direct := startTargets(b)
	for _, load := range []float64{0.6, 0.9, 1.5} {
		b.Run(fmt.Sprintf("load-%.0f", load*100), func(b *testing.B) {
			for i := range b.N {
				rng := rand.New(rand.NewPCG(overloadSeed, uint64(i)))
				name := fmt.Sprintf("%.0f-%d-%d", load*100, b.N, i)
				engineJobs := planJobs(rng, engineMix, load*capacity, "e"+name)
				serviceJobs := planJobs(rng, serviceMix, load*overloadServiceRate, "s"+name)
				var targets sync.WaitGroup
				for _, a := range []*benchTarget{through, direct} {
					targets.Go(func() { a.measure(b, engineJobs, serviceJobs) })
				}
				targets.Wait()
			}
			b.ReportMetric(load*capacity, "engine-req/s")
		})
	}
}

var reportMu sync.Mutex

func (a *benchTarget) measure(b *testing.B, lists ...[]overloadJob) {
	outcomes := make([][]overloadOutcome, len(lists))
	deadlines := make(map[string]time.Time)
	var mu sync.Mutex
	var senders sync.WaitGroup
	for i, jobs := range lists {
		senders.Go(func() {
			out, began := a.run(jobs)
			mu.Lock()
			defer mu.Unlock()
			outcomes[i] = out
			for _, j := range jobs {
				deadlines[j.echo] = began.Add(j.at + j.class.deadline)
			}
		})
	}
	senders.Wait()
	reportMu.Lock()
	defer reportMu.Unlock()
	a.report(b, outcomes)
	a.reportWaste(b, deadlines)
}

func (a *benchTarget) report(b *testing.B, lists [][]overloadOutcome) {
	sent, inTime := map[string]float64{}, map[string]float64{}
	refused := map[callerapi.Outcome]float64{callerapi.NotRun: 0, callerapi.MayHaveRun: 0}
	useful, silent := 0.0, 0.0
	first := newLatencies()
	urgent := newLatencies()
	for _, o := range concat(lists) {
		tier := o.job.class.tier
		sent[tier]++
		switch {
		case o.complete && o.total <= o.job.class.deadline:
			inTime[tier]++
			useful += float64(o.job.tokens)
		case o.refusal != "":
			refused[o.refusal]++
		default:
			silent++
		}
		if o.complete && o.job.tokens > 0 {
			first.add(o.first)
		}
		if o.complete && tier == "urgent" {
			urgent.add(o.total)
		}
	}
	for _, tier := range []string{"patient", "normal", "urgent"} {
		if sent[tier] == 0 {
			continue
		}
		b.ReportMetric(inTime[tier]/sent[tier], a.name+"-goodput-"+tier)
	}
	if useful > 0 {
		b.ReportMetric(useful/overloadArrivals.Seconds(), a.name+"-useful-tokens/s")
		b.ReportMetric(first.millis(50), a.name+"-first-p50-ms")
		b.ReportMetric(first.millis(95), a.name+"-first-p95-ms")
	}
	b.ReportMetric(urgent.millis(50), a.name+"-urgent-p50-ms")
	b.ReportMetric(urgent.millis(99), a.name+"-urgent-p99-ms")
	b.ReportMetric(refused[callerapi.NotRun], a.name+"-not-run")
	b.ReportMetric(refused[callerapi.MayHaveRun], a.name+"-may-have-run")
	b.ReportMetric(silent, a.name+"-late-or-silent")
}

func concat(lists [][]overloadOutcome) []overloadOutcome {
	var all []overloadOutcome
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

// reportWaste counts the runs at the fake upstreams that were wasted: they
// ended after their caller's deadline, were cancelled, failed or have not
// ended.
func (a *benchTarget) reportWaste(b *testing.B, deadlines map[string]time.Time) {
	runs := a.service.Runs()
	for _, e := range a.engines {
		runs = append(runs, e.Runs()...)
	}
	total, wasted := 0.0, 0.0
	for _, r := range runs {
		deadline, known := deadlines[r.Echo]
		if !known {
			continue
		}
		total++
		if r.State != fakes.RunFinished || r.EndedAt.After(deadline) {
			wasted++
		}
	}
	b.ReportMetric(total, a.name+"-runs")
	b.ReportMetric(wasted, a.name+"-wasted-runs")
}
