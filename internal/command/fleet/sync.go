package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/routing"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// controlTimeout bounds the search for a replica that serves one sync.
	controlTimeout = 3 * time.Second
	// syncRetryDelay is the pause after a sync that no replica served.
	syncRetryDelay = 50 * time.Millisecond
)

// member describes this node to the leader.
func (n *Node) member() control.Member {
	return control.Member{
		ID:              n.settings.ID(),
		Incarnation:     n.incarnation,
		Zone:            n.settings.Zone,
		CallerAddress:   n.settings.CallerAddress,
		InternalAddress: n.settings.address(n.settings.ID()),
		Replica:         n.settings.Replica(),
		Draining:        n.Draining(),
	}
}

// triggerSync has the next sync sent at once.
func (n *Node) triggerSync() {
	select {
	case n.resync <- struct{}{}:
	default:
	}
}

// syncLoop keeps the node's knowledge up to date and tells that it lives.
func (n *Node) syncLoop() {
	served := true
	for n.ctx.Err() == nil {
		err := n.syncOnce()
		if ok := err == nil; ok != served {
			n.recordContact("the replicas", err)
			served = ok
		}
		if err != nil {
			sleep(n.ctx, syncRetryDelay)
		}
	}
}

// hotTeamInterval is the time between two looks for teams that come near their
// quotas: the time in which a team of many times its usual load uses a few
// hundredths of a window.
const hotTeamInterval = 250 * time.Millisecond

// hotTeamLoop tells the leader at once when a team comes near its quota.
func (n *Node) hotTeamLoop() {
	var reported []ident.TeamName
	for n.ctx.Err() == nil {
		sleep(n.ctx, hotTeamInterval)
		if hot := n.quotas.Hot(time.Now()); !slices.Equal(hot, reported) {
			reported = hot
			n.triggerSync()
		}
	}
}

// recordContact tells of a dependency that was regained, or lost by the given error.
func (n *Node) recordContact(dependency string, err error) {
	reachable := err == nil
	detail := fmt.Sprintf("%s: %t", dependency, reachable)
	if !reachable {
		detail += ": " + err.Error()
	}
	n.events.Record(timeline.Event{Kind: timeline.KindContact, Detail: detail})
	klog.InfoS("contact changed", "node", n.settings.Name, "with", dependency, "contact", reachable, "err", err)
}

// syncOnce sends one sync and acts on its answer.
func (n *Node) syncOnce() error {
	ctx, cancel := context.WithTimeout(n.ctx, controlTimeout)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-n.resync:
			cancel()
		case <-done:
		}
	}()
	sent := boottime.Now()
	reply, err := control.Call[control.SyncReply](ctx, n.control, "Sync", n.follower.Args(n.member(), n.quotas.Hot(time.Now()), control.MaxSyncHold))
	if err != nil {
		if n.ctx.Err() == nil && ctx.Err() == context.Canceled {
			// The next sync was asked for at once.
			return nil
		}
		return fmt.Errorf("sync: %w", err)
	}
	change, err := n.follower.Take(sent, &reply)
	if err != nil {
		klog.ErrorS(err, "update from the leader does not fit, asking for everything")
	}
	if change.Config {
		n.applyConfig()
	}
	if change.Spread {
		n.applySpread()
	}
	if change.Config || change.Spread {
		n.applyPools()
		n.markConfigured()
	}
	return nil
}

// markConfigured lets the requests in that wait for the node's first
// configuration and for the first upstreams of each pool.
func (n *Node) markConfigured() {
	if n.hosts.Load() == nil {
		return
	}
	cfg, _ := n.follower.Config()
	known := n.upstreams.Load().byPool
	for name := range cfg.Pools {
		if len(known[name]) == 0 && !n.follower.Spread().Listed {
			return
		}
	}
	n.configuredOnce.Do(func() { close(n.configured) })
}

// applyConfig puts the present configuration in force.
func (n *Node) applyConfig() {
	cfg, revision := n.follower.Config()
	n.hosts.Store(routing.NewHostTable(&cfg))
	n.quotas.SetLimits(n.quotaLimits(&cfg))
	n.events.Record(timeline.Event{Kind: timeline.KindConfig, Revision: revision})
	klog.InfoS("configuration in force", "node", n.settings.Name, "revision", revision, "routes", len(cfg.Routes), "quotas", n.quotaLimits(&cfg))
}

