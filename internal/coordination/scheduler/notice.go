package scheduler

import (
	"fmt"
	"time"
)

// NoticeState states what an answer says about one matter.
type NoticeState uint8

const (
	// NoticeAbsent means that the answer says nothing: nothing is in force.
	NoticeAbsent NoticeState = iota
	// NoticeNamed means that the answer names a number.
	NoticeNamed
	// NoticeUnreadable means that what the answer says can't be read. It changes
	// nothing.
	NoticeUnreadable
)

// UpstreamNotice is what the header of an answer says about the upstream that sent
// it, rather than about the request.
type UpstreamNotice struct {
	RateLimit NoticeState
	// PerSecond is the named limit: the requests a second that the upstream takes
	// from all gateways together.
	PerSecond float64
	// Text is the limit as it was sent or, if it is unreadable, why.
	Text string
	// Brittle states whether the upstream falls if it has to turn more than TurnAway
	// requests of all gateways away in a second. BrittleText is as Text.
	Brittle     NoticeState
	TurnAway    float64
	BrittleText string
	// Pause states whether the upstream asks the gateway that it answered for no requests
	// during PauseFor. PauseText is as Text.
	Pause     NoticeState
	PauseFor  time.Duration
	PauseText string
	// Leaving is NoticeNamed if the upstream says that it leaves. LeavingText is as Text.
	Leaving     NoticeState
	LeavingText string
	// Cold is NoticeNamed if the upstream says how much longer it is cold, which is ColdFor.
	// ColdText is as Text.
	Cold     NoticeState
	ColdFor  time.Duration
	ColdText string
}

// String implements fmt.Stringer.
func (n UpstreamNotice) String() string {
	text := "names no limit"
	switch n.RateLimit {
	case NoticeNamed:
		text = fmt.Sprintf("names a limit of %g requests a second (%q)", n.PerSecond, n.Text)
	case NoticeUnreadable:
		text = "names a limit that can't be read, ignored: " + n.Text
	}
	switch n.Brittle {
	case NoticeNamed:
		text += fmt.Sprintf("; says that it falls if it turns away more than %g requests a second (%q)", n.TurnAway, n.BrittleText)
	case NoticeUnreadable:
		text += "; says that it is brittle, which can't be read, ignored: " + n.BrittleText
	}
	switch n.Pause {
	case NoticeNamed:
		text += fmt.Sprintf("; asks this gateway for no requests for %s (%q)", n.PauseFor, n.PauseText)
	case NoticeUnreadable:
		text += "; asks for a pause that can't be read, ignored: " + n.PauseText
	}
	switch n.Leaving {
	case NoticeNamed:
		text += "; says that it leaves"
	case NoticeUnreadable:
		text += "; says that it leaves or not, which can't be read, ignored: " + n.LeavingText
	}
	switch n.Cold {
	case NoticeNamed:
		text += fmt.Sprintf("; says that it is cold for %s", n.ColdFor)
	case NoticeUnreadable:
		text += "; says how long it is cold, which can't be read, ignored: " + n.ColdText
	}
	return text
}
