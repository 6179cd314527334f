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
	Address string     `yaml:"address"`
	Zone    ident.Zone `yaml:"zone,omitempty"`
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
