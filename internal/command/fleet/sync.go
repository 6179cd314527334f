package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/coordination/pool"
	"github.com/flamingohaven/flamingohaven/internal/coordination/routing"
	"github.com/flamingohaven/flamingohaven/internal/coordination/scheduler"
	"github.com/flamingohaven/flamingohaven/internal/state/boottime"
	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

const (
	// controlTimeout bounds one operation on the control service, including its
	// attempts at several replicas.
	controlTimeout = 3 * time.Second
	// syncRetryDelay is the delay after a failed sync.
	syncRetryDelay = 50 * time.Millisecond
)

// member returns the description of this node that is sent to the leader.
func (n *Node) member() control.Member {
	return control.Member{
		ID:              n.settings.ID(),
		Incarnation:     n.incarnation,
		Zone:            n.settings.Zone,
		CallerAddress:   n.settings.CallerAddress,
		InternalAddress: n.settings.address(n.settings.ID()),
		Replica:         n.settings.Replica(),
		Draining:        n.Draining(),
		Region:          n.settings.region(n.settings.Zone),
		Features:        machine.FeatureLevel,
	}
}

// triggerSync interrupts the current sync, so that the next one is sent at once.
func (n *Node) triggerSync() {
	select {
	case n.resync <- struct{}{}:
	default:
	}
}

// syncLoop keeps the node's configuration and view of the cluster up to date. Each
// sync also serves as the node's heartbeat.
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

// hotTeamInterval is the interval between two checks for teams that come near their
// quotas. In that time a team with many times its usual load uses only a few
// hundredths of its quota for a window.
const hotTeamInterval = 250 * time.Millisecond

// hotTeamLoop reports to the leader at once when the set of teams near their quotas,
// the refused prompt parts and requests or the ends of upstreams change.
func (n *Node) hotTeamLoop() {
	var reported []ident.TeamName
	for n.ctx.Err() == nil {
		sleep(n.ctx, hotTeamInterval)
		if hot := n.quotas.Hot(time.Now()); !slices.Equal(hot, reported) {
			reported = hot
			n.triggerSync()
		} else if n.follower.HasUnreportedPoison(n.known()) {
			n.triggerSync()
		}
	}
}

// recordContact records that a dependency became reachable (err is nil) or
// unreachable.
func (n *Node) recordContact(dependency string, err error) {
	reachable := err == nil
	detail := fmt.Sprintf("%s: %t", dependency, reachable)
	if !reachable {
		detail += ": " + err.Error()
	}
	n.events.Record(timeline.Event{Kind: timeline.KindContact, Detail: detail})
	klog.InfoS("reachability of a dependency changed", "node", n.settings.Name, "with", dependency, "contact", reachable, "err", err)
}

// syncOnce sends one sync and applies the reply.
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
	reply, err := control.Call[control.SyncReply](ctx, n.control, "Sync", n.follower.Args(n.member(), n.known(), control.MaxSyncHold))
	if err != nil {
		if n.ctx.Err() == nil && ctx.Err() == context.Canceled {
			// triggerSync interrupted this sync; syncLoop sends the next one at
			// once.
			return nil
		}
		return fmt.Errorf("sync: %w", err)
	}
	change, err := n.follower.HandleReply(sent, &reply)
	if err != nil {
		klog.ErrorS(err, "update from the leader does not match the local state, requesting the full state")
	}
	if change.Config {
		n.applyConfig()
	}
	if err == nil {
		n.proof.renew(sent)
		if term := n.follower.State().Version.Term; term > 0 {
			n.trust.served(term, sent, boottime.Now())
		}
	}
	if change.State {
		n.applyFleetState()
	}
	if change.Config || change.State {
		n.applyPools()
		n.markConfigured()
	}
	return nil
}

// markConfigured releases the requests that wait for the node's first
// configuration, once each pool has upstreams or the leader has read the whole
// list.
func (n *Node) markConfigured() {
	if n.hosts.Load() == nil {
		return
	}
	cfg, _ := n.follower.Config()
	known := n.upstreams.Load().byPool
	for name := range cfg.Pools {
		if len(known[name]) == 0 && !n.follower.State().Listed {
			return
		}
	}
	n.configuredOnce.Do(func() { close(n.configured) })
}

// applyConfig applies the current configuration to routes and quotas.
func (n *Node) applyConfig() {
	cfg, revision := n.follower.Config()
	n.hosts.Store(routing.NewHostTable(&cfg))
	n.quotas.SetLimits(n.quotaLimits(&cfg))
	n.events.Record(timeline.Event{Kind: timeline.KindConfig, Revision: revision})
	klog.InfoS("configuration applied", "node", n.settings.Name, "revision", revision, "routes", len(cfg.Routes), "teams", len(cfg.Teams))
}

const (
	// overageShare and slackShare are the shares of the permitted overage and slack
	// that are granted. The rest covers requests that reach upstreams closer
	// together than they were granted, and the time until a scheduler notices that
	// a gateway has gone silent because it uses another scheduler. With six
	// gateways the latter is up to a sixth of the quota, less what that gateway has
	// used already.
	overageShare = 0.5
	slackShare   = 0.4
	// quotaWindowMargin is added to the platform's quota window: that window slides
	// in steps, and granted requests reach upstreams after varying delays.
	quotaWindowMargin = 250 * time.Millisecond
)

