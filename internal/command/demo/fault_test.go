package demo

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/command/load"
	"github.com/flamingohaven/flamingohaven/internal/fakes"
)

// Shape of the load of one fault test.
const (
	faultLoad  = 2 * time.Second
	faultRate  = 60
	faultBegin = faultLoad / 4
	faultEnd   = faultLoad * 3 / 4
)

// underLoad brings a fault about in the middle of mixed load with lost answers,
// ends it, and checks that no promise was broken.
func underLoad(t *testing.T, begin, end func(c *cluster)) *load.Report {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	c, err := startCluster(t.Context())
	must.NoError(t, err)
	defer func() { must.NoError(t, c.close()) }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		pause(t.Context(), faultBegin)
		begin(c)
		pause(t.Context(), faultEnd-faultBegin)
		end(c)
	}()
	result, err := load.Run(t.Context(), load.Options{
		Addresses:   c.callerAddresses(),
		Workload:    Workload(),
		Rate:        faultRate,
		Duration:    faultLoad,
		Seed:        1,
		LostAnswers: lostAnswers,
		LostAfter:   lostAfter,
		VerifyEcho:  true,
	})
	must.NoError(t, err)
	<-done
	report := result.Report(load.NewUpstreams(c.upstreams.runs()...))
	t.Logf("%+v refused %+v", report.Counts, report.Refused)
	must.False(t, report.Failed(), must.Sprintf("%+v", report.Broken))
	must.Positive(t, report.Answered)
	return report
}

func nothing(*cluster) {}

func TestFault_NodeKilled(t *testing.T) {
	underLoad(t, func(c *cluster) { c.nodes[0].agent.Kill() }, nothing)
}

func TestFault_SilentUpstreamConnections(t *testing.T) {
	silence := func(c *cluster) {
		c.upstreams.fast.Silence()
		c.upstreams.service.Silence()
	}
	underLoad(t, silence, silence)
}

func TestFault_CrossedAnswers(t *testing.T) {
	cross := func(on bool) func(*cluster) {
		return func(c *cluster) {
			c.upstreams.fast.CrossAnswers(on)
			c.upstreams.service.CrossAnswers(on)
		}
	}
	underLoad(t, cross(true), cross(false))
}

func TestFault_BrokenStreams(t *testing.T) {
	breakAfter := func(n int) func(*cluster) {
		return func(c *cluster) {
			c.upstreams.fast.BreakStreamsAfter(n)
			c.upstreams.middle.BreakStreamsAfter(n)
		}
	}
	underLoad(t, breakAfter(2), breakAfter(0))
}

func TestFault_UpstreamsFail(t *testing.T) {
	for _, mode := range []fakes.FailMode{fakes.FailReset, fakes.FailAnswerLost, fakes.FailMidStream, fakes.FailStatus} {
		t.Run(string(mode), func(t *testing.T) {
			fail := func(mode fakes.FailMode) func(*cluster) {
				return func(c *cluster) {
					c.upstreams.fast.SetFail(mode)
					c.upstreams.service.SetFail(mode)
				}
			}
			underLoad(t, fail(mode), fail(fakes.FailNone))
		})
	}
}

func TestFault_ConnectionsRefused(t *testing.T) {
	refuse := func(on bool) func(*cluster) {
		return func(c *cluster) {
			must.NoError(t, c.upstreams.fast.RefuseConnections(on))
			must.NoError(t, c.upstreams.service.RefuseConnections(on))
		}
	}
	underLoad(t, refuse(true), refuse(false))
}

func TestFault_EnginesSlowDown(t *testing.T) {
	slow := func(factor float64) func(*cluster) {
		return func(c *cluster) {
			c.upstreams.fast.SetSlow(factor)
			c.upstreams.middle.SetSlow(factor)
		}
	}
	underLoad(t, slow(20), slow(1))
}
