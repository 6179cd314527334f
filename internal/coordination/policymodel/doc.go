// Package policymodel runs scheduling policies in virtual time against models
// of engines, gateways and arrivals, to compare the policies. It does no I/O,
// starts no goroutines and reads no wall clock, so the same seed gives the same
// result. It is for experiments and benchmarks; the daemon does not use it.
package policymodel
