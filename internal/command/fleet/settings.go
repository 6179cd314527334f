// Package fleet assembles the daemon of a node that finds the others from a few
// seeds. Gateways take callers and keep no disk; replicas keep the replicated
// state, answer operators and tell callers where to connect. What the outside
// speaks is left to the edges that are handed in.
package fleet

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Settings are what a node must know to start.
type Settings struct {
	// Name is the node's name for people.
	Name string
	// IP is the node's address; it names the node among the others.
	IP   string
	Zone ident.Zone
	// InternalPort is the port for traffic between nodes, the same on all.
	InternalPort int
	// CallerAddress is host:port for callers; empty for a node without them.
	CallerAddress string
	// DataDir is the data folder of a replica; empty for a node without one.
	DataDir string
	// Seeds are the addresses of some replicas, by IP number.
	Seeds []ident.NodeID
	// FirstStart is true only when the whole system starts for the first time:
	// the seeds then form the cluster.
	FirstStart bool

	// MaxConfigAge is how old the proof may be that an API key still counts;
	// requests with a key are refused beyond it.
	MaxConfigAge time.Duration
	// Grace is the time that a stopping process gets.
	Grace time.Duration
	// RetryRatio and RetryBurst bound repeated requests over all nodes.
	RetryRatio float64
	RetryBurst float64
	// QuotaWindow is the span in which quotas are counted. QuotaOverage is the
	// part of a quota, and QuotaSlack the tokens, by which teams may exceed it.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// ListCallsPerSecond is what the platform's list accepts from all nodes
	// together; 0 if it names no bound.
	ListCallsPerSecond float64
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
}

// Replica reports whether the node keeps the replicated state.
func (s *Settings) Replica() bool { return s.DataDir != "" }

// Gateway reports whether the node takes callers.
func (s *Settings) Gateway() bool { return s.CallerAddress != "" }

// ID names the node among the others.
func (s *Settings) ID() ident.NodeID { return ident.NodeID(s.IP) }

// address returns where a node listens for the others.
func (s *Settings) address(node ident.NodeID) string {
	return net.JoinHostPort(string(node), strconv.Itoa(s.InternalPort))
}

// Check returns all that is wrong with the settings, or nil.
func (s *Settings) Check() error {
	var errs []error
	add := func(bad bool, format string, args ...any) {
		if bad {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	add(net.ParseIP(s.IP) == nil, "the node's address %q is no IP number", s.IP)
	add(s.InternalPort < 1 || s.InternalPort > 65535, "the internal port %d is not from 1 to 65535", s.InternalPort)
	add(len(s.Seeds) == 0, "no seed is named")
	for _, seed := range s.Seeds {
		add(net.ParseIP(string(seed)) == nil, "the seed %q is no IP number", seed)
	}
	add(!s.Gateway() && !s.Replica(), "the node neither takes callers nor has a data folder")
	add(s.MaxConfigAge <= 0, "the bound on the age of a key's proof is %s, not above zero", s.MaxConfigAge)
	add(s.Grace <= 0, "the grace period is %s, not above zero", s.Grace)
	add(s.QuotaWindow <= 0, "the quota window is %s, not above zero", s.QuotaWindow)
	add(s.ListCallsPerSecond < 0, "the bound on calls to the list, %v a second, is below zero", s.ListCallsPerSecond)
	add(s.RetryRatio < 0, "the retry ratio %v is below zero", s.RetryRatio)
	return errors.Join(errs...)
}
