// Command verbenastand is a load balancer for servers whose load shifts in
// milliseconds.
package main

import (
	"os"

	"github.com/verbenastand/verbenastand/commander"
)

// version is set by the linker.
var version = "development"

func main() {
	os.Exit(commander.Run(commander.Config{Args: os.Args[1:], Version: version, Stdout: os.Stdout, Stderr: os.Stderr}))
}
