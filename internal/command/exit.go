package command

import (
	"errors"
	"fmt"

	"github.com/google/subcommands"

	"github.com/flamingohaven/flamingohaven/internal/protocol/opsapi"
)

// Exit codes of all subcommands; docs/operations/exit-codes.md explains them.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK subcommands.ExitStatus = 0
	// ExitFailed means that it did not, and changed nothing.
	ExitFailed subcommands.ExitStatus = 1
	// ExitUsage means wrong arguments or settings.
	ExitUsage subcommands.ExitStatus = 2
	// ExitConflict means that another change came first.
	ExitConflict subcommands.ExitStatus = 3
	// ExitMistakes means that the configuration has mistakes.
	ExitMistakes subcommands.ExitStatus = 4
	// ExitUncertain means that the change may have taken effect.
	ExitUncertain subcommands.ExitStatus = 5
	// ExitTimeout means that what was waited for did not come in time.
	ExitTimeout subcommands.ExitStatus = 6
	// ExitTakenBack means that a move was taken back.
	ExitTakenBack subcommands.ExitStatus = 7
	// ExitViolation means that a run broke a promise, such as lost work.
	ExitViolation subcommands.ExitStatus = 8
	// ExitUnauthorized means that the operators' token was refused.
	ExitUnauthorized subcommands.ExitStatus = 9
)

// advice is what an operator can do after a failed call, and its exit code.
type advice struct {
	exit subcommands.ExitStatus
	next string
}

var adviceByCode = map[opsapi.Code]advice{
	opsapi.CodeUnauthorized: {ExitUnauthorized, "name the right token file by -token-file or FLAMINGOHAVEN_TOKEN_FILE"},
	opsapi.CodeBadRequest:   {ExitUsage, "check the arguments, and that -operator names operators' listeners of this version"},
	opsapi.CodeNotFound:     {ExitFailed, "nothing was changed; see flamingohaven status for the names"},
	opsapi.CodeUnavailable:  {ExitFailed, "nothing was changed; check -operator, and that a majority of the replicas runs; then try again"},
	opsapi.CodeUncertain:    {ExitUncertain, "the change may have taken effect; run the same command again, which is safe"},
}

// failed prints why a call failed and what to do next.
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
