package command

import (
	"fmt"
	"io"
	"runtime"

	"thistlequay/internal/daemon"
)

// versionCommand is the verb version.
type versionCommand struct{}

// Run prints the revision that the build recorded and the version of Go.
func (versionCommand) Run(out io.Writer) error {
	revision := daemon.Revision()
	if revision == "" {
		revision = "of no recorded revision"
	}
	_, err := fmt.Fprintf(out, "thistlequay %s, %s\n", revision, runtime.Version())
	return err
}
