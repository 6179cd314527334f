package fakes

import (
	"net/http"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/openai"
	"github.com/flamingohaven/flamingohaven/internal/protocol/upstreamapi"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// Defaults of EngineOptions.
const (
	DefaultPrefillTokensPerSecond = 20_000
	DefaultStepBase               = 2 * time.Millisecond
	DefaultStepPerSequence        = 100 * time.Microsecond
	DefaultCacheBlocks            = 1024
	DefaultLoadLag                = 200 * time.Millisecond
	DefaultHeartbeat              = 250 * time.Millisecond
	DefaultResumeWindow           = 30 * time.Second
)

// EngineOptions sets an engine's speed, cache and faults. Zero fields take the
// defaults.
type EngineOptions struct {
	// Listen is the address to listen on, as host:port; empty selects a free
	// loopback port.
	Listen string
	// Version is the version that is loaded at the start.
	Version ident.VersionName
	// Faults holds the faults by version. Versions without an entry have none.
	Faults map[ident.VersionName]VersionFault
	// PrefillTokensPerSecond is the rate at which prompt tokens are computed.
	PrefillTokensPerSecond float64
	// StepBase is the time of one decoding step with an empty batch.
	StepBase time.Duration
	// StepPerSequence is the time that each decoding sequence of the batch adds to
	// a step.
	StepPerSequence time.Duration
	// CacheBlocks is the capacity of the prefix cache, in blocks of
	// openai.PrefixBlockBytes.
	CacheBlocks int
	// CacheEventLag is the delay before a cache event is published.
	CacheEventLag time.Duration
	// CacheEventGap drops every CacheEventGap-th cache event; zero drops none.
	CacheEventGap int
	// LoadLag is the minimum age of load reports, except for the first; negative
	// means that every report is current.
	LoadLag time.Duration
	// Heartbeat is the interval of heartbeat comments in a stream.
	Heartbeat time.Duration
	// ResumeWindow is how long a stream can be resumed after its request has ended.
	ResumeWindow time.Duration
	// IgnoreFence makes the engine accept orders with old fencing numbers.
	IgnoreFence bool
	// WeightStore is host:port of the weight store; if empty, versions load
	// immediately.
	WeightStore string
}

func (o EngineOptions) withDefaults() EngineOptions {
	if o.Version == "" {
		o.Version = "v1"
	}
	if o.PrefillTokensPerSecond <= 0 {
		o.PrefillTokensPerSecond = DefaultPrefillTokensPerSecond
	}
	if o.StepBase <= 0 {
		o.StepBase = DefaultStepBase
	}
	if o.StepPerSequence <= 0 {
		o.StepPerSequence = DefaultStepPerSequence
	}
	if o.CacheBlocks <= 0 {
		o.CacheBlocks = DefaultCacheBlocks
	}
	if o.LoadLag == 0 {
		o.LoadLag = DefaultLoadLag
	}
	if o.Heartbeat <= 0 {
		o.Heartbeat = DefaultHeartbeat
	}
	if o.ResumeWindow <= 0 {
		o.ResumeWindow = DefaultResumeWindow
	}
	return o
}

// Engine is a fake model engine with continuous batching. It has no priorities and
// admits every request on arrival.
type Engine struct {
	*server
	*runLog
	faults
	options  EngineOptions
	batch    *batch
	cache    *prefixCache
	versions *versionSet
	streams  *streamSet
	load     loadReports
}

// StartEngine starts an engine that listens on options.Listen.
func StartEngine(options EngineOptions) (*Engine, error) {
	options = options.withDefaults()
	e := &Engine{
		runLog:   &runLog{},
		options:  options,
		cache:    newPrefixCache(options.CacheBlocks, options.CacheEventLag, options.CacheEventGap),
		versions: newVersionSet(options.Version, options.IgnoreFence),
		streams:  newStreamSet(options.ResumeWindow),
		load:     loadReports{lag: options.LoadLag},
	}
	e.batch = newBatch(e.stepTime)
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+openai.PathChat, e.serveCompletion)
	mux.HandleFunc("POST "+openai.PathCompletion, e.serveCompletion)
	mux.HandleFunc("GET "+upstreamapi.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+upstreamapi.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("POST "+upstreamapi.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+upstreamapi.PathStreams+"{id}", e.serveResume)
	mux.HandleFunc("DELETE "+upstreamapi.PathStreams+"{id}", e.serveCancel)
	s, err := startServer(options.Listen, mux)
	if err != nil {
		return nil, err
	}
	e.server = s
	go e.batch.run()
	return e, nil
}

// Close stops the engine and closes its connections.
func (e *Engine) Close() error {
	e.batch.close()
	return e.server.Close()
}
