// Package consensus replicates a log of commands among the VMs that have a disk
// and applies it to a state machine. It follows the Raft protocol with
// pre-votes, learners and leader leases.
package consensus

import (
	"context"
	"errors"
	"fmt"

	"github.com/flamingohaven/flamingohaven/internal/state/ident"
)

// StateMachine executes the commands of the replicated log. Apply must be
// deterministic. R is the type of a command's result.
type StateMachine[R any] interface {
	// Apply executes the command at index and returns its result.
	Apply(index uint64, command []byte) R
	// Snapshot returns the encoded state after the last applied command.
	Snapshot() ([]byte, error)
	// Restore replaces the state with the one encoded in snapshot.
	Restore(snapshot []byte) error
}

// Proposer commits commands and answers linearizable reads. Node implements it.
type Proposer[R any] interface {
	// Propose commits the command and returns its result. It fails with
	// *NotLeaderError if this replica did not accept the command, which then
	// never commits, and with ErrUncertain if the command may or may not
	// commit.
	Propose(ctx context.Context, command []byte) (R, error)
	// ReadBarrier returns once the local state machine reflects every command
	// that was acknowledged before the call. Leader only.
	ReadBarrier(ctx context.Context) error
	// Leadership returns what this replica knows about the leadership now.
	Leadership() Leadership
}

// Leadership is what one replica knows about the current leader.
type Leadership struct {
	Term   uint64
	Leader ident.NodeID
	// Leading is true while this replica leads and its lease is valid: no other
	// replica can have become leader.
	Leading bool
}

// ErrUncertain means that a proposed command may or may not commit.
var ErrUncertain = errors.New("consensus: outcome unknown, the command may still commit")

// NotLeaderError means that this replica does not lead and did not accept the
// command.
type NotLeaderError struct {
	// Leader is the replica that probably leads; empty if unknown.
	Leader ident.NodeID
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("consensus: not the leader (leader: %q)", e.Leader)
}
