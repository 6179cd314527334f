package control

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// scriptedCaller answers the calls of a client with a function and records which
// nodes were called.
type scriptedCaller struct {
	called []ident.NodeID
	answer func(node ident.NodeID, reply *ClaimReply) error
}

// Call implements Caller.
func (s *scriptedCaller) Call(_ context.Context, node ident.NodeID, method string, _, reply any) error {
	if method != "Control.Claim" {
		return errors.New("unexpected method " + method)
	}
	s.called = append(s.called, node)
	return s.answer(node, reply.(*ClaimReply))
}

// runClient makes one call in virtual time and returns its error.
func runClient(t *testing.T, s *scriptedCaller) (c *Client, err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		c = NewClient(s, []ident.NodeID{"r1", "r2", "r3"})
		_, err = Call[ClaimReply](ctx, c, "Claim", &ClaimArgs{})
	})
	return c, err
}

func TestClient_FollowsRedirectPastDeadReplica(t *testing.T) {
	s := &scriptedCaller{answer: func(node ident.NodeID, reply *ClaimReply) error {
		switch node {
		case "r1":
			return errors.New("no response")
		case "r2":
			reply.Status = Status{NotLeader: true, Redirect: "r3"}
		}
		return nil
	}}
	c, err := runClient(t, s)
	must.NoError(t, err)
	must.Eq(t, []ident.NodeID{"r1", "r2", "r3"}, s.called)
	must.Eq(t, "r3", c.Leader())
}

// TestClient_RecoversFromRedirectsToDeadLeader has replicas redirect to a dead
// leader for some time: the client must return to the other replicas and find the
// next leader.
func TestClient_RecoversFromRedirectsToDeadLeader(t *testing.T) {
	s := &scriptedCaller{}
	s.answer = func(node ident.NodeID, reply *ClaimReply) error {
		switch {
		case node == "r1":
			return errors.New("no response")
		case len(s.called) < 8:
			reply.Status = Status{NotLeader: true, Redirect: "r1"}
		case node == "r2":
			reply.Status = Status{NotLeader: true, Redirect: "r3"}
		}
		return nil
	}
	c, err := runClient(t, s)
	must.NoError(t, err)
	must.Eq(t, "r3", c.Leader())
}

// TestClient_DistinguishesUnavailableFromUncertain checks that a call which
// certainly had no effect fails with ErrUnavailable, and one that may have had an
// effect with ErrUncertain.
func TestClient_DistinguishesUnavailableFromUncertain(t *testing.T) {
	notLeader := func(_ ident.NodeID, reply *ClaimReply) error {
		reply.Status = Status{NotLeader: true}
		return nil
	}
	unsent := func(ident.NodeID, *ClaimReply) error { return ErrNotSent }
	for _, answer := range []func(ident.NodeID, *ClaimReply) error{notLeader, unsent} {
		s := &scriptedCaller{answer: answer}
		_, err := runClient(t, s)
		must.ErrorIs(t, err, ErrUnavailable)
		must.True(t, slices.Contains(s.called, "r1") && slices.Contains(s.called, "r2") && slices.Contains(s.called, "r3"))
	}
	first := true
	_, err := runClient(t, &scriptedCaller{answer: func(node ident.NodeID, reply *ClaimReply) error {
		if first {
			first = false
			return errors.New("reply lost")
		}
		return notLeader(node, reply)
	}})
	must.ErrorIs(t, err, ErrUncertain)
}
