package daemon

import "runtime/debug"

// Revision returns the version control revision that the build recorded, or an empty string if there is none.
func Revision() string {
	info, _ := debug.ReadBuildInfo()
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}

// shortRevision returns the revision that a server sends to other servers as its version.
func shortRevision() string {
	const length = 12
	revision := Revision()
	if revision == "" {
		return "unrecorded"
	}
	return revision[:min(len(revision), length)]
}
