// Package fleet implements the daemon of a node that discovers the other nodes from
// a few seeds. Gateways accept callers and store nothing on disk; replicas keep the
// replicated state, answer operators and tell callers where to connect. The
// protocols spoken with callers, upstreams and operators belong to the package that
// runs the node.
package fleet

import (
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/consensus"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Settings configures a node.
type Settings struct {
	// Name is the node's name in logs.
	Name string
	// IP is the node's IP address, which is also its ID.
	IP   string
	Zone ident.Zone
	// Regions maps the data centres of the system to their regions.
	Regions map[ident.Zone]ident.Region
	// InternalPort is the port for traffic between nodes, the same on all of them.
	InternalPort int
	// RelayPort is the port at which gateways relay requests of other gateways, the
	// same on all of them; 0 if they don't.
	RelayPort int
	// CallerAddress is host:port for callers; empty if the node is no gateway.
	CallerAddress string
	// DataDir is the data directory of a replica; empty if the node is no replica.
	DataDir string
	// Seeds are the IP addresses of some replicas.
	Seeds []ident.NodeID
	// FirstStart is true only when the whole system starts for the first time: the
	// seeds then form a new cluster.
	FirstStart bool

	// ToleratedLosses is the number of replicas that may be lost at once, with their
	// disks; 0 if unknown.
	ToleratedLosses int

	// MaxConfigAge is the maximum time since the configuration was last confirmed
	// as the newest. When it is exceeded, requests with an API key are refused.
	MaxConfigAge time.Duration
	// MaxDenialAge is the maximum time since the configuration was last confirmed as the
	// newest at which a request is denied for what it lacks. Older ones make the request
	// wait, and then refuse it as not run.
	MaxDenialAge time.Duration
	// Contact is how long a node may be without contact to the leader under the platform's
	// rules; 0 selects 4 s.
	Contact time.Duration
	// Grace is the grace period of a stopping process.
	Grace time.Duration
	// RetryRatio and RetryBurst bound retries over all nodes in any RetryWindow: the ratio
	// of retries to requests, and the number of retries beyond it.
	RetryRatio  float64
	RetryBurst  float64
	RetryWindow time.Duration
	// QuotaWindow is the time window over which quotas are counted. Teams may
	// exceed their quota by QuotaOverage, a share of the quota, and by QuotaSlack
	// tokens.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// ListCallsPerSecond is the rate of calls that the platform's list accepts from
	// all nodes together; 0 means no limit.
	ListCallsPerSecond float64
	// ZoneCost is how much longer an answer may take to keep a GB within a data centre; 0
	// means that data centres don't matter.
	ZoneCost time.Duration
	// MaxDescriptors is the number of descriptors that the process may open; 0 if unknown.
	MaxDescriptors int
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
}

// minVoters returns the number of voters that keep a majority, and every
// acknowledged entry on at least one disk, after ToleratedLosses.
func (s *Settings) minVoters() int {
	return min(consensus.MaxMembers, max(consensus.DefaultMinVoters, 2*s.ToleratedLosses+1))
}

// Replica reports whether the node keeps the replicated state.
func (s *Settings) Replica() bool { return s.DataDir != "" }

// Gateway reports whether the node accepts callers.
func (s *Settings) Gateway() bool { return s.CallerAddress != "" }

// ID returns the node's ID, which is its IP address.
func (s *Settings) ID() ident.NodeID { return ident.NodeID(s.IP) }

// region returns the region of a data centre; empty if it isn't known.
func (s *Settings) region(zone ident.Zone) ident.Region { return s.Regions[zone] }

// address returns the internal address of a node as host:port.
func (s *Settings) address(node ident.NodeID) string {
	return net.JoinHostPort(string(node), strconv.Itoa(s.InternalPort))
}

// Check returns all errors in the settings, joined, or nil if there are none.
func (s *Settings) Check() error {
	var errs []error
	add := func(bad bool, format string, args ...any) {
		if bad {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	add(net.ParseIP(s.IP) == nil, "node address %q is not an IP address", s.IP)
	add(s.InternalPort < 1 || s.InternalPort > 65535, "internal port %d is not between 1 and 65535", s.InternalPort)
	add(s.RelayPort < 0 || s.RelayPort > 65535 || s.RelayPort == s.InternalPort,
		"relay port %d is not between 0 and 65535 or is the internal port", s.RelayPort)
	add(len(s.Seeds) == 0, "no seeds are given")
	for _, seed := range s.Seeds {
		add(net.ParseIP(string(seed)) == nil, "seed %q is not an IP address", seed)
	}
	add(!s.Gateway() && !s.Replica(), "the node has neither a caller address nor a data directory")
	add(s.ZoneCost < 0, "cost of traffic between data centres is %s for each GB, must not be negative", s.ZoneCost)
	add(s.ToleratedLosses < 0, "tolerated losses are %d, must not be negative", s.ToleratedLosses)
	add(s.MaxConfigAge <= 0, "maximum configuration age is %s, must be positive", s.MaxConfigAge)
	add(s.MaxDenialAge <= 0, "maximum age of the configuration for a denial is %s, must be positive", s.MaxDenialAge)
	add(s.Grace <= 0, "grace period is %s, must be positive", s.Grace)
	add(s.QuotaWindow <= 0, "quota window is %s, must be positive", s.QuotaWindow)
	for name, value := range map[string]float64{
		"limit on list calls": s.ListCallsPerSecond, "retry ratio": s.RetryRatio, "retry burst": s.RetryBurst,
		"quota overage": s.QuotaOverage, "quota slack": s.QuotaSlack,
	} {
		add(math.IsNaN(value) || math.IsInf(value, 0), "%s is %v, must be finite", name, value)
	}
	add(s.MemoryBytes < 0, "memory limit is %d bytes, must not be negative", s.MemoryBytes)
	add(s.ListCallsPerSecond < 0, "limit on list calls is %v per second, must not be negative", s.ListCallsPerSecond)
	add(s.RetryRatio < 0, "retry ratio is %v, must not be negative", s.RetryRatio)
	return errors.Join(errs...)
}
