package standins

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

func llmRoute(name, prefix string, timeout, objective, attempts int, resumable bool) route {
	return route{"name": name, "host": "regatta.example", "pathPrefix": prefix, "kind": "stream", "timeoutMs": timeout, "targetLatencyMs": objective,
		"priority": 1, "service": "entries-llm", "maxAttempts": attempts, "public": false, "sticky": true, "resumable": resumable, "gapTargetMs": 300}
}

func llmService() service {
	return service{"name": "entries-llm", "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 5, "kvCapacityTokens": 579592, "kvTokenBytes": 163840, "linkMbps": 150000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
		"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}}}}
}

// stream sends an answer of some events.
func (c *serverConn) stream(r *http.Request, events int, gap time.Duration) {
	id, _ := c.server.identity()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Attempt-Id"), id, r.Header.Get("Attempt-Id"))
	for i := range events {
		time.Sleep(gap)
		event := fmt.Sprintf("id: %d\ndata: event %d\n\n", i+1, i+1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
}
