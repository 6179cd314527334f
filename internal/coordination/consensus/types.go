// Package consensus replicates a log of commands among the VMs that have a
// disk and applies it to a state machine.
package consensus

import (
	"context"
	"errors"
	"fmt"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// StateMachine is what the replicated log drives. Apply must be deterministic.
// R is the typed result of a command.
type StateMachine[R any] interface {
	// Apply executes the command at index and returns its result.
	Apply(index uint64, command []byte) R
	// Snapshot returns the encoded state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(snapshot []byte) error
}

// Proposer commits commands and answers linearizable reads. Node implements it.
type Proposer[R any] interface {
	// Propose commits the command and returns its result. It fails with
	// *NotLeaderError when the command was certainly not accepted here, and
	// with ErrUncertain when it may or may not commit.
	Propose(ctx context.Context, command []byte) (R, error)
	// ReadBarrier returns once the local state machine reflects every command
	// that was acknowledged before the call. Leader only.
	ReadBarrier(ctx context.Context) error
	// Leadership returns this replica's present knowledge.
	Leadership() Leadership
}

// Leadership is one replica's knowledge of who leads.
type Leadership struct {
	Term   uint64
	Leader ident.NodeID
	// Leading is true while this replica leads and its lease is valid: no
	// other replica can have begun to lead.
	Leading bool
}

// ErrUncertain means that a proposed command may or may not commit.
var ErrUncertain = errors.New("consensus: outcome unknown, the command may still commit")

// NotLeaderError means that the command was certainly not accepted here.
type NotLeaderError struct {
	// Leader is the replica believed to lead; empty if unknown.
	Leader ident.NodeID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("consensus: not the leader (leader: %q)", e.Leader)
}
