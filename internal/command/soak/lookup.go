package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/protocol/callerapi"
)

// lookupTimeout limits one request at the end of a run.
const lookupTimeout = 3 * time.Second

// sendLookup sends one request of the highest tier to a node. An answer with any
// status but 200 is an error.
func sendLookup(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/lookup?q=end", http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set(callerapi.HeaderTeam, "north")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", answer.StatusCode, body)
	}
	return err
}
