package h1conn

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestIdleTimeout_UnreadableKeepAlive checks that a server's idle timeout which is huge, or
// no number, doesn't keep its connections from being used again.
func TestIdleTimeout_UnreadableKeepAlive(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": IdleTimeout, "timeout=2": 1500 * time.Millisecond, "max=5, timeout=2": 1500 * time.Millisecond, "timeout=3600": IdleTimeout,
		"timeout=10000000000": IdleTimeout, "timeout=9223372036854775807": IdleTimeout, "timeout=99999999999999999999": IdleTimeout,
		"timeout=NaN": IdleTimeout, "timeout=1e999": IdleTimeout, "timeout": IdleTimeout, "timeout=\"2\"": IdleTimeout, "timeout=0": 0,
	} {
		must.Eq(t, want, idleTimeoutFor(http.Header{"Keep-Alive": {value}}), must.Sprintf("%q", value))
	}
	must.Zero(t, idleTimeoutFor(http.Header{"Keep-Alive": {"timeout=-1"}}))
	must.Zero(t, idleTimeoutFor(http.Header{"Keep-Alive": {"timeout=-9223372036854775808"}}))
}
