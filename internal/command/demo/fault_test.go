package demo

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/command/load"
	"github.com/flamingohaven/flamingohaven/internal/fakes"
)

// Load of one fault test: its length, arrivals per second, and when the fault
// starts and ends.
const (
	loadDuration = 2 * time.Second
	loadRate     = 60
	faultStart   = loadDuration / 4
	faultEnd     = loadDuration * 3 / 4
)

// checkFaultUnderLoad runs mixed load with lost answers on a new cluster. It calls
// begin at faultStart and end at faultEnd to inject and clear a fault, and checks
// that no guarantee was violated.
func checkFaultUnderLoad(t *testing.T, begin, end func(c *cluster)) *load.Report {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	c, err := startCluster(t.Context())
	must.NoError(t, err)
	defer func() { must.NoError(t, c.close()) }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		sleep(t.Context(), faultStart)
		begin(c)
		sleep(t.Context(), faultEnd-faultStart)
		end(c)
	}()
	result, err := load.Run(t.Context(), load.Options{
		Addresses:   c.callerAddresses(),
		Workload:    Workload(),
		Rate:        loadRate,
		Duration:    loadDuration,
		Seed:        1,
		LostAnswers: lostAnswerFraction,
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

func noop(*cluster) {}

func TestFault_NodeKilled(t *testing.T) {
	checkFaultUnderLoad(t, func(c *cluster) { c.nodes[0].agent.Kill() }, noop)
}

// TestFault_SilentUpstreamConnections drops all traffic on the open connections of
// two upstreams without closing them, twice. New connections work.
func TestFault_SilentUpstreamConnections(t *testing.T) {
	silence := func(c *cluster) {
		c.upstreams.fast.Silence()
		c.upstreams.service.Silence()
	}
	checkFaultUnderLoad(t, silence, silence)
}

// TestFault_CrossedAnswers makes two upstreams give callers the answers to other
// requests.
func TestFault_CrossedAnswers(t *testing.T) {
	cross := func(on bool) func(*cluster) {
		return func(c *cluster) {
			c.upstreams.fast.CrossAnswers(on)
			c.upstreams.service.CrossAnswers(on)
		}
	}
	checkFaultUnderLoad(t, cross(true), cross(false))
}

// TestFault_BrokenStreams makes two engines break every stream after 2 events.
func TestFault_BrokenStreams(t *testing.T) {
	breakAfter := func(n int) func(*cluster) {
		return func(c *cluster) {
			c.upstreams.fast.BreakStreamsAfter(n)
			c.upstreams.middle.BreakStreamsAfter(n)
		}
	}
	checkFaultUnderLoad(t, breakAfter(2), breakAfter(0))
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
			checkFaultUnderLoad(t, fail(mode), fail(fakes.FailNone))
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
	checkFaultUnderLoad(t, refuse(true), refuse(false))
}

// TestFault_EnginesSlowDown makes every step of two engines take 20 times as long.
func TestFault_EnginesSlowDown(t *testing.T) {
	slow := func(factor float64) func(*cluster) {
		return func(c *cluster) {
			c.upstreams.fast.SetSlow(factor)
			c.upstreams.middle.SetSlow(factor)
		}
	}
	checkFaultUnderLoad(t, slow(20), slow(1))
}
