// Command thistlequay runs an app server and provides tools for operating it. Package internal/command implements its
// subcommands and defines the exit codes.
package main

import (
	"os"

	"thistlequay/internal/command"
)

func main() { os.Exit(command.Main()) }
