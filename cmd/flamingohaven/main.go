// Command flamingohaven is a request scheduler for model engines and plain HTTP
// services. The binary holds both the node daemon and the operator CLI.
package main

import (
	"os"

	"github.com/flamingohaven/flamingohaven/internal/command"
	"github.com/flamingohaven/flamingohaven/platform"
)

func main() {
	os.Exit(command.Main(os.Args, platform.Daemons()...))
}
