// Package settings reads a process's settings from flags and environment
// variables. One table defines each setting's name, default, unit, help and
// check; a flag goes before its variable, a variable before the default.
package settings

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Settings is all that a process knows before it meets others.
type Settings struct {
	// Node names the process; it survives restarts.
	Node ident.NodeID
	// Zone is the data centre of the process.
	Zone ident.Zone

	// CallerListen, InternalListen and OperatorListen are host:port, by IP
	// number, of the three listeners.
	CallerListen   string
	InternalListen string
	OperatorListen string
	// CallerAdvertise, InternalAdvertise and OperatorAdvertise are what others
	// use to connect.
	CallerAdvertise   string
	InternalAdvertise string
	OperatorAdvertise string

	// DataDir makes the process a replica. Empty means none.
	DataDir string
	// Replicas lists the first members of the replicated log.
	Replicas []Replica

	// OperatorTokenFile holds the bearer token that operators present.
	OperatorTokenFile string
	// PlatformURL is the base URL of the platform's list of VMs. Empty means none.
	PlatformURL string
	// AddressTTL is how long callers may keep the list of addresses. A draining
	// node serves on for at least as long.
	AddressTTL time.Duration
	Limits     Limits
}

// Replica is one member of the replicated log.
type Replica struct {
	ID      ident.NodeID
	Address string
}

// Limits bounds what callers may use up.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes bound one request.
	MaxBodyBytes   int64
	MaxHeaderBytes int64
	// MaxConnections bounds callers' open connections.
	MaxConnections int
	// MaxWaitingBytes bounds the bodies of all waiting requests.
	MaxWaitingBytes int64
	// ReadHeaderTimeout and ReadBodyTimeout bound the reading of one request.
	ReadHeaderTimeout time.Duration
	ReadBodyTimeout   time.Duration
	// IdleTimeout ends callers' connections that carry nothing.
	IdleTimeout time.Duration
}

// IsReplica reports whether the process keeps a part of the replicated log.
func (s *Settings) IsReplica() bool {
	return s.DataDir != ""
}