const (
	// overageShare and slackUsed are the parts of the permitted overage and slack
	// that are given out. The rest covers requests that reach upstreams closer
	// together than they were granted, and the time until a scheduler notices the
	// silence of a gateway that another one serves: with six gateways that is up to
	// a sixth of the quota, less what the gateway has used already.
	overageShare = 0.5
	slackShare   = 0.4
	// quotaWindowMargin is how much longer than the platform's window quotas are
	// counted: a window slides in steps, and granted requests reach upstreams at
	// unlike times.
	quotaWindowMargin = 250 * time.Millisecond
)

// quotaLimits returns the teams' limits. The platform counts with an overage and
// a slack, so that what it calls permitted is not refused.
func (n *Node) quotaLimits(c *config.Config) []scheduler.QuotaLimit {
	var limits []scheduler.QuotaLimit
	window := n.settings.QuotaWindow + quotaWindowMargin
	for name, team := range c.Teams {
		if q := team.Quota; q != nil && q.PerSecond > 0 {
			limits = append(limits, scheduler.QuotaLimit{
				Team:   name,
				Tokens: (q.PerSecond*window.Seconds()+q.Burst)*(1+overageShare*n.settings.QuotaOverage) + slackShare*n.settings.QuotaSlack,
				Window: window, PerSecond: q.PerSecond,
				AtOnce: max(q.Burst, slackShare*n.settings.QuotaSlack),
			})
		}
	}
	return limits
}

// applySpread takes in the members and upstreams that the leader told.
func (n *Node) applySpread() {
	spread := n.follower.Spread()
	replicas := slices.Clone(*n.seeds.Load())
	for _, m := range spread.Members {
		if m.Replica && !slices.Contains(replicas, m.ID) {
			replicas = append(replicas, m.ID)
		}
	}
	n.control.SetReplicas(replicas)
	n.quotas.SetHot(spread.HotTeams)
	if spread.Listed || len(spread.Upstreams) > 0 {
		n.setUpstreams(spread.Upstreams, fmt.Sprintf("the leader of term %d, change %d", spread.Version.Term, spread.Version.Sequence))
	}
}

// setUpstreams puts a list of upstreams in force and tells what it changes.
func (n *Node) setUpstreams(found []control.Discovered, source string) {
	next := newUpstreamTable(found)
	previous := n.upstreams.Swap(next)
	events := upstreamEvents(previous, next, source)
	if len(events) > maxUpstreamEvents {
		events = []timeline.Event{{Kind: timeline.KindUpstream, Detail: fmt.Sprintf("%d changes at once, %d upstreams listed now, from %s", len(events), len(found), source)}}
	}
	for _, event := range events {
		n.events.Record(event)
	}
}

// maxUpstreamEvents is the number of changes of upstreams that are told one by one:
// more come when a node learns a whole list, and would hide all other lines.
const maxUpstreamEvents = 20

// upstreamEvents returns an event for each upstream that came, changed or left.
func upstreamEvents(previous, next *upstreamTable, source string) []timeline.Event {
	var events []timeline.Event
	add := func(d control.Discovered, detail string) {
		events = append(events, timeline.Event{Kind: timeline.KindUpstream, Pool: d.Upstream.Pool, Detail: detail})
	}
	for name, d := range next.byName {
		old, known := previous.byName[name]
		if known && old.Leaving == d.Leaving && old.Upstream == d.Upstream {
			continue
		}
		add(d, fmt.Sprintf("%s at %s, version %s, %d slots, leaving: %t, from %s",
			name, d.Upstream.Address, d.Upstream.Version, d.Upstream.MaxConcurrent, d.Leaving, source))
	}
	for name, d := range previous.byName {
		if _, kept := next.byName[name]; !kept {
			add(d, fmt.Sprintf("%s at %s is gone, from %s", name, d.Upstream.Address, source))
		}
	}
	return events
}

// upstreamTable indexes the discovered upstreams. It does not change.
type upstreamTable struct {
	byName map[ident.UpstreamName]control.Discovered
	byPool map[ident.PoolName][]control.Discovered
}

func newUpstreamTable(found []control.Discovered) *upstreamTable {
	t := &upstreamTable{
		byName: make(map[ident.UpstreamName]control.Discovered, len(found)),
		byPool: make(map[ident.PoolName][]control.Discovered),
	}
	for _, d := range found {
		t.byName[d.Name] = d
		t.byPool[d.Upstream.Pool] = append(t.byPool[d.Upstream.Pool], d)
	}
	return t
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
