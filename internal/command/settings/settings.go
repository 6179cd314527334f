// Package settings reads a process's settings from flags and environment
// variables. One table defines each setting's name, default, unit, help text
// and check. A flag takes precedence over its variable, and a variable over the
// default.
package settings

import (
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Settings holds the settings with which a process starts.
type Settings struct {
	// Node is the name of the process. It stays the same across restarts.
	Node ident.NodeID
	// Zone is the data centre of the process.
	Zone ident.Zone

	// CallerListen, InternalListen and OperatorListen are the listen addresses for
	// callers, other nodes and operators, each in the form IP:port.
	CallerListen   string
	InternalListen string
	OperatorListen string
	// CallerAdvertise, InternalAdvertise and OperatorAdvertise are the addresses to
	// which callers, other nodes and operators connect.
	CallerAdvertise   string
	InternalAdvertise string
	OperatorAdvertise string

	// DataDir is the folder for the replicated log. It is empty if the process is
	// not a replica.
	DataDir string
	// Replicas lists the initial members of the replicated log.
	Replicas []Replica

	// OperatorTokenFile is the path of the file with the bearer token that
	// operators present.
	OperatorTokenFile string
	// PlatformURL is the base URL of the platform's list of VMs. If it is empty,
	// the list is not polled.
	PlatformURL string
	// AddressTTL is how long callers may cache the list of addresses. A draining
	// node keeps serving for at least as long.
	AddressTTL time.Duration
	Limits     Limits
}

// Replica is one member of the replicated log.
type Replica struct {
	ID      ident.NodeID
	Address string
}

// Limits bounds the resources that callers can use.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes bound one request.
	MaxBodyBytes   int64
	MaxHeaderBytes int64
	// MaxConnections bounds the number of open connections from callers.
	MaxConnections int
	// MaxWaitingBytes bounds the total size of the bodies of waiting requests.
	MaxWaitingBytes int64
	// ReadHeaderTimeout and ReadBodyTimeout bound the reading of one request.
	ReadHeaderTimeout time.Duration
	ReadBodyTimeout   time.Duration
	// IdleTimeout is how long a caller's connection may be idle before it is
	// closed.
	IdleTimeout time.Duration
}

// IsReplica reports whether the process stores a replica of the log.
func (s *Settings) IsReplica() bool {
	return s.DataDir != ""
}
