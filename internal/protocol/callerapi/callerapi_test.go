package callerapi

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// FuzzParseDeadline checks that every accepted header value is within the bounds
// and that the String form of its duration parses to the same duration.
func FuzzParseDeadline(f *testing.F) {
	for _, value := range []string{"", "1.5s", "250", "0", "-1s", "24h", "24h1ns", "9223372036854775807", "+5", " 5", "1e3", "5µs", "\x00"} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		d, err := ParseDeadline(value)
		if err != nil || value == "" {
			must.Zero(t, d)
			return
		}
		must.Positive(t, d)
		must.LessEq(t, MaxDeadline, d)
		reparsed, err := ParseDeadline(d.String())
		must.NoError(t, err)
		must.Eq(t, d, reparsed)
	})
}

// FuzzRefusal checks that a round trip through JSON does not change a refusal and
// that its HTTP status is an error.
func FuzzRefusal(f *testing.F) {
	f.Add([]byte(`{"error":{"message":"m","reason":"overload","outcome":"not_run","request_id":"r"}}`))
	f.Add([]byte(`{"error":{"reason":"timeout","outcome":"may_have_run","retry_after_seconds":1.5,"addresses":["a"]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second Refusal
		if json.Unmarshal(data, &first) != nil {
			return
		}
		must.GreaterEq(t, http.StatusBadRequest, first.Error.Status())
		encoded, err := json.Marshal(first)
		must.NoError(t, err)
		must.NoError(t, json.Unmarshal(encoded, &second))
		reencoded, err := json.Marshal(second)
		must.NoError(t, err)
		must.Eq(t, string(encoded), string(reencoded))
	})
}

func TestParseDeadline_Forms(t *testing.T) {
	for value, want := range map[string]time.Duration{"": 0, "1.5s": 1500 * time.Millisecond, "250": 250 * time.Millisecond} {
		d, err := ParseDeadline(value)
		must.NoError(t, err)
		must.Eq(t, want, d)
	}
	for _, value := range []string{"0", "-5", "25h", "soon", "1.5"} {
		_, err := ParseDeadline(value)
		must.Error(t, err)
	}
}
