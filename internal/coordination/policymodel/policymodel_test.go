package policymodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestRun_SameSeedSameSummary(t *testing.T) {
	run := func() Summary {
		c := standardConfig(t)
		c.Duration, c.Warmup = 60*time.Second, 5*time.Second
		c.Workload.Rate = ConstantRate(15)
		c.Policy = NewCentral(fullShareV1())
		return Run(c)
	}
	first := run()
	must.Eq(t, first, run())
	must.Positive(t, first.Tiers["critical"].Done)
}

func TestEngine_PrefillTakesOneStep(t *testing.T) {
	l := &closedLoop{gen: newGenerator(StandardWorkload(), 1)}
	e := NewEngine(ReferenceEngine(), &l.clock, l)
	r := &Request{Prompt: 256, Output: 2}
	e.Submit(r)
	l.clock.Run(e.StepBase + 16*time.Millisecond - 1)
	must.Eq(t, 0, r.prefilled)
	l.clock.Run(e.StepBase + 16*time.Millisecond)
	must.Eq(t, 256, r.prefilled)
}
