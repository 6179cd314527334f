// Package config defines the operators' configuration: its objects, how a folder
// of YAML files is loaded and validated, and the replicated store of revisions.
package config

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Config is a complete configuration. Objects are keyed by name, so that an
// object in a later file replaces one of the same name in an earlier file.
type Config struct {
	Tiers     map[ident.TierName]Tier         `yaml:"tiers,omitempty"`
	Teams     map[ident.TeamName]Team         `yaml:"teams,omitempty"`
	Pools     map[ident.PoolName]Pool         `yaml:"pools,omitempty"`
	Upstreams map[ident.UpstreamName]Upstream `yaml:"upstreams,omitempty"`
	Routes    map[ident.RouteName]Route       `yaml:"routes,omitempty"`
	Moves     map[ident.MoveName]Move         `yaml:"moves,omitempty"`
	// Callers limits what callers may send; nil selects the settings of the process.
	Callers *CallerLimits `yaml:"-" cbor:",omitempty"`
}

// CallerLimits limits the size of a caller's requests and how long they may take.
type CallerLimits struct {
	// HeaderBytes and BodyBytes limit the header and the body of one request, in
	// bytes.
	HeaderBytes int64
	BodyBytes   int64
	// HeaderTimeout limits the time to read a header, and IdleTimeout the time
	// between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Tier is a class of service. Requests of a higher rank are never shed before
// requests of a lower rank.
type Tier struct {
	// Rank is the priority of the tier; the highest rank is shed last.
	Rank int `yaml:"rank"`
	// Deadline applies to requests that specify none, relative to their arrival.
	Deadline time.Duration `yaml:"deadline"`
	// Reserve is the fraction of a pool's capacity, 0 to 0.5, that this tier may
	// use ahead of higher tiers while it has requests close to their deadlines.
	Reserve float64 `yaml:"reserve,omitempty"`
}

// Team is a customer of the system.
type Team struct {
	// Shares is the weight of the team relative to other teams in the same tier.
	Shares int `yaml:"shares"`
	// MaxWaitingBytes limits the total size of the request bodies that one
	// gateway holds for the team, in bytes. Zero selects the process default.
	MaxWaitingBytes int64 `yaml:"max_waiting_bytes,omitempty"`
	// Keys are the API keys that identify the team's callers, for deployments
	// that identify callers by key.
	Keys []string `yaml:"-" cbor:",omitempty"`
	// Tiers maps the tier of a route to the tier that the team's requests get
	// instead.
	Tiers map[ident.TierName]ident.TierName `yaml:"-" cbor:",omitempty"`
	// Quota limits the team's usage across all nodes; nil means no limit.
	Quota *Quota `yaml:"-" cbor:",omitempty"`
	// Regions are those in which the team's requests may be served; empty means all.
	Regions []ident.Region `yaml:"-" cbor:",omitempty"`
}

// KeylessTeam is the name of a team without keys that stands for an empty list of teams: callers
// have to identify themselves, and none can. A configuration without any team asks for no keys.
// Deltas, gob and the normal form don't tell an empty map from none; they keep this team like
// any other, and builds that don't know the name deny callers because of it too.
const KeylessTeam ident.TeamName = "(no team)"

// Quota is a token bucket that counts the tokens of prompts and answers.
type Quota struct {
	// PerSecond is the refill rate in tokens per second, and Burst the capacity in
	// tokens.
	PerSecond float64
	Burst     float64
	// PlainTokens is the cost of a request that declares no token counts.
	PlainTokens float64
}

// PoolKind is the kind of upstreams in a pool.
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
	// Model is the model name that callers specify. Only engine pools have one.
	Model string `yaml:"model,omitempty"`
	// Version is the version that serves the pool while no move is in progress.
	Version ident.VersionName `yaml:"version"`
	// QueueLimit is the maximum number of requests queued for the pool. Zero
	// selects the default.
	QueueLimit int `yaml:"queue_limit,omitempty"`
	// HealthPath is the HTTP path of the upstreams' health check.
	HealthPath string `yaml:"-" cbor:",omitempty"`
	// MaxConnections is the maximum number of connections to one upstream, summed
	// over all nodes; 0 means no limit.
	MaxConnections int `yaml:"-" cbor:",omitempty"`
	// Cold limits the load of upstreams that have just started; nil means no limit.
	Cold *ColdLimit `yaml:"-" cbor:",omitempty"`
}

// ColdLimit describes upstreams that are slow after a start and end if they get too
// many requests meanwhile.
type ColdLimit struct {
	// Duration is how long an upstream is cold after its start.
	Duration time.Duration
	// PerSecond is the number of requests a second that a cold upstream tolerates,
	// summed over all gateways; 0 means no limit.
	PerSecond float64
}

