package consensus

import "github.com/flamingohaven/flamingohaven/internal/state/ident"

// faults are deliberate protocol errors. Only tests set them, to verify that
// the checks detect each one. The zero value is the correct protocol.
type faults struct {
	// replyWithoutSync sends replies before the log and the vote are durable.
	replyWithoutSync bool
	// leaseWithoutMargin lets a lease last as long as the followers refuse to
	// vote, without the margin for clock drift.
	leaseWithoutMargin bool
	// commitOldTerms commits entries of earlier terms by counting replicas.
	commitOldTerms bool
	// voteAfterRestart lets a replica vote right after a restart.
	voteAfterRestart bool
	// countLateVotes lets a campaign count votes after its timeout.
	countLateVotes bool
	// recoverWithoutTip lets a replica with a recovered vote vote for any log, and
	// recoverWithOne lets a single answer suffice to recover it.
	recoverWithoutTip, recoverWithOne bool
	// unannounced changes votes without an announcement.
	unannounced bool
	// incarnation is a fixed incarnation that every new data folder gets, if it
	// is not 0.
	incarnation ident.Incarnation
}
