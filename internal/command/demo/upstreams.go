package demo

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/command/load"
	"github.com/flamingohaven/flamingohaven/internal/fakes"
	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
)

// platformLag is how late the platform names a leaving upstream.
const platformLag = 300 * time.Millisecond

// upstreams are engines of unlike speed, a plain service and the platform.
type upstreams struct {
	fast, middle, slow *fakes.Engine
	service            *fakes.Service
	platform           *fakes.Platform
	closers            []io.Closer
}

func startUpstreams() (*upstreams, error) {
	u := &upstreams{}
	var err error
	engine := func(prefill float64, step time.Duration) *fakes.Engine {
		if err != nil {
			return nil
		}
		var e *fakes.Engine
		e, err = fakes.StartEngine(fakes.EngineOptions{PrefillTokensPerSecond: prefill, StepBase: step, CacheEventLag: 100 * time.Millisecond, CacheEventGap: 10})
		u.add(e, err)
		return e
	}
	u.fast = engine(40_000, 2*time.Millisecond)
	u.middle = engine(20_000, 4*time.Millisecond)
	u.slow = engine(8_000, 8*time.Millisecond)
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
	for _, e := range []*fakes.Engine{u.fast, u.middle, u.slow} {
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

// runs returns what every upstream saw.
func (u *upstreams) runs() [][]fakes.Run {
	return [][]fakes.Run{u.fast.Runs(), u.middle.Runs(), u.slow.Runs(), u.service.Runs()}
}

func (u *upstreams) configuration() string {
	return fmt.Sprintf(`tiers:
  patient: {rank: 1, deadline: 30s, reserve: 0.1}
  ordinary: {rank: 2, deadline: 10s}
  urgent: {rank: 3, deadline: 4s}
  critical: {rank: 4, deadline: 2s}
teams:
  north: {shares: 4}
  south: {shares: 4}
  east: {shares: 1}
  west: {shares: 1}
  centre: {shares: 1}
pools:
  text: {kind: engine, model: demo-8b, version: v1}
  records: {kind: service, version: v1}
upstreams:
  fast: {pool: text, version: v1, address: %q, max_concurrent: 16}
  middle: {pool: text, version: v1, address: %q, max_concurrent: 12}
  slow: {pool: text, version: v1, address: %q, max_concurrent: 8}
  records: {pool: records, version: v1, address: %q, max_concurrent: 32}
routes:
  review: {path: /v1/completions, pool: text, tier: patient, idempotent: true}
  draft: {path: /v1/chat/completions, pool: text, tier: ordinary, idempotent: true}
  submit: {path: /submit, pool: records, tier: urgent, idempotent: false, status_path: /status}
  lookup: {path: /lookup, pool: records, tier: critical, idempotent: true}
`, u.fast.Addr(), u.middle.Addr(), u.slow.Addr(), u.service.Addr())
}

// workload is a mix of all tiers; lengths differ a hundredfold.
func workload() *load.Workload {
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
