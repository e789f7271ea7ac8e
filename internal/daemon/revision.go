package daemon

import "runtime/debug"

// Revision returns the revision of the source as the build recorded it; empty where it did not.
func Revision() string {
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
	revision := Revision()
	if revision == "" {
		return "unrecorded"
	}
	return revision[:min(len(revision), length)]
}
