// Package load generates open-loop load the way real callers do: it caches the
// address list, resends after refusals and lost answers with the same
// Idempotency-Key, and counts the outcome of every request.
package load

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Range is an interval of integers, both ends included.
type Range struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// draw returns a log-uniformly distributed number from the range.
func (r Range) draw(rng *rand.Rand) int {
	if r.Max <= r.Min {
		return r.Min
	}
	low, high := math.Log(float64(max(r.Min, 1))), math.Log(float64(r.Max))
	return int(math.Round(math.Exp(low + rng.Float64()*(high-low))))
}

// Class is one kind of request.
type Class struct {
	Name string         `yaml:"name"`
	Tier ident.TierName `yaml:"tier"`
	// Route is sent as a header if path and model do not determine the route.
	Route ident.RouteName `yaml:"route,omitempty"`
	// Method is the HTTP method of a call to a plain service, GET if empty.
	// Completion calls are always POST.
	Method string `yaml:"method,omitempty"`
	Path   string `yaml:"path"`
	// Model makes the class a completion call.
	Model      string `yaml:"model,omitempty"`
	Stream     bool   `yaml:"stream,omitempty"`
	Idempotent bool   `yaml:"idempotent"`
	// Deadline is the time limit of each request, from its arrival.
	Deadline time.Duration `yaml:"deadline"`
	// Weight is the class's share of the arrivals, relative to the sum of all
	// classes' weights.
	Weight       float64 `yaml:"weight"`
	PromptTokens Range   `yaml:"prompt_tokens,omitempty"`
	OutputTokens Range   `yaml:"output_tokens,omitempty"`
	// SharedPrefixes is the number of distinct prompt prefixes that requests of
	// the class share; zero means that no prefix is shared.
	SharedPrefixes int `yaml:"shared_prefixes,omitempty"`
}

// TeamWeight is one team's share of the arrivals, relative to the sum of all
// teams' weights.
type TeamWeight struct {
	Name   ident.TeamName `yaml:"name"`
	Weight float64        `yaml:"weight"`
}

// Workload is a mix of classes and teams.
type Workload struct {
	Classes []Class      `yaml:"classes"`
	Teams   []TeamWeight `yaml:"teams"`
}

// ReadWorkload reads and checks a workload file in YAML. Unknown fields are
// errors.
func ReadWorkload(path string) (*Workload, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var w Workload
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&w); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := w.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &w, nil
}

func (w *Workload) check() error {
	var problems []error
	for _, c := range w.Classes {
		if c.Weight <= 0 || c.Deadline <= 0 || c.Path == "" || c.Tier == "" {
			problems = append(problems, fmt.Errorf("class %q: path %q and tier %q must be set, weight %g and deadline %s must be above zero", c.Name, c.Path, c.Tier, c.Weight, c.Deadline))
		}
	}
	for _, t := range w.Teams {
		if t.Weight <= 0 {
			problems = append(problems, fmt.Errorf("team %q: weight %g must be above zero", t.Name, t.Weight))
		}
	}
	if len(w.Classes) == 0 || len(w.Teams) == 0 {
		problems = append(problems, errors.New("workload must have at least one class and one team"))
	}
	return errors.Join(problems...)
}

func (w *Workload) drawClass(rng *rand.Rand) *Class {
	total := 0.0
	for _, c := range w.Classes {
		total += c.Weight
	}
	left := rng.Float64() * total
	for i := range w.Classes {
		if left -= w.Classes[i].Weight; left < 0 {
			return &w.Classes[i]
		}
	}
	return &w.Classes[len(w.Classes)-1]
}

func (w *Workload) drawTeam(rng *rand.Rand) ident.TeamName {
	total := 0.0
	for _, t := range w.Teams {
		total += t.Weight
	}
	left := rng.Float64() * total
	for _, t := range w.Teams {
		if left -= t.Weight; left < 0 {
			return t.Name
		}
	}
	return w.Teams[len(w.Teams)-1].Name
}
