package consensus

import "time"

// Timing holds the periods of the protocol. The zero value of a field takes its
// default.
type Timing struct {
	// Heartbeat is the period of a leader's heartbeats.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random time without a leader after
	// which a replica campaigns. ElectionMin is also how long a replica that
	// heard a leader refuses to vote.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// Call bounds one call to a peer.
	Call time.Duration
	// Propose bounds Propose and ReadBarrier when their context has no deadline.
	Propose time.Duration
}

// Defaults of Timing.
const (
	DefaultHeartbeat   = 100 * time.Millisecond
	DefaultElectionMin = 500 * time.Millisecond
	DefaultElectionMax = 1000 * time.Millisecond
	DefaultCall        = 1000 * time.Millisecond
	DefaultPropose     = 5 * time.Second
)

// driftMarginPercent is by how much the rates of two replicas' clocks may
// differ without two valid leases at a time.
const driftMarginPercent = 10

// withDefaults fills the fields that are zero.
func (t Timing) withDefaults() Timing {
	t.Heartbeat = orDefault(t.Heartbeat, DefaultHeartbeat)
	t.ElectionMin = orDefault(t.ElectionMin, DefaultElectionMin)
	t.ElectionMax = orDefault(t.ElectionMax, DefaultElectionMax)
	t.Call = orDefault(t.Call, DefaultCall)
	t.Propose = orDefault(t.Propose, DefaultPropose)
	return t
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// lease is how long a leader may rely on an acknowledged heartbeat, counted
// from the moment before it was sent.
func (t Timing) lease() time.Duration {
	return t.ElectionMin * (100 - driftMarginPercent) / 100
}
