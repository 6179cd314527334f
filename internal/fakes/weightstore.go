package fakes

import (
	"net/http"
	"strings"
	"sync"

	"golang.org/x/time/rate"
)

// PathWeights, followed by the name of a version, is the path of its weights.
const PathWeights = "/weights/"

// weightChunk is the maximum size of one write of weights, in bytes.
const weightChunk = 16 << 10

// WeightStoreOptions sets the size of the weights and the rate of the store.
type WeightStoreOptions struct {
	// Listen is the address to listen on, as host:port; empty selects a free
	// loopback port.
	Listen string
	// WeightBytes is the size of every version's weights; zero means 1 MiB.
	WeightBytes int
	// BytesPerSecond is the rate shared by all readers; zero means 4 MiB/s.
	BytesPerSecond int
}

// WeightStore is a fake weight store with a rate limit. It serves the weights of any
// version.
type WeightStore struct {
	*server
	options WeightStoreOptions
	limit   *rate.Limiter

	mu sync.Mutex
	// loads counts the requests by version.
	loads map[string]int
}

// StartWeightStore starts a weight store that listens on options.Listen.
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

// Loads returns the number of requests for each version's weights.
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