// quotaLimits returns the quota limits of the teams. The platform allows an overage
// and a slack, which are used in part, so that requests within what it permits are
// not refused.
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

// applyReplicas sets the replicas to contact: the seeds and those last reported by the leader.
func (n *Node) applyReplicas() {
	n.replicasMu.Lock()
	defer n.replicasMu.Unlock()
	spread := n.follower.State()
	replicas := slices.Clone(*n.seeds.Load())
	for _, m := range spread.Members {
		if m.Replica && !slices.Contains(replicas, m.ID) {
			replicas = append(replicas, m.ID)
		}
	}
	n.control.SetReplicas(replicas)
}

// applyFleetState applies the members, hot teams and upstreams last reported by the leader. Only
// the sync loop calls it: an older state must not take the place of a newer one.
func (n *Node) applyFleetState() {
	n.applyReplicas()
	spread := n.follower.State()
	n.recordEvacuations(n.evacuated, spread.Evacuations)
	n.evacuated = spread.Evacuations
	n.quotas.SetHot(spread.HotTeams)
	n.learnPoison(spread.Poison)
	n.setEnded(spread.Ends, spread.Version.Term)
	if spread.Listed || len(spread.Upstreams) > 0 {
		n.setUpstreams(n.currentUpstreams(&spread), fmt.Sprintf("the leader of term %d, change %d", spread.Version.Term, spread.Version.Sequence))
	}
}

// currentUpstreams returns the upstreams of a leader's state. Until the leader has read the whole
// list, those that are known here and that it doesn't name stay.
func (n *Node) currentUpstreams(spread *control.FleetState) []control.Discovered {
	if spread.Listed {
		return spread.Upstreams
	}
	named := newUpstreamTable(spread.Upstreams).byName
	found := slices.Clone(spread.Upstreams)
	for name, d := range n.upstreams.Load().byName {
		if _, isNamed := named[name]; !isNamed {
			found = append(found, d)
		}
	}
	return found
}

// setUpstreams replaces the known upstreams and records what has changed.
func (n *Node) setUpstreams(found []control.Discovered, source string) {
	next := newUpstreamTable(found)
	previous := n.upstreams.Load()
	next.setKnown(previous, time.Now())
	// Before new names can be granted.
	n.linkNames(previous, next)
	n.upstreams.Store(next)
	events := upstreamEvents(previous, next, source)
	if len(events) > maxUpstreamEvents {
		events = []timeline.Event{{Kind: timeline.KindUpstream, Detail: fmt.Sprintf("%d changes at once, %d upstreams listed now, from %s", len(events), len(found), source)}}
	}
	for _, event := range events {
		n.events.Record(event)
	}
}

// linkNames tells the pools' clients of upstreams that are listed under another name than
// before.
func (n *Node) linkNames(previous, next *upstreamTable) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, d := range next.byName {
		if _, known := previous.byName[name]; known {
			continue
		}
		for _, former := range previous.byAddress[d.Upstream.Address] {
			c := n.clients[d.Upstream.Pool]
			if c != nil && former.Upstream.Pool == d.Upstream.Pool && processOf(former.Upstream) == processOf(d.Upstream) {
				c.Succeeds(next.listedName(d), previous.listedName(former))
			}
		}
	}
}

// processOf returns the same text for upstreams that may be one process. A server may be
// started again at its address under its id before the list shows that, and an entry may lack
// when it was started.
func processOf(u config.Upstream) string { return u.Address + "/" + u.Instance }

// maxUpstreamEvents is the maximum number of upstream changes that are recorded one
// by one. A node that learns a whole list would otherwise flood the timeline.
const maxUpstreamEvents = 20

// upstreamEvents returns an event for each upstream that was added, changed or
// removed.
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

// upstreamTable indexes the discovered upstreams. It is immutable.
type upstreamTable struct {
	byName map[ident.UpstreamName]control.Discovered
	byPool map[ident.PoolName][]control.Discovered
	// byAddress holds the upstreams by host:port; one may follow another at its address.
	byAddress map[string][]control.Discovered
	// known holds since when the names are known.
	known map[ident.UpstreamName]time.Time
}

// setKnown sets since when the names are known, some of them from the table before.
func (t *upstreamTable) setKnown(previous *upstreamTable, now time.Time) {
	t.known = make(map[ident.UpstreamName]time.Time, len(t.byName))
	for name := range t.byName {
		t.known[name] = now
		if since, known := previous.known[name]; known {
			t.known[name] = since
		}
	}
}

func (t *upstreamTable) listedName(d control.Discovered) pool.ListedName {
	return pool.ListedName{Name: d.Name, Started: d.Started, Known: t.known[d.Name]}
}

func newUpstreamTable(found []control.Discovered) *upstreamTable {
	t := &upstreamTable{
		byName: make(map[ident.UpstreamName]control.Discovered, len(found)),
		byPool: make(map[ident.PoolName][]control.Discovered),

		byAddress: make(map[string][]control.Discovered, len(found)),
	}
	for _, d := range found {
		t.byName[d.Name] = d
		t.byAddress[d.Upstream.Address] = append(t.byAddress[d.Upstream.Address], d)
		t.byPool[d.Upstream.Pool] = append(t.byPool[d.Upstream.Pool], d)
	}
	return t
}

// sleep waits for the duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
