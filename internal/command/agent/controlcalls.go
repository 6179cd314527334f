package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/coordination/control"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/ledger"
	"github.com/flamingohaven/flamingohaven/internal/state/move"
	"github.com/flamingohaven/flamingohaven/internal/transport/rpcnet"
)

// controlCallTimeout bounds one attempt of a control call. It exceeds the time
// that the leader itself waits for a commit or for a running claim.
const controlCallTimeout = control.ProposeTimeout + 500*time.Millisecond

// replicaCaller returns a caller that finds replicas by their IDs, at the
// addresses in the settings.
func (a *Agent) replicaCaller() control.Caller {
	return &replicaCaller{rpcClient: a.rpcClient, addresses: replicaAddresses(&a.settings)}
}

type replicaCaller struct {
	rpcClient *rpcnet.Client
	addresses map[ident.NodeID]string
}

// Call implements control.Caller.
func (c *replicaCaller) Call(ctx context.Context, node ident.NodeID, method string, args, reply any) error {
	address, ok := c.addresses[node]
	if !ok {
		return fmt.Errorf("%w: replica %q is not in the settings", control.ErrNotSent, node)
	}
	ctx, cancel := context.WithTimeout(ctx, controlCallTimeout)
	defer cancel()
	err := c.rpcClient.Call(ctx, address, method, args, reply)
	if errors.Is(err, rpcnet.ErrUnsent) {
		return fmt.Errorf("%w: %w", control.ErrNotSent, err)
	}
	return err
}

// ledgerClient implements gateway.Ledger over control calls.
type ledgerClient struct{ client *control.Client }

// Lookup implements gateway.Ledger.
func (l *ledgerClient) Lookup(ctx context.Context, k ledger.Key, wait time.Duration) (ledger.ClaimResult, bool, error) {
	args := &control.LookupArgs{Key: k, Wait: wait}
	reply, err := control.Call[control.LookupReply](ctx, l.client, "Lookup", args)
	return reply.Result, reply.Found, err
}

// Claim implements gateway.Ledger.
func (l *ledgerClient) Claim(ctx context.Context, c ledger.Claim) (ledger.ClaimResult, error) {
	reply, err := control.Call[control.ClaimReply](ctx, l.client, "Claim", &control.ClaimArgs{Claim: c})
	return reply.Result, err
}

// Release implements gateway.Ledger.
func (l *ledgerClient) Release(ctx context.Context, r ledger.Release) error {
	reply, err := control.Call[control.LedgerReply](ctx, l.client, "Release", &control.ReleaseArgs{Release: r})
	return ledgerError(reply, err)
}

// Complete implements gateway.Ledger.
func (l *ledgerClient) Complete(ctx context.Context, c ledger.Complete) error {
	reply, err := control.Call[control.LedgerReply](ctx, l.client, "Complete", &control.CompleteArgs{Complete: c})
	return ledgerError(reply, err)
}

func ledgerError(reply control.LedgerReply, err error) error {
	if err != nil {
		return err
	}
	if reply.Outcome == ledger.OutcomeNotHeld {
		return errors.New("the claim is not held")
	}
	return nil
}

// moveLog implements pool.MoveLog over control calls.
type moveLog struct{ client *control.Client }

// CommitMove implements pool.MoveLog.
func (l *moveLog) CommitMove(ctx context.Context, r move.Record) (move.Record, error) {
	reply, err := control.Call[control.CommitMoveReply](ctx, l.client, "CommitMove", &control.CommitMoveArgs{Record: r})
	switch {
	case err != nil:
		return move.Record{}, err
	case reply.Refusal != "" && reply.Record == nil:
		return move.Record{}, fmt.Errorf("record of move %s refused: %s", r.Name, reply.Refusal)
	case reply.Record == nil:
		return r, nil
	default:
		return *reply.Record, nil
	}
}
