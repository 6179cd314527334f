package control

import (
	"context"
	"encoding/binary"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/machine"
)

// fakeNode sends heartbeats to a service as a real node does.
type fakeNode struct {
	*Follower
	service *Service
}

func newFakeNode(id ident.NodeID, service *Service) *fakeNode {
	return &fakeNode{NewFollower(lease.Node{ID: id, Incarnation: 1}), service}
}

// heartbeat sends one heartbeat and applies the reply. It reports whether the
// next heartbeat should follow at once.
func (n *fakeNode) heartbeat(t *testing.T) bool {
	sent := time.Now()
	var reply HeartbeatReply
	test.NoError(t, n.service.Heartbeat(n.Heartbeat(0, false), &reply))
	resend, err := n.HandleReply(sent, &reply)
	test.NoError(t, err)
	return resend
}

// run sends heartbeats until the context ends.
func (n *fakeNode) run(ctx context.Context, t *testing.T) {
	for ctx.Err() == nil {
		if !n.heartbeat(t) {
			sleep(ctx, HeartbeatInterval)
		}
	}
}

// background runs goroutines that are stopped with the test.
type background struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newBackground(t *testing.T) *background {
	b := &background{}
	b.ctx, b.cancel = context.WithCancel(t.Context())
	return b
}

func (b *background) stop() {
	b.cancel()
	b.group.Wait()
}

const sampleFile = `
tiers:
  urgent: {rank: 2, deadline: 2s}
  patient: {rank: 1, deadline: 1m, reserve: 0.1}
teams:
  north: {shares: 3}
pools:
  chat: {kind: engine, model: m, version: v1}
  entries: {kind: service, version: s1}
upstreams:
  e1: {pool: chat, version: v1, address: "127.0.0.1:7001", max_concurrent: 4}
  e2: {pool: chat, version: v2, address: "127.0.0.1:7002", max_concurrent: 4}
  s1: {pool: entries, version: s1, address: "127.0.0.1:7003", max_concurrent: 4}
routes:
  chat: {path: /v1/chat/completions, pool: chat, tier: patient, idempotent: true}
  submit: {path: /entries, pool: entries, tier: urgent}
`

func sampleArgs(id config.OperationID, base ident.Revision, extra string) *ApplyConfigArgs {
	return &ApplyConfigArgs{
		ID: id, Base: base, Who: "operator " + string(id),
		Files: []config.File{{Name: "10-base.yaml", Data: []byte(sampleFile)}, {Name: "20-extra.yaml", Data: []byte(extra)}},
	}
}

// newKey returns an idempotency key, a version 7 UUID of the current time, that
// is unique for each n.
func newKey(n uint32) ledger.Key {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint32(id[12:], n)
	id[6] |= 0x70
	id[8] |= 0x80
	return ledger.Key{Team: "north", Route: "submit", Idempotency: id.String()}
}

func newLocalService() (*Service, *machine.Machine) {
	m := machine.New(ledger.DefaultLimits())
	return NewService("r1", NewLocalProposer("r1", m), m), m
}

func TestService_ClaimAndApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBackground(t)
		defer b.stop()
		service, m := newLocalService()
		b.group.Go(func() { service.Run(b.ctx) })
		nodes := []*fakeNode{newFakeNode("n1", service), newFakeNode("n2", service)}
		for _, n := range nodes {
			b.group.Go(func() { n.run(b.ctx, t) })
		}
		time.Sleep(time.Second)

		var applied ApplyConfigReply
		must.NoError(t, service.ApplyConfig(sampleArgs("a", 0, ""), &applied))
		must.SliceEmpty(t, applied.Mistakes)
		must.Eq(t, config.VerdictAccepted, applied.Outcome.Verdict)
		must.True(t, applied.InForce)
		_, revision := nodes[0].Config()
		must.Eq(t, 1, revision)

		time.Sleep(time.Second)
		must.Len(t, 2, m.Pools())
		must.NotEq(t, m.Pools()[0].Holder, m.Pools()[1].Holder)

		claim := ledger.Claim{Key: newKey(1), Gateway: "n1", Incarnation: 1, Request: "q1"}
		var claimed ClaimReply
		must.NoError(t, service.Claim(&ClaimArgs{Claim: claim}, &claimed))
		must.Eq(t, ledger.VerdictGranted, claimed.Result.Verdict)
	})
}
