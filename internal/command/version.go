package command

import (
	"fmt"
	"io"
	"runtime"

	"thistlequay/internal/daemon"
)

// versionCommand implements the version command.
type versionCommand struct{}

// Run prints the version control revision that is recorded in the binary, and the Go version.
func (versionCommand) Run(out io.Writer) error {
	revision := daemon.Revision()
	if revision == "" {
		revision = "of no recorded revision"
	}
	_, err := fmt.Fprintf(out, "thistlequay %s, %s\n", revision, runtime.Version())
	return err
}
