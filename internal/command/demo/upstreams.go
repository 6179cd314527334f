package demo

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/command/load"
	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// platformLag is the delay after which the fake platform lists a change, such as
// an upstream that leaves.
const platformLag = 300 * time.Millisecond

const (
	// cacheEventLag is the delay after which engines publish cache events.
	cacheEventLag = 100 * time.Millisecond
	// cacheEventGap makes engines lose every 10th cache event.
	cacheEventGap = 10
)

// Versions of the engines; every request to the bad one fails.
const (
	goodVersion ident.VersionName = "v1"
	badVersion  ident.VersionName = "v2"
)

// moveName is the name of the move to the bad version.
const moveName ident.MoveName = "text-v2"

// moveDeadline is the time from the start to the deadline of the move. It is
// longer than the demo, so that the failures of the bad version end the move and
// not the deadline, and short enough for the move to start at once.
const moveDeadline = 2 * time.Minute

// upstreams holds the fakes: engines of different speeds, a plain service and the
// platform that lists VMs.
type upstreams struct {
	fast, middle, slow *fakes.Engine
	// bad runs badVersion, the target of the move.
	bad      *fakes.Engine
	service  *fakes.Service
	platform *fakes.Platform
	closers  []io.Closer
}

func startUpstreams() (*upstreams, error) {
	u := &upstreams{}
	var err error
	engine := func(version ident.VersionName, prefill float64, step time.Duration) *fakes.Engine {
		if err != nil {
			return nil
		}
		var e *fakes.Engine
		e, err = fakes.StartEngine(fakes.EngineOptions{
			Version:                version,
			Faults:                 map[ident.VersionName]fakes.VersionFault{badVersion: {FailRate: 1}},
			PrefillTokensPerSecond: prefill,
			StepBase:               step,
			CacheEventLag:          cacheEventLag,
			CacheEventGap:          cacheEventGap,
		})
		u.add(e, err)
		return e
	}
	u.fast = engine(goodVersion, 40_000, 2*time.Millisecond)
	u.middle = engine(goodVersion, 20_000, 4*time.Millisecond)
	u.slow = engine(goodVersion, 8_000, 8*time.Millisecond)
	u.bad = engine(badVersion, 40_000, 2*time.Millisecond)
	if err == nil {
		u.service, err = fakes.StartService(fakes.ServiceOptions{Version: "v1", Workers: 32})
		u.add(u.service, err)
	}
	if err == nil {
		u.platform, err = fakes.StartPlatform(fakes.PlatformOptions{Lag: platformLag})
		u.add(u.platform, err)
	}
	if err != nil {
		u.close()
		return nil, err
	}
	for _, e := range []*fakes.Engine{u.fast, u.middle, u.slow, u.bad} {
		u.platform.SetLive(e.Addr())
	}
	return u, nil
}

func (u *upstreams) add(c io.Closer, err error) {
	if err == nil {
		u.closers = append(u.closers, c)
	}
}

func (u *upstreams) close() {
	for _, c := range u.closers {
		_ = c.Close()
	}
}

// runs returns the recorded runs of each upstream.
func (u *upstreams) runs() [][]fakes.Run {
	return [][]fakes.Run{u.fast.Runs(), u.middle.Runs(), u.slow.Runs(), u.bad.Runs(), u.service.Runs()}
}

// WorkloadConfig is the part of a YAML configuration that Workload needs: tiers,
// pools and routes. The user of WorkloadConfig appends teams and upstreams.
const WorkloadConfig = `tiers:
  patient: {rank: 1, deadline: 30s, reserve: 0.1}
  ordinary: {rank: 2, deadline: 10s}
  urgent: {rank: 3, deadline: 4s}
  critical: {rank: 4, deadline: 2s}
pools:
  text: {kind: engine, model: demo-8b, version: v1}
  records: {kind: service, version: v1}
routes:
  review: {path: /v1/completions, pool: text, tier: patient, idempotent: true}
  draft: {path: /v1/chat/completions, pool: text, tier: ordinary, idempotent: true}
  submit: {path: /submit, pool: records, tier: urgent, idempotent: false, status_path: /status}
  lookup: {path: /lookup, pool: records, tier: critical, idempotent: true}
`

func (u *upstreams) configuration() string {
	return WorkloadConfig + fmt.Sprintf(`teams:
  north: {shares: 4}
  south: {shares: 4}
  east: {shares: 1}
  west: {shares: 1}
  centre: {shares: 1}
upstreams:
  fast: {pool: text, version: v1, address: %q, max_concurrent: 16}
  middle: {pool: text, version: v1, address: %q, max_concurrent: 12}
  slow: {pool: text, version: v1, address: %q, max_concurrent: 8}
  next: {pool: text, version: v2, address: %q, max_concurrent: 16}
  records: {pool: records, version: v1, address: %q, max_concurrent: 32}
moves:
  %s: {pool: text, from: v1, to: v2, deadline: %s, canary_share: 0.05, watch: 10s}
`, u.fast.Addr(), u.middle.Addr(), u.slow.Addr(), u.bad.Addr(), u.service.Addr(),
		moveName, time.Now().Add(moveDeadline).UTC().Format(time.RFC3339))
}

// Workload returns a workload that mixes all tiers, with prompts of 40 to 4000
// tokens and outputs of 4 to 200 tokens.
func Workload() *load.Workload {
	return &load.Workload{
		Classes: []load.Class{
			{
				Name: "review", Tier: "patient", Path: openai.PathCompletion, Model: "demo-8b", Idempotent: true,
				Deadline: 6 * time.Second, Weight: 1,
				PromptTokens: load.Range{Min: 100, Max: 4000}, OutputTokens: load.Range{Min: 8, Max: 200},
			},
			{
				Name: "draft", Tier: "ordinary", Path: openai.PathChat, Model: "demo-8b", Stream: true, Idempotent: true,
				Deadline: 4 * time.Second, Weight: 3, SharedPrefixes: 6,
				PromptTokens: load.Range{Min: 40, Max: 1000}, OutputTokens: load.Range{Min: 4, Max: 64},
			},
			{
				Name: "submit", Tier: "urgent", Method: http.MethodPost, Path: "/submit",
				Deadline: 2 * time.Second, Weight: 2,
			},
			{
				Name: "lookup", Tier: "critical", Path: "/lookup", Idempotent: true,
				Deadline: time.Second, Weight: 4,
			},
		},
		Teams: []load.TeamWeight{
			{Name: "north", Weight: 4},
			{Name: "south", Weight: 4},
			{Name: "east", Weight: 1},
			{Name: "west", Weight: 1},
			{Name: "centre", Weight: 1},
		},
	}
}
