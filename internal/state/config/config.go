// Package config defines the operators' configuration: its objects, their
// names and the strict checks that a folder of files must pass.
package config

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Config is one whole configuration. Objects are keyed by name, so that a
// later file replaces an object of an earlier one.
type Config struct {
	Tiers     map[ident.TierName]Tier         `yaml:"tiers,omitempty"`
	Teams     map[ident.TeamName]Team         `yaml:"teams,omitempty"`
	Pools     map[ident.PoolName]Pool         `yaml:"pools,omitempty"`
	Upstreams map[ident.UpstreamName]Upstream `yaml:"upstreams,omitempty"`
	Routes    map[ident.RouteName]Route       `yaml:"routes,omitempty"`
	Moves     map[ident.MoveName]Move         `yaml:"moves,omitempty"`
	// Callers bounds what callers may send; nil selects the process's settings.
	Callers *CallerLimits `yaml:"-" cbor:",omitempty"`
}

// CallerLimits bounds what a caller may send and how long it may take.
type CallerLimits struct {
	// HeaderBytes and BodyBytes bound one request, in bytes.
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout bounds the reading of a header, and IdleTimeout the time
	// between two requests of a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Tier is a class of service. Work of a higher rank is never shed before work
// of a lower rank.
type Tier struct {
	// Rank orders tiers; the highest rank is shed last.
	Rank int `yaml:"rank"`
	// Deadline applies to requests that carry none.
	Deadline time.Duration `yaml:"deadline"`
	// Reserve is the fraction of a pool's capacity, 0 to 0.5, that this tier
	// may claim ahead of higher tiers while it has work close to its deadline.
	Reserve float64 `yaml:"reserve,omitempty"`
}

// Team is a customer of the system.
type Team struct {
	// Shares weighs the team against others of the same tier.
	Shares int `yaml:"shares"`
	// MaxWaitingBytes bounds the request bodies that one gateway holds for the
	// team, in bytes. Zero selects the process default.
	MaxWaitingBytes int64 `yaml:"max_waiting_bytes,omitempty"`
	// Keys are the API keys that identify the team's callers, for deployments
	// that identify callers by key.
	Keys []string `yaml:"-" cbor:",omitempty"`
	// Tiers names, by the tier of a route, the tier that the team's requests get
	// in its place.
	Tiers map[ident.TierName]ident.TierName `yaml:"-" cbor:",omitempty"`
	// Quota bounds the team's use over all nodes; nil means no limit.
	Quota *Quota `yaml:"-" cbor:",omitempty"`
}

// Quota is a token bucket in tokens of prompts and answers.
type Quota struct {
	// PerSecond is the refill in tokens per second, and Burst the capacity in tokens.
	PerSecond float64
	Burst     float64
	// PlainTokens is the cost of a request that declares no token counts.
	PlainTokens float64
}

// PoolKind tells what the upstreams of a pool are.
type PoolKind string

const (
	// KindEngine marks a pool of model engines.
	KindEngine PoolKind = "engine"
	// KindService marks a pool of plain services.
	KindService PoolKind = "service"
)

// Pool is a set of upstreams that serve one model or one service.
type Pool struct {
	Kind PoolKind `yaml:"kind"`
	// Model is the model name that callers give. Engines only.
	Model string `yaml:"model,omitempty"`
	// Version is the version that serves while no move is under way.
	Version ident.VersionName `yaml:"version"`
	// QueueLimit bounds the requests waiting in the pool. Zero selects the default.
	QueueLimit int `yaml:"queue_limit,omitempty"`
	// HealthPath is the path of the upstreams' own health check.
	HealthPath string `yaml:"-" cbor:",omitempty"`
	// MaxConnections bounds the connections to one upstream from all nodes
	// together; 0 means no bound.
	MaxConnections int `yaml:"-" cbor:",omitempty"`
}

// FencingMode tells what an upstream checks about orders.
type FencingMode string

const (
	// FencingChecked marks an upstream that refuses an old fencing number.
	FencingChecked FencingMode = "checked"
	// FencingIgnored marks an upstream that obeys any order.
	FencingIgnored FencingMode = "ignored"
)

// Upstream is one engine or plain service instance.
type Upstream struct {
	Pool    ident.PoolName    `yaml:"pool"`
	Version ident.VersionName `yaml:"version"`
	// Address is host:port of the upstream's HTTP listener, by IP number.
	Address string `yaml:"address"`
	// Instance is the upstream's own name, which a request may demand to meet;
	// empty if upstreams have none.
	Instance string     `yaml:"-" cbor:",omitempty"`
	Zone     ident.Zone `yaml:"zone,omitempty"`
	// Class names the upstreams that are equally fast. A move compares the
	// latencies of two versions only within a class. Empty stands for all
	// upstreams of the pool with the same MaxConcurrent.
	Class ident.HardwareClass `yaml:"class,omitempty"`
	// MaxConcurrent bounds requests in flight; the learned limit stays below it.
	MaxConcurrent int         `yaml:"max_concurrent"`
	Fencing       FencingMode `yaml:"fencing,omitempty"`
}

// Route maps caller requests to a pool and a tier.
type Route struct {
	// Path is the exact HTTP path that callers use.
	Path string         `yaml:"path"`
	Pool ident.PoolName `yaml:"pool"`
	Tier ident.TierName `yaml:"tier"`
	// Idempotent permits a request to run again after a caller's resend.
	Idempotent bool `yaml:"idempotent"`
	// StatusPath is the service's query for the outcome of a key, if it has one.
	StatusPath string `yaml:"status_path,omitempty"`

	// Host and Prefix select requests by authority and by the beginning of the
	// path, which begins and ends with a slash. Path is empty then.
	Host   string `yaml:"-" cbor:",omitempty"`
	Prefix string `yaml:"-" cbor:",omitempty"`
	// Streams marks a route whose answers are streams of events.
	Streams bool `yaml:"-" cbor:",omitempty"`
	// Resumable permits a broken stream to go on at another upstream after the
	// last event that was passed on.
	Resumable bool `yaml:"-" cbor:",omitempty"`
	// Public permits requests without an API key.
	Public bool `yaml:"-" cbor:",omitempty"`
	// Timeout is the longest time to keep a request waiting.
	Timeout time.Duration `yaml:"-" cbor:",omitempty"`
	// Objective is the time to the first part of the answer within which it has
	// its full use, and GapObjective the longest pause between events.
	Objective    time.Duration `yaml:"-" cbor:",omitempty"`
	GapObjective time.Duration `yaml:"-" cbor:",omitempty"`
	// MaxAttempts bounds the upstreams that one request may be sent to; 0 means 1.
	MaxAttempts int `yaml:"-" cbor:",omitempty"`
	// Splits shares the route's requests among pools. Pool is the first of them.
	Splits []Split `yaml:"-" cbor:",omitempty"`
}

// Split is one pool's part of a route's requests.
type Split struct {
	Pool ident.PoolName
	// Weight is relative to the other parts.
	Weight float64
}

// Move is an order to shift a pool's traffic from one version to another.
type Move struct {
	Pool ident.PoolName    `yaml:"pool"`
	From ident.VersionName `yaml:"from"`
	To   ident.VersionName `yaml:"to"`
	// Deadline is the wall-clock time by which the move must be done.
	Deadline time.Time `yaml:"deadline"`
	// CanaryShare is the first share of traffic, 0 to 0.05, that To gets.
	CanaryShare float64 `yaml:"canary_share,omitempty"`
	// Watch is how long From stays ready after To carries all traffic.
	Watch time.Duration `yaml:"watch,omitempty"`
}

// HardwareClass returns the class in which the upstream's latencies compare.
func (u *Upstream) HardwareClass() ident.HardwareClass {
	if u.Class != "" {
		return u.Class
	}
	return ident.HardwareClass(fmt.Sprintf("max_concurrent %d", u.MaxConcurrent))
}
