package fleet

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
)

// defaultCallerLimits applies where the configuration sets no limits on callers.
var defaultCallerLimits = config.CallerLimits{
	HeaderBytes: 64 << 10, BodyBytes: 8 << 20,
	HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute,
}

// CallerLimits returns the limits on callers from the current configuration, with
// defaults for those that it does not set.
func (n *Node) CallerLimits() config.CallerLimits {
	cfg, _ := n.follower.Config()
	limits := defaultCallerLimits
	if c := cfg.Callers; c != nil {
		limits.HeaderBytes = orDefault(c.HeaderBytes, limits.HeaderBytes)
		limits.BodyBytes = orDefault(c.BodyBytes, limits.BodyBytes)
		limits.HeaderTimeout = orDefault(c.HeaderTimeout, limits.HeaderTimeout)
		limits.IdleTimeout = orDefault(c.IdleTimeout, limits.IdleTimeout)
	}
	return limits
}

func orDefault[T ~int64](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
