// Package ident defines the identifiers that every layer shares.
package ident

// NodeID names one process of the system. It is set by the operator and
// survives restarts.
type NodeID string

// Incarnation distinguishes successive lives of one node or one data folder.
type Incarnation uint64

// Epoch orders successive holders of one lease. A higher epoch supersedes
// every lower one.
type Epoch uint64

// Revision orders accepted configurations. Revision 0 is the empty
// configuration.
type Revision uint64

// RequestID identifies one caller request. It is a UUIDv7 in text form.
type RequestID string

// Zone names a data centre.
type Zone string

// Names of configured objects.
type (
	// TierName names a tier of service.
	TierName string
	// TeamName names a team.
	TeamName string
	// PoolName names a pool: the upstreams that serve one model or service.
	PoolName string
	// UpstreamName names one upstream.
	UpstreamName string
	// VersionName names a version that upstreams of a pool run.
	VersionName string
	// HardwareClass names upstreams that are equally fast.
	HardwareClass string
	// RouteName names a route.
	RouteName string
	// MoveName names a move of traffic between two versions.
	MoveName string
)
