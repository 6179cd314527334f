package consensus

import "github.com/flamingohaven/flamingohaven/internal/state/ident"

// faults are deliberate errors. Only tests set them, to show that the checks
// find each; the zero value is the correct protocol.
type faults struct {
	// replyWithoutSync sends replies before the log and the vote are durable.
	replyWithoutSync bool
	// leaseWithoutMargin lets a lease last as long as the followers' promise.
	leaseWithoutMargin bool
	// commitOldTerms commits entries of earlier terms by counting replicas.
	commitOldTerms bool
	// voteAfterRestart grants votes right after a restart.
	voteAfterRestart bool
	// incarnation returns a fixed incarnation for every life of a data folder.
	incarnation ident.Incarnation
}
