package fakes

import (
	"net/http"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

// PathWeights followed by a version's name answers GET with its weights.
const PathWeights = "/weights/"

// weightChunk is the unit in which weights are sent, in bytes.
const weightChunk = 16 << 10

// WeightStoreOptions sets the store's size and rate.
type WeightStoreOptions struct {
	// Listen is host:port; empty selects a free loopback port.
	Listen string
	// WeightBytes is the size of every version's weights.
	WeightBytes int
	// BytesPerSecond is the rate that all readers share.
	BytesPerSecond int
}

// WeightStore is a fake rate-limited weight store.
type WeightStore struct {
	*server
	options WeightStoreOptions
	limit   *rate.Limiter

	mu    sync.Mutex
	loads map[string]int
}

// StartWeightStore starts a weight store on a free loopback port.
func StartWeightStore(options WeightStoreOptions) (*WeightStore, error) {
	if options.WeightBytes <= 0 {
		options.WeightBytes = 1 << 20
	}
	if options.BytesPerSecond <= 0 {
		options.BytesPerSecond = 4 << 20
	}
	s := &WeightStore{
		options: options,
		limit:   rate.NewLimiter(rate.Limit(options.BytesPerSecond), weightChunk),
		loads:   map[string]int{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathWeights, s.serveWeights)
	started, err := startServer(options.Listen, mux)
	if err != nil {
		return nil, err
	}
	s.server = started
	return s, nil
}

// Loads returns how often each version's weights were asked for.
func (s *WeightStore) Loads() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := make(map[string]int, len(s.loads))
	for name, n := range s.loads {
		copied[name] = n
	}
	return copied
}

func (s *WeightStore) serveWeights(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.loads[strings.TrimPrefix(r.URL.Path, PathWeights)]++
	s.mu.Unlock()
	chunk := make([]byte, weightChunk)
	for left := s.options.WeightBytes; left > 0; {
		n := min(left, weightChunk)
		if err := s.limit.WaitN(r.Context(), n); err != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}
