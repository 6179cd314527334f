// Package ident defines the identifier types shared by all layers.
package ident

// NodeID identifies a node of the system. The operator assigns it, and it stays
// the same across restarts.
type NodeID string

// Incarnation distinguishes successive runs of a node, and successive data
// directories of a replica with the same NodeID.
type Incarnation uint64

// Epoch orders successive holders of a lease. A higher epoch supersedes every
// lower one.
type Epoch uint64

// Revision orders accepted configurations. Revision 0 is the empty
// configuration.
type Revision uint64

// RequestID identifies one caller request. It is a UUIDv7 in text form.
type RequestID string

// Zone names a data centre.
type Zone string

// Region names a group of data centres.
type Region string

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
	// HardwareClass names a group of upstreams with equally fast hardware.
	HardwareClass string
	// RouteName names a route.
	RouteName string
	// MoveName names a move, which shifts traffic from one version to another.
	MoveName string
)