// FencingMode states whether an upstream checks the fencing numbers of orders.
type FencingMode string

const (
	// FencingChecked marks an upstream that refuses orders with an old fencing
	// number.
	FencingChecked FencingMode = "checked"
	// FencingIgnored marks an upstream that executes every order.
	FencingIgnored FencingMode = "ignored"
)

// Upstream is one engine or plain service instance.
type Upstream struct {
	Pool    ident.PoolName    `yaml:"pool"`
	Version ident.VersionName `yaml:"version"`
	// Address is the host:port of the upstream's HTTP listener. The host is an IP
	// address.
	Address string `yaml:"address"`
	// Instance is the ID that the upstream has for itself, which a request can
	// require of its receiver; empty if upstreams have none.
	Instance string     `yaml:"-" cbor:",omitempty"`
	Zone     ident.Zone `yaml:"zone,omitempty"`
	// Class groups upstreams of equal speed. A move compares the latencies of two
	// versions only within a class. If it is empty, all upstreams of the pool with
	// the same MaxConcurrent form a class.
	Class ident.HardwareClass `yaml:"class,omitempty"`
	// MaxConcurrent is the maximum number of requests in flight. The adaptive
	// concurrency limit never exceeds it.
	MaxConcurrent int         `yaml:"max_concurrent"`
	Fencing       FencingMode `yaml:"fencing,omitempty"`
}

// Route maps caller requests to a pool and a tier.
type Route struct {
	// Path is the exact HTTP path that callers use.
	Path string         `yaml:"path"`
	Pool ident.PoolName `yaml:"pool"`
	Tier ident.TierName `yaml:"tier"`
	// Idempotent allows a request to be executed again when the caller retries it.
	Idempotent bool `yaml:"idempotent"`
	// StatusPath is the path at which the service reports the outcome of an
	// idempotency key; empty if it has none.
	StatusPath string `yaml:"status_path,omitempty"`

	// Host and Prefix select requests by authority and by path prefix. Prefix
	// begins and ends with a slash. Path is empty if they are set.
	Host   string `yaml:"-" cbor:",omitempty"`
	Prefix string `yaml:"-" cbor:",omitempty"`
	// Streams marks a route whose answers are event streams.
	Streams bool `yaml:"-" cbor:",omitempty"`
	// Resumable allows a broken stream to be resumed at another upstream after the
	// last event that was forwarded to the caller.
	Resumable bool `yaml:"-" cbor:",omitempty"`
	// Public allows requests without an API key.
	Public bool `yaml:"-" cbor:",omitempty"`
	// Timeout is the maximum time from the arrival of a request to its deadline. A
	// shorter timeout of the caller takes precedence.
	Timeout time.Duration `yaml:"-" cbor:",omitempty"`
	// Objective is the target for the time to the first part of the answer, and
	// GapObjective the target for the longest pause between events. An answer
	// that misses its objective is worth less to the caller.
	Objective    time.Duration `yaml:"-" cbor:",omitempty"`
	GapObjective time.Duration `yaml:"-" cbor:",omitempty"`
	// MaxAttempts is the maximum number of upstreams that one request may be sent
	// to; 0 means 1.
	MaxAttempts int `yaml:"-" cbor:",omitempty"`
	// Splits divides the route's requests among several pools by weight. Pool is
	// the first of these pools.
	Splits []Split `yaml:"-" cbor:",omitempty"`
	// Regions are those in which the route's requests may be served; empty means all.
	Regions []ident.Region `yaml:"-" cbor:",omitempty"`
}

// Split assigns a fraction of a route's requests to a pool.
type Split struct {
	Pool ident.PoolName
	// Weight is relative to the weights of the other splits.
	Weight float64
}

// Move is an order to shift a pool's traffic from one version to another.
type Move struct {
	Pool ident.PoolName    `yaml:"pool"`
	From ident.VersionName `yaml:"from"`
	To   ident.VersionName `yaml:"to"`
	// Deadline is the wall-clock time by which the move must be complete.
	Deadline time.Time `yaml:"deadline"`
	// CanaryShare is the initial fraction of traffic, 0 to 0.05, that To gets.
	CanaryShare float64 `yaml:"canary_share,omitempty"`
	// Watch is how long From is kept ready for a rollback after To has taken over
	// all traffic.
	Watch time.Duration `yaml:"watch,omitempty"`
}

// HardwareClass returns the class of upstreams whose latencies are comparable to
// those of u: Class, or one derived from MaxConcurrent.
func (u *Upstream) HardwareClass() ident.HardwareClass {
	if u.Class != "" {
		return u.Class
	}
	return ident.HardwareClass(fmt.Sprintf("max_concurrent %d", u.MaxConcurrent))
}
