// Package load generates open-loop load as callers of the system would: it
// keeps addresses, resends after refusals and lost answers under the same
// Idempotency-Key, and counts what became of every request.
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

// Range is an interval of whole numbers, both ends included.
type Range struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// draw returns a number of the range; its logarithm is spread evenly.
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
	// Route is sent as a header where path and model do not determine it.
	Route ident.RouteName `yaml:"route,omitempty"`
	// Method of a call to a plain service; completion calls are POST.
	Method string `yaml:"method,omitempty"`
	Path   string `yaml:"path"`
	// Model makes the class a completion call.
	Model      string `yaml:"model,omitempty"`
	Stream     bool   `yaml:"stream,omitempty"`
	Idempotent bool   `yaml:"idempotent"`
	// Deadline is the time that the caller gives each request.
	Deadline time.Duration `yaml:"deadline"`
	// Weight is the class's part of the arrivals.
	Weight       float64 `yaml:"weight"`
	PromptTokens Range   `yaml:"prompt_tokens,omitempty"`
	OutputTokens Range   `yaml:"output_tokens,omitempty"`
	// SharedPrefixes is the number of prompt beginnings that requests share;
	// zero means none.
	SharedPrefixes int `yaml:"shared_prefixes,omitempty"`
}

// TeamWeight is one team's part of the arrivals.
type TeamWeight struct {
	Name   ident.TeamName `yaml:"name"`
	Weight float64        `yaml:"weight"`
}

// Workload is a mix of classes and teams.
type Workload struct {
	Classes []Class      `yaml:"classes"`
	Teams   []TeamWeight `yaml:"teams"`
}

// ReadWorkload reads a workload file strictly.
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
			problems = append(problems, fmt.Errorf("class %q: path, tier, a weight and a deadline above zero are needed", c.Name))
		}
	}
	for _, t := range w.Teams {
		if t.Weight <= 0 {
			problems = append(problems, fmt.Errorf("team %q: a weight above zero is needed", t.Name))
		}
	}
	if len(w.Classes) == 0 || len(w.Teams) == 0 {
		problems = append(problems, errors.New("at least one class and one team are needed"))
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
