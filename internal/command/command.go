// Package command holds the subcommands of the binary, one file each.
package command

import "os"

// Main runs the subcommand that args name and returns the exit code.
func Main(args []string) int {
	if len(args) < 2 {
		os.Stderr.WriteString("usage: flamingohaven <subcommand>\n")
		return 2
	}
	return 0
}
