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

// EngineOptions sets an engine's speed and habits. Zero fields take defaults.
type EngineOptions struct {
	// Listen is host:port; empty selects a free loopback port.
	Listen string
	// Version is what the engine runs at its start.
	Version ident.VersionName
	// Faults holds the faulty versions; others behave well.
	Faults map[ident.VersionName]VersionFault
	// PrefillTokensPerSecond is the rate at which prompts are read.
	PrefillTokensPerSecond float64
	// StepBase is the time of one decoding step with an empty batch.
	StepBase time.Duration
	// StepPerSequence is what each sequence of the batch adds to a step.
	StepPerSequence time.Duration
	// CacheBlocks bounds the prefix cache, in blocks of openai.PrefixBlockBytes.
	CacheBlocks int
	// CacheEventLag is how late cache events are published.
	CacheEventLag time.Duration
	// CacheEventGap loses every CacheEventGap-th event; zero loses none.
	CacheEventGap int
	// LoadLag is the least age of load reports; negative means none.
	LoadLag time.Duration
	// Heartbeat is the pause after which an idle stream gets a comment.
	Heartbeat time.Duration
	// ResumeWindow is how long an ended stream can be resumed.
	ResumeWindow time.Duration
	// IgnoreFence makes the engine obey orders with old fencing numbers.
	IgnoreFence bool
	// WeightStore is host:port of the weight store; empty loads at once.
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

// Engine is a fake model engine: it batches continuously, knows no priorities
// and admits requests as they come.
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

// StartEngine starts an engine on a free loopback port.
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

// Close stops the engine and breaks its connections.
func (e *Engine) Close() error {
	e.batch.close()
	return e.server.Close()
}
