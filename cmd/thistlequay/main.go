// Command thistlequay is one app server and the tools around it; internal/command has its verbs and exit codes.
package main

import (
	"os"

	"thistlequay/internal/command"
)

func main() { os.Exit(command.Main()) }
