package policymodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// BlockTokens is the number of prompt tokens in one block of the prefix cache.
const BlockTokens = 128

// TierLoad describes the requests of one tier.
type TierLoad struct {
	Name ident.TierName
	Rank int
	// Reserve is passed on to scheduler.Tier.
	Reserve float64
	// Interactive includes the tier in Summary.FirstTokenP95 and
	// Summary.InterTokenP95.
	Interactive bool
	// Weight is the tier's share of all requests, relative to the other tiers.
	Weight float64
	// Prompt and Output are median token counts. Both are log-normally
	// distributed with the sigma Spread.
	Prompt int
	Output int
	Spread float64
	// MaxPrompt and MaxOutput are the maximum token counts.
	MaxPrompt int
	MaxOutput int
	// Deadline is the time from a request's arrival to its deadline.
	Deadline time.Duration
	Route    ident.RouteName
	// NonIdempotent marks the tier's requests as not idempotent.
	NonIdempotent bool
}

// TeamLoad describes the requests of one team.
type TeamLoad struct {
	Name ident.TeamName
	// Shares is passed on to scheduler.Team.
	Shares int
	// Weight is the team's share of all requests, relative to the other teams.
	Weight float64
}

// Workload describes the arrivals of a run.
type Workload struct {
	Tiers []TierLoad
	Teams []TeamLoad
	// Rate returns the arrival rate at a virtual time, in requests per second.
	Rate func(at time.Duration) float64
	// Templates is the number of prompt templates per tier. Requests with the same
	// template have the same prefix.
	Templates int
	// SharedFraction is the fraction of a prompt's blocks that come from its
	// template, 0 to 1.
	SharedFraction float64
	// EstimateSpread is the sigma of the log-normal error of EstimatedOutput.
	EstimateSpread float64
}

// StandardWorkload returns a workload of four tiers, with token counts that
// differ by a factor of a hundred, and five teams, two of them large. It has no
// Rate. Every request can meet its deadline with 64 ms between tokens if it does
// not have to wait.
func StandardWorkload() Workload {
	return Workload{
		Tiers: []TierLoad{
			{Name: "critical", Rank: 4, Interactive: true, Weight: 0.15, Prompt: 300, Output: 40, Spread: 0.5, MaxPrompt: 2000, MaxOutput: 60, Deadline: 6 * time.Second, Route: "lookup"},
			{Name: "urgent", Rank: 3, Interactive: true, Weight: 0.25, Prompt: 800, Output: 100, Spread: 0.6, MaxPrompt: 8000, MaxOutput: 180, Deadline: 15 * time.Second, Route: "entry"},
			{Name: "ordinary", Rank: 2, Interactive: true, Weight: 0.4, Prompt: 1500, Output: 220, Spread: 0.8, MaxPrompt: 16000, MaxOutput: 600, Deadline: 45 * time.Second, Route: "summary"},
			{Name: "patient", Rank: 1, Reserve: 0.1, Weight: 0.2, Prompt: 5000, Output: 400, Spread: 0.9, MaxPrompt: 40000, MaxOutput: 1500, Deadline: 120 * time.Second, Route: "review"},
		},
		Teams: []TeamLoad{
			{Name: "team-1", Shares: 4, Weight: 0.4},
			{Name: "team-2", Shares: 4, Weight: 0.35},
			{Name: "team-3", Shares: 1, Weight: 0.1},
			{Name: "team-4", Shares: 1, Weight: 0.1},
			{Name: "team-5", Shares: 1, Weight: 0.05},
		},
		Templates:      40,
		SharedFraction: 0.6,
		EstimateSpread: 0.4,
	}
}

// ConstantRate returns a constant arrival rate for Workload.Rate.
func ConstantRate(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// BurstRate returns an arrival rate for Workload.Rate that is multiplied by
// factor between from and to, and constant otherwise.
func BurstRate(perSecond, factor float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return perSecond * factor
		}
		return perSecond
	}
}

// generator generates the requests of a workload.
type generator struct {
	workload Workload
	rng      *rand.Rand
	// drawn counts the requests generated so far.
	drawn int
}

func newGenerator(workload Workload, seed uint64) *generator {
	return &generator{workload: workload, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))}
}

// interarrival draws the time to the next arrival from an exponential
// distribution with the rate at the given time.
func (g *generator) interarrival(at time.Duration) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / g.workload.Rate(at) * float64(time.Second))
}

// draw generates a request that arrives at the given time at one of the gateways.
func (g *generator) draw(at time.Duration, gateways int) *Request {
	tier := g.workload.Tiers[pickWeighted(g.rng, len(g.workload.Tiers), func(i int) float64 { return g.workload.Tiers[i].Weight })]
	team := g.workload.Teams[pickWeighted(g.rng, len(g.workload.Teams), func(i int) float64 { return g.workload.Teams[i].Weight })]
	g.drawn++
	r := &Request{
		ID:         ident.RequestID(fmt.Sprintf("r%07d", g.drawn)),
		Gateway:    GatewayName(g.rng.IntN(gateways)),
		Tier:       tier.Name,
		Team:       team.Name,
		Route:      tier.Route,
		Idempotent: !tier.NonIdempotent,
		Prompt:     min(tier.MaxPrompt, g.tokenCount(tier.Prompt, tier.Spread)),
		Output:     min(tier.MaxOutput, g.tokenCount(tier.Output, tier.Spread)),
		Arrival:    at,
		Deadline:   at + tier.Deadline,
	}
	r.EstimatedOutput = max(1, int(float64(r.Output)*math.Exp(g.rng.NormFloat64()*g.workload.EstimateSpread)))
	r.Prefixes = g.prefixes(r, tier)
	return r
}

// tokenCount draws a token count of at least 1 from a log-normal distribution
// with the sigma spread.
func (g *generator) tokenCount(median int, spread float64) int {
	return max(1, int(float64(median)*math.Exp(g.rng.NormFloat64()*spread)))
}

// prefixes returns the hashes of the prompt's complete blocks: first the blocks
// of a template that other requests of the tier also use, then blocks unique to
// the request.
func (g *generator) prefixes(r *Request, tier TierLoad) []uint64 {
	blocks := r.Prompt / BlockTokens
	shared := int(float64(blocks) * g.workload.SharedFraction)
	template := uint64(tier.Rank)<<32 | uint64(zipf(g.rng, g.workload.Templates))
	out := make([]uint64, blocks)
	for i := range out {
		if i < shared {
			out[i] = mixBits(template<<16 | uint64(i))
		} else {
			out[i] = mixBits(uint64(g.drawn)<<24 | 1<<63 | uint64(i))
		}
	}
	return out
}

// zipf draws a number from 0 to n-1. The probability of i is roughly proportional
// to 1/(i+1).
func zipf(rng *rand.Rand, n int) int {
	return min(n-1, int(math.Exp(rng.Float64()*math.Log(float64(n+1))))-1)
}

// mixBits returns a hash of x, with the mixing function of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// pickWeighted draws an index from 0 to n-1 with a probability proportional to
// its weight.
func pickWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	remaining := rng.Float64() * total
	for i := range n {
		remaining -= weight(i)
		if remaining < 0 {
			return i
		}
	}
	return n - 1
}

// GatewayName returns the name of the gateway with the given index, from 0.
func GatewayName(i int) ident.NodeID {
	return ident.NodeID(fmt.Sprintf("gateway-%d", i+1))
}
