package command

import (
	"io"
	"strings"

	"thistlequay/internal/config"
	"thistlequay/internal/daemon"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/server"
)

// checkCommand is the verb check: it reads files as the server would and prints every fault.
type checkCommand struct {
	Files []string `arg:"" name:"FILE" help:"The platform's end in .json, ours in .yaml or .yml."`
}

// Run prints a line for each fault and a summary.
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

// fileChecker collects what was read without a fault, and counts faults.
type fileChecker struct {
	out      io.Writer
	faults   int
	platform []server.Config
	own      []*config.Config
}

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

// checkTogether checks each of our files against each of the platform's.
func (f *fileChecker) checkTogether() {
	for _, platform := range f.platform {
		for _, own := range f.own {
			f.accept(own.ValidateAgainst(platform.Settings, platform.MemoryBytes))
		}
	}
}

// accept prints what is wrong and reports whether nothing is.
func (f *fileChecker) accept(err error) bool {
	for _, found := range diagnostics.FromError(err) {
		f.faults++
		printLine(f.out, found.Error())
	}
	return err == nil
}
