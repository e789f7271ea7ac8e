package command

import (
	"io"
	"strings"

	"thistlequay/internal/config"
	"thistlequay/internal/daemon"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/server"
)

// checkCommand implements the check command, which reads configuration files as the server does and prints every
// diagnostic.
type checkCommand struct {
	Files []string `arg:"" name:"FILE" help:"The platform's end in .json, ours in .yaml or .yml."`
}

// Run prints one line for each diagnostic and a summary. It returns an error if there is any diagnostic.
func (c *checkCommand) Run(out io.Writer) error {
	checker := fileChecker{out: out}
	for _, file := range c.Files {
		checker.check(file)
	}
	checker.checkTogether()
	if checker.faults > 0 {
		printf(out, "%d faults in %d files\n", checker.faults, len(c.Files))
		return errAlreadyReported
	}
	printf(out, "%d files, no fault\n", len(c.Files))
	return nil
}

// fileChecker reads files, keeps the valid ones, and prints and counts the diagnostics of the others.
type fileChecker struct {
	out      io.Writer
	faults   int
	platform []server.Config  // valid configurations of the platform
	own      []*config.Config // valid service settings
}

// check reads one file. The extension of its name decides whether it is a platform configuration or service settings.
func (f *fileChecker) check(file string) {
	switch {
	case strings.HasSuffix(file, ".json"):
		read, err := daemon.ReadPlatformConfig(file)
		if f.accept(err) {
			f.platform = append(f.platform, read)
		}
	case strings.HasSuffix(file, ".yaml"), strings.HasSuffix(file, ".yml"):
		read, err := config.Read(file)
		if f.accept(err) {
			f.own = append(f.own, read)
		}
	default:
		f.accept(diagnostics.List{{
			File:     file,
			Problem:  "is of no known kind",
			Expected: "a name that ends in .json, .yaml or .yml",
		}})
	}
}

// checkTogether validates each file of service settings against each platform configuration.
func (f *fileChecker) checkTogether() {
	for _, platform := range f.platform {
		for _, own := range f.own {
			f.accept(own.ValidateAgainst(platform.Settings, platform.MemoryBytes))
		}
	}
}

// accept prints and counts the diagnostics of err. It reports whether err is nil.
func (f *fileChecker) accept(err error) bool {
	for _, found := range diagnostics.FromError(err) {
		f.faults++
		printLine(f.out, found.Error())
	}
	return err == nil
}
