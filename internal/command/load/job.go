package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// sharedPrefixBytes is the minimum length of a prompt prefix that requests share.
const sharedPrefixBytes = 4 * openai.PrefixBlockBytes

// job is one planned request. Its resends belong to the same job.
type job struct {
	class *Class
	team  ident.TeamName
	// at is the arrival time, from the start of the run.
	at time.Duration
	// method, path and body are the same in every send.
	method string
	path   string
	body   []byte
	// key is the Idempotency-Key; empty for idempotent classes.
	key string
	// echo is the text that a fake upstream's answer to this request begins with.
	echo string
	// outputTokens is the length of a fake engine's answer, in tokens.
	outputTokens int
	// dropAfter makes the caller abandon the first attempt after this time, to
	// simulate a lost answer; zero means never.
	dropAfter time.Duration
}

// plan generates all requests of a run, with Poisson arrivals. The same options
// give the same plan except for the idempotency keys, which are UUIDv7 and so
// contain the time at which they were made.
func plan(o *Options) ([]*job, error) {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	var jobs []*job
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / o.rateAt(at) * float64(time.Second))
		if at >= o.Duration {
			return jobs, nil
		}
		j, err := newJob(o, rng, len(jobs))
		if err != nil {
			return nil, err
		}
		j.at = at
		jobs = append(jobs, j)
	}
}

func newJob(o *Options, rng *rand.Rand, number int) (*job, error) {
	class := o.Workload.drawClass(rng)
	j := &job{class: class, team: o.Workload.drawTeam(rng), path: class.Path}
	marker := fmt.Sprintf("%x-%d", o.Seed, number)
	switch {
	case class.Model != "":
		j.completion(rng, marker)
	case class.Method == "" || class.Method == http.MethodGet:
		j.method = http.MethodGet
		j.path += "?q=" + marker
		j.echo = fakes.Echo([]byte(j.path))
	default:
		j.method = class.Method
		j.body = fmt.Appendf(nil, `{"item":%q}`, marker)
		j.echo = fakes.Echo(j.body)
	}
	if class.Idempotent {
		return j, nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return nil, fmt.Errorf("make an idempotency key: %w", err)
	}
	j.key = key.String()
	if rng.Float64() < o.LostAnswers {
		j.dropAfter = time.Duration(rng.Float64() * float64(o.LostAfter))
	}
	return j, nil
}

// completion fills in a completion call. The marker makes its prompt unique.
func (j *job) completion(rng *rand.Rand, marker string) {
	var prompt strings.Builder
	if n := j.class.SharedPrefixes; n > 0 {
		word := fmt.Sprintf("shared-%s-%d ", j.class.Name, rng.IntN(n))
		prompt.WriteString(strings.Repeat(word, sharedPrefixBytes/len(word)+1))
	}
	prompt.WriteString(marker)
	if n := j.class.PromptTokens.draw(rng)*openai.BytesPerToken - prompt.Len(); n > 0 {
		prompt.WriteString(strings.Repeat("x", n))
	}
	j.outputTokens = max(j.class.OutputTokens.draw(rng), 1)
	call := openai.Request{Model: j.class.Model, Stream: j.class.Stream, MaxTokens: j.outputTokens}
	text, err := json.Marshal(prompt.String())
	if err != nil {
		panic(err)
	}
	if j.path == openai.PathChat {
		call.Messages = []openai.Message{{Role: "user", Content: text}}
	} else {
		call.Prompt = text
	}
	j.method = http.MethodPost
	j.body, err = json.Marshal(call)
	if err != nil {
		panic(err)
	}
	j.echo = fakes.EchoOf(&call)
}
