package main

import (
	"fmt"
	"io"
	"runtime/debug"
)

// versionCommand is the verb version.
type versionCommand struct{}

// Run prints the revision that the build recorded and the version of Go.
func (versionCommand) Run(out io.Writer) error {
	info, _ := debug.ReadBuildInfo()
	revision := recordedRevision()
	if revision == "" {
		revision = "of no recorded revision"
	}
	_, err := fmt.Fprintf(out, "thistlequay %s, %s\n", revision, info.GoVersion)
	return err
}

// recordedRevision returns the revision of the source as the build recorded it; empty where it did not.
func recordedRevision() string {
	info, _ := debug.ReadBuildInfo()
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}

// shortRevision is what a server tells other servers of its version.
func shortRevision() string {
	const length = 12
	revision := recordedRevision()
	if revision == "" {
		return "unrecorded"
	}
	return revision[:min(len(revision), length)]
}
