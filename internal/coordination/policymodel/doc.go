// Package policymodel runs scheduling policies in virtual time against models
// of engines, gateways and arrivals, to compare policies with one another. It
// does no I/O, starts no goroutine and reads no clock: one seed gives one
// outcome. It is for experiments and benchmarks; the daemon does not use it.
package policymodel
