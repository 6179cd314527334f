package main

import (
	"encoding/json"
	"fmt"
)

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
	Sticky          bool   `json:"sticky"`
	Resumable       bool   `json:"resumable"`
	GapTargetMs     int    `json:"gapTargetMs,omitempty"`
}

type tenant struct {
	Name        string   `json:"name"`
	APIKeys     []string `json:"apiKeys"`
	Priority    int      `json:"priority"`
	Unit        string   `json:"unit"`
	PlainTokens int      `json:"plainTokens"`
	RatePerS    int      `json:"ratePerS"`
	Burst       int      `json:"burst"`
}

type manifest struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []any          `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

const (
	host   = "ficu95.example"
	llm    = "huvo11a"
	app    = "wuno96b"
	apiKey = "i9n73hh2b9wu3fexd9dn"
)

// newManifest returns a manifest like the example of the page: three kinds of streams, one
// request that may run once only and one that may be repeated.
func newManifest(version int) *manifest {
	engine := map[string]any{
		"slots": 5, "kvCapacityTokens": 580830, "kvTokenBytes": 163840, "linkMbps": 150000.0, "moves": true, "backups": true, "stride": 3,
		"most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]string{{"name": "m"}},
	}
	return &manifest{
		Version: version,
		Routes: []route{
			{Name: "r-28m82th", Host: host, PathPrefix: "/review/", Kind: "stream", TimeoutMs: 10000, TargetLatencyMs: 800, Service: llm, MaxAttempts: 1, Sticky: true, GapTargetMs: 300},
			{Name: "r-r26tta8", Host: host, PathPrefix: "/summary/", Kind: "stream", TimeoutMs: 6000, TargetLatencyMs: 600, Priority: 1, Service: llm, MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 300},
			{Name: "r-b7k1x0d", Host: host, PathPrefix: "/submit/", Kind: "non_idempotent", TimeoutMs: 1500, TargetLatencyMs: 150, Priority: 2, Service: app, MaxAttempts: 2},
			{Name: "r-q0c4m9s", Host: host, PathPrefix: "/lookup/", Kind: "idempotent", TimeoutMs: 1500, TargetLatencyMs: 150, Priority: 2, Service: app, MaxAttempts: 2},
		},
		Services: []any{
			map[string]any{"name": llm, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": app, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		Limits:  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []tenant{{Name: "hule930", APIKeys: []string{apiKey}, Priority: 1, Unit: "token_stream", PlainTokens: 200}},
	}
}

// grow adds routes, as big_config does.
func (m *manifest) grow(count int) {
	for i := range count {
		m.Routes = append(m.Routes, route{
			Name: fmt.Sprintf("r-%07x", 0x5c1e07a+7919*i), Host: fmt.Sprintf("h%03d.example", i%50), PathPrefix: fmt.Sprintf("/grown%d/", i),
			Kind: "idempotent", TimeoutMs: 1500, TargetLatencyMs: 150, Priority: 2, Service: app, MaxAttempts: 2,
		})
	}
}

func (m *manifest) encode() []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return text
}
