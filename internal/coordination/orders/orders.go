// Package orders decides which orders (load, unload, change of role) an engine
// gets, when an order may be sent, and what a new leader must wait for. The
// planner does no I/O and reads no clock: callers pass in the time since an
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
	// Name is the first configured upstream at the address. Orders are issued
	// under this name.
	Name    ident.UpstreamName
	Fencing config.FencingMode
}

// Want is what an engine should run.
type Want struct {
	Address string
	// Versions must be loaded, the most urgent first.
	Versions []ident.VersionName
	// Keep lists versions that must not be unloaded if they are loaded.
	Keep []ident.VersionName
	// Deadline is the wall-clock deadline of the move that needs the loads.
	// Engines with an earlier deadline load first; zero comes last.
	Deadline time.Time
	// Role is the role to run in. If it is empty, the role stays as it is.
	Role string
}

// ReadBack is an engine's report of what it runs.
type ReadBack struct {
	Address  string
	Versions []ident.VersionName
	Role     string
	// Loading is true while a load is in progress, if the engine reports it.
	Loading bool
	// AskedAt is when the read-back request was sent.
	AskedAt time.Duration
}

// Order is an order to commit to the journal and to send.
type Order struct {
	ID      machine.OrderID
	Address string
	machine.IssueOrder
	// Number is the fencing number. It is zero until the order is committed.
	Number machine.FencingNumber
}

// Reply is an engine's answer to an order.
type Reply struct {
	Accepted bool
	// Highest is the highest fencing number that the engine has seen.
	Highest machine.FencingNumber
	Detail  string
}

// Journal records orders in the replicated log.
type Journal interface {
	// IssueOrder returns the order's fencing number once it is durable. It
	// fails when this process no longer leads.
	IssueOrder(ctx context.Context, o machine.IssueOrder) (machine.FencingNumber, error)
	// CompleteOrder records that an order has certainly ended.
	CompleteOrder(ctx context.Context, c machine.CompleteOrder) error
}

// Sender sends requests to engines.
type Sender interface {
	// Send delivers an order. After an error the engine may have executed the
	// order or may still do so.
	Send(ctx context.Context, o Order) (Reply, error)
	// ReadBack requests a read-back of what an engine runs.
	ReadBack(ctx context.Context, e Engine) (ReadBack, error)
}

const (
	// DefaultSendWindow is how long after the start of its commit to the
	// journal an order may be sent.
	DefaultSendWindow = 5 * time.Second
	// DefaultRunTimeout is how long an engine may take to execute an order.
	DefaultRunTimeout = 10 * time.Minute
	// DefaultRetryAfter is the delay before a retry after an order that failed
	// or had no effect.
	DefaultRetryAfter = 15 * time.Second
	// DefaultReadBackInterval is the time between read-backs of one engine.
	DefaultReadBackInterval = 2 * time.Second
	// DefaultStoreInterval is the mean time between load starts that the store
	// of the model weights allows.
	DefaultStoreInterval = 10 * time.Second
	// DefaultMaxLoads bounds the loads in progress at the same time.
	DefaultMaxLoads = 4
)

// Options configure a Planner. The zero value selects the defaults.
type Options struct {
	SendWindow       time.Duration
	RunTimeout       time.Duration
	RetryAfter       time.Duration
	ReadBackInterval time.Duration
	// StoreInterval is the mean time between load starts that the store of the
	// model weights allows, and StoreBurst is how many loads may start at once.
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

// limiterOrigin is the origin of the rate limiter's clock.
var limiterOrigin = time.Unix(0, 0)

// limiterTime converts a time since the process's origin to the rate limiter's
// clock.
func limiterTime(now time.Duration) time.Time { return limiterOrigin.Add(now) }
