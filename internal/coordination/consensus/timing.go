package consensus

import "time"

// Timing holds the protocol's periods and timeouts. A zero field takes its
// default.
type Timing struct {
	// Heartbeat is the period of a leader's heartbeats.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the randomized election timeout: the
	// time without a leader after which a replica campaigns. A replica that
	// heard from a leader also refuses to vote for ElectionMin.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// CallTimeout bounds one call to a peer.
	CallTimeout time.Duration
	// ProposeTimeout bounds Propose, ReadBarrier and membership changes when
	// their context has no deadline.
	ProposeTimeout time.Duration
}

// Defaults of Timing.
const (
	DefaultHeartbeat      = 100 * time.Millisecond
	DefaultElectionMin    = 500 * time.Millisecond
	DefaultElectionMax    = 1000 * time.Millisecond
	DefaultCallTimeout    = 1000 * time.Millisecond
	DefaultProposeTimeout = 5 * time.Second
)

// driftMarginPercent is the largest difference between the clock rates of two
// replicas at which two leases are never valid at the same time.
const driftMarginPercent = 10

// withDefaults replaces zero fields with their defaults.
func (t Timing) withDefaults() Timing {
	t.Heartbeat = orDefault(t.Heartbeat, DefaultHeartbeat)
	t.ElectionMin = orDefault(t.ElectionMin, DefaultElectionMin)
	t.ElectionMax = orDefault(t.ElectionMax, DefaultElectionMax)
	t.CallTimeout = orDefault(t.CallTimeout, DefaultCallTimeout)
	t.ProposeTimeout = orDefault(t.ProposeTimeout, DefaultProposeTimeout)
	return t
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// lease returns how long a leader may rely on an acknowledged heartbeat,
// counted from just before it was sent. It is shorter than ElectionMin by the
// clock drift margin.
func (t Timing) lease() time.Duration {
	return t.ElectionMin * (100 - driftMarginPercent) / 100
}
