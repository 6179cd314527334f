package settings

import (
	"strings"
	"time"
)

// EnvPrefix is the prefix of every environment variable.
const EnvPrefix = "FLAMINGOHAVEN_"

// Row describes one setting.
type Row struct {
	// Name is the flag's name without the dash.
	Name string
	// Default is the default value in text form; empty means that there is none.
	Default string
	// Unit is the unit or the format of the value.
	Unit string
	Help string

	set func(s *Settings, value string) error
}

// Env returns the name of the setting's environment variable.
func (r Row) Env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(r.Name, "-", "_"))
}

// Values of Row.Unit.
const (
	unitName     = "name"
	unitAddress  = "IP:port"
	unitPath     = "path"
	unitURL      = "URL"
	unitDuration = "duration"
	unitBytes    = "bytes, KiB, MiB or GiB"
	unitCount    = "count"
	unitReplicas = "id=IP:port, comma-separated"
)

// Table returns every setting of the daemon, in the order in which the
// documentation lists them.
func Table() []Row {
	return []Row{
		{"node", "", unitName, "name of this process; unique, and kept over restarts", setNode},
		{"zone", "", unitName, "data centre of this process", setZone},
		{"caller-listen", "127.0.0.1:8080", unitAddress, "where callers connect", setAddress(func(s *Settings) *string { return &s.CallerListen })},
		{"internal-listen", "127.0.0.1:8081", unitAddress, "where other nodes connect", setAddress(func(s *Settings) *string { return &s.InternalListen })},
		{"operator-listen", "127.0.0.1:8082", unitAddress, "where operators connect; also metrics and health", setAddress(func(s *Settings) *string { return &s.OperatorListen })},
		{"caller-advertise", "", unitAddress, "what callers are told to use; default: caller-listen", setOptionalAddress(func(s *Settings) *string { return &s.CallerAdvertise })},
		{"internal-advertise", "", unitAddress, "what other nodes use; default: internal-listen", setOptionalAddress(func(s *Settings) *string { return &s.InternalAdvertise })},
		{"operator-advertise", "", unitAddress, "what operators use; default: operator-listen", setOptionalAddress(func(s *Settings) *string { return &s.OperatorAdvertise })},
		{"data-dir", "", unitPath, "folder for the replicated log; set it on replicas only", setDataDir},
		{"replicas", "", unitReplicas, "first members of the replicated log, the same at all nodes", setReplicas},
		{"operator-token-file", "", unitPath, "file with the bearer token that operators present", setTokenFile},
		{"platform-url", "", unitURL, "base URL of the platform's list of VMs; empty means none", setPlatformURL},
		{"address-ttl", "5s", unitDuration, "how long callers keep the list of addresses; a draining node serves on at least as long", setDuration(func(s *Settings) *time.Duration { return &s.AddressTTL })},
		{"max-body", "16MiB", unitBytes, "largest request body", setBytes(func(s *Settings) *int64 { return &s.Limits.MaxBodyBytes })},
		{"max-header", "64KiB", unitBytes, "largest request header", setBytes(func(s *Settings) *int64 { return &s.Limits.MaxHeaderBytes })},
		{"max-connections", "4096", unitCount, "most open connections of callers", setCount(func(s *Settings) *int { return &s.Limits.MaxConnections })},
		{"max-waiting", "64MiB", unitBytes, "most bytes of request bodies and of answers held for callers, these half of it at most", setBytes(func(s *Settings) *int64 { return &s.Limits.MaxWaitingBytes })},
		{"read-header-timeout", "5s", unitDuration, "longest time to read a request's header", setDuration(func(s *Settings) *time.Duration { return &s.Limits.ReadHeaderTimeout })},
		{"read-body-timeout", "30s", unitDuration, "longest time to read a request's body", setDuration(func(s *Settings) *time.Duration { return &s.Limits.ReadBodyTimeout })},
		{"idle-timeout", "60s", unitDuration, "longest time that a caller's connection may carry nothing", setDuration(func(s *Settings) *time.Duration { return &s.Limits.IdleTimeout })},
	}
}
