// Package orders decides which orders an engine gets (load, unload, change of
// role), when it may be sent, and what a new leader must wait for. The planner
// does no I/O and reads no clock: time is passed in as the time since an
// arbitrary fixed origin of the process.
package orders

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// Engine is one engine process, which may serve several configured upstreams.
type Engine struct {
	// Address is host:port of the engine.
	Address string
	// Name is the first configured upstream at the address; orders carry it.
	Name    ident.UpstreamName
	Fencing config.FencingMode
}

// Want is what an engine should run.
type Want struct {
	Address string
	// Versions are to be loaded, the most urgent first.
	Versions []ident.VersionName
	// Keep are versions that stay if they are loaded.
	Keep []ident.VersionName
	// Deadline orders loads: the wall-clock deadline of their move; zero is last.
	Deadline time.Time
	// Role is the role to run in; empty leaves it.
	Role string
}

// ReadBack is what an engine says that it runs.
type ReadBack struct {
	Address  string
	Versions []ident.VersionName
	Role     string
	// Loading is true while a load is in progress, where the engine tells.
	Loading bool
	// AskedAt is when the question was sent.
	AskedAt time.Duration
}

// Order is an order to be written down and sent.
type Order struct {
	ID      machine.OrderID
	Address string
	machine.IssueOrder
	// Number is the fencing number; zero until it is written down.
	Number machine.FencingNumber
}

// Reply is an engine's answer to an order.
type Reply struct {
	Accepted bool
	// Highest is the highest fencing number that the engine has seen.
	Highest machine.FencingNumber
	Detail  string
}

// Journal writes orders down in the replicated log.
type Journal interface {
	// IssueOrder returns the order's fencing number once it is durable. It
	// fails when this process no longer leads.
	IssueOrder(ctx context.Context, o machine.IssueOrder) (machine.FencingNumber, error)
	// CompleteOrder records that an order has certainly ended.
	CompleteOrder(ctx context.Context, c machine.CompleteOrder) error
}

// Sender reaches engines.
type Sender interface {
	// Send delivers an order. An error means that it may have been obeyed.
	Send(ctx context.Context, o Order) (Reply, error)
	// Ask reads back what an engine runs.
	Ask(ctx context.Context, e Engine) (ReadBack, error)
}

const (
	// DefaultSendWindow is how long after the start of its writing an order
	// may be sent.
	DefaultSendWindow = 5 * time.Second
	// DefaultRunTimeout is how long an engine may take to obey an order.
	DefaultRunTimeout = 10 * time.Minute
	// DefaultRetryAfter is the pause after an order that had no effect.
	DefaultRetryAfter = 15 * time.Second
	// DefaultReadBackInterval is the time between read-backs of one engine.
	DefaultReadBackInterval = 2 * time.Second
	// DefaultStoreInterval is the time between loads that the weight store allows.
	DefaultStoreInterval = 10 * time.Second
	// DefaultMaxLoads bounds the loads in progress at once.
	DefaultMaxLoads = 4
)

// Options adjust a Planner. The zero value selects the defaults.
type Options struct {
	SendWindow       time.Duration
	RunTimeout       time.Duration
	RetryAfter       time.Duration
	ReadBackInterval time.Duration
	// StoreInterval is the mean time between starts of loads, StoreBurst how
	// many may start together.
	StoreInterval time.Duration
	StoreBurst    int
	MaxLoads      int
}

func (o Options) withDefaults() Options {
	o.SendWindow = orDefault(o.SendWindow, DefaultSendWindow)
	o.RunTimeout = orDefault(o.RunTimeout, DefaultRunTimeout)
	o.RetryAfter = orDefault(o.RetryAfter, DefaultRetryAfter)
	o.ReadBackInterval = orDefault(o.ReadBackInterval, DefaultReadBackInterval)
	o.StoreInterval = orDefault(o.StoreInterval, DefaultStoreInterval)
	if o.StoreBurst <= 0 {
		o.StoreBurst = 1
	}
	if o.MaxLoads <= 0 {
		o.MaxLoads = DefaultMaxLoads
	}
	return o
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

func (o Options) newLoadLimiter() *rate.Limiter {
	return rate.NewLimiter(rate.Every(o.StoreInterval), o.StoreBurst)
}

// limiterOrigin turns times since the process's origin into the limiter's time.
var limiterOrigin = time.Unix(0, 0)

func limiterTime(now time.Duration) time.Time { return limiterOrigin.Add(now) }
