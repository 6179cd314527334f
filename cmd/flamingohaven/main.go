// Command flamingohaven is a request scheduler for unlike engines: daemon and
// operators' client in one binary.
package main

import (
	"os"

	"github.com/flamingohaven/flamingohaven/internal/command"
	"github.com/flamingohaven/flamingohaven/platform"
)

func main() {
	os.Exit(command.Main(os.Args, platform.Daemons()...))
}
