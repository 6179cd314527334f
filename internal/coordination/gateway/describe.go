package gateway

import (
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/timeline"
)

// describe returns the detail of the timeline event that records the acceptance
// of the request.
func (r *Request) describe() string {
	return fmt.Sprintf("route %s, tier %s, team %s%s, fingerprint %016x, %d+%d tokens, parts %x, cost %.0f, deadline in %d ms, objective in %d ms, returned: %t",
		r.Route, r.Tier, r.Team, r.describeRegions(), r.fingerprint, r.PromptTokens, r.OutputTokens, r.Parts, r.Cost,
		time.Until(r.Deadline).Milliseconds(), r.objectiveLeft().Milliseconds(), r.isRetry)
}

// describeAttempt returns the detail of the timeline event that records the end
// of a dispatch, which went through the gateway via unless that is empty. After is the
// last event that the caller had when it began.
func describeAttempt(d Dispatch, via ident.NodeID, after string, sent DispatchResult, end attemptOutcome) string {
	outcomes := map[DispatchOutcome]string{
		DispatchComplete: "whole", DispatchUnsent: "unsent", DispatchIncomplete: "broken",
		DispatchMismatched: "crossed", DispatchRejected: "rejected", DispatchMisdirected: "misdirected",
	}
	text := fmt.Sprintf("%s at %s", outcomes[sent.Outcome], d.Target.Name)
	if via != "" {
		text += fmt.Sprintf(" through %s", via)
	}
	if sent.Conn != 0 {
		text += fmt.Sprintf(" on connection %d after %d requests", sent.Conn, sent.ConnCalls)
	}
	text += fmt.Sprintf(", status %d, %d events", sent.Status, sent.Events)
	if after != "" {
		text += fmt.Sprintf(" after %q", after)
	}
	if sent.LastEvent != "" {
		text += fmt.Sprintf(", the last one %q", sent.LastEvent)
	}
	if sent.Framing != 0 {
		text += fmt.Sprintf(", %s, %s", sent.Framing, sent.BytesEnd.describe(sent.Framing))
	}
	if sent.WithinEvent {
		text += " within an event"
	}
	if sent.HeldBack > 0 {
		text += fmt.Sprintf(", %d bytes of text before the first event held back", sent.HeldBack)
	}
	if sent.EndChecked && sent.Outcome == DispatchComplete {
		text += ", the upstream is still there"
	}
	if sent.Err != nil {
		text += ": " + sent.Err.Error()
	}
	if sent.Skipped > 0 {
		text += fmt.Sprintf("; %d answers skipped as no answers to it, %d of them without an id", sent.Skipped, sent.SkippedNameless)
	}
	if end == attemptRetryElsewhere {
		text += "; goes on elsewhere"
	}
	return text
}

func (g *Gateway) recordEnd(r *Request, result Result) {
	if result.Failure == nil {
		g.record(r, timeline.KindEnded, "")
		return
	}
	g.record(r, timeline.KindRefused, fmt.Sprintf("%s (%s)", result.Failure, OutcomeOf(r, result.Failure)))
}

func (g *Gateway) record(r *Request, kind timeline.Kind, detail string) {
	g.events.Record(timeline.Event{Kind: kind, Request: r.ID, Pool: r.Pool, Detail: detail})
}
