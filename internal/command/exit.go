package command

import (
	"errors"
	"fmt"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
)

// Exit codes of all subcommands, described in docs/operations/exit-codes.md.
const (
	// ExitOK means that the command succeeded.
	ExitOK subcommands.ExitStatus = 0
	// ExitFailed means that the command failed and changed nothing.
	ExitFailed subcommands.ExitStatus = 1
	// ExitUsage means that arguments or settings are invalid.
	ExitUsage subcommands.ExitStatus = 2
	// ExitConflict means that another change was accepted first.
	ExitConflict subcommands.ExitStatus = 3
	// ExitMistakes means that the configuration is invalid.
	ExitMistakes subcommands.ExitStatus = 4
	// ExitUncertain means that the change may have taken effect.
	ExitUncertain subcommands.ExitStatus = 5
	// ExitTimeout means that the awaited state was not reached in time.
	ExitTimeout subcommands.ExitStatus = 6
	// ExitTakenBack means that a move ended in state taken_back.
	ExitTakenBack subcommands.ExitStatus = 7
	// ExitViolation means that a demo, load or soak run violated a guarantee,
	// for example by losing a request.
	ExitViolation subcommands.ExitStatus = 8
	// ExitUnauthorized means that the operator token was rejected.
	ExitUnauthorized subcommands.ExitStatus = 9
)

// advice holds the exit code of a failed call and what the operator can do next.
type advice struct {
	exit subcommands.ExitStatus
	next string
}

var adviceByCode = map[opsapi.Code]advice{
	opsapi.CodeUnauthorized: {ExitUnauthorized, "set the right token file with -token-file or FLAMINGOHAVEN_TOKEN_FILE"},
	opsapi.CodeBadRequest:   {ExitUsage, "check the arguments, and that -operator lists operator addresses of nodes of this version"},
	opsapi.CodeNotFound:     {ExitFailed, "nothing was changed; see flamingohaven status for the names"},
	opsapi.CodeUnavailable:  {ExitFailed, "nothing was changed; check -operator and that a majority of the replicas is running, then try again"},
	opsapi.CodeRefused:      {ExitFailed, "nothing was changed; try again once the reason is gone"},
	opsapi.CodeUncertain:    {ExitUncertain, "the change may have taken effect; run the same command again, which is safe"},
}

// failed prints err, followed by advice if it came from the operator API, and
// returns the exit code.
func (u *ui) failed(command string, err error) subcommands.ExitStatus {
	var known *opsapi.Error
	if !errors.As(err, &known) {
		fmt.Fprintf(u.err, "%s: %v\n", command, err)
		return ExitFailed
	}
	a := adviceByCode[known.Code]
	fmt.Fprintf(u.err, "%s: %s\nnext: %s\n", command, known.Message, a.next)
	return a.exit
}
