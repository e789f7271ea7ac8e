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
	checker.checkCombinations()
	if checker.faultCount > 0 {
		printf(out, "%d faults in %d files\n", checker.faultCount, len(c.Files))
		return errAlreadyReported
	}
	printf(out, "%d files, no fault\n", len(c.Files))
	return nil
}

// fileChecker reads files, keeps the valid ones, and prints and counts the diagnostics of the others.
type fileChecker struct {
	out             io.Writer
	faultCount      int
	platformConfigs []server.Config  // valid configurations of the platform
	serviceConfigs  []*config.Config // valid service settings
}

// check reads one file. The extension of its name decides whether it is a platform configuration or service settings.
func (f *fileChecker) check(file string) {
	switch {
	case strings.HasSuffix(file, ".json"):
		parsed, err := daemon.ReadPlatformConfig(file)
		if f.report(err) {
			f.platformConfigs = append(f.platformConfigs, parsed)
		}
	case strings.HasSuffix(file, ".yaml"), strings.HasSuffix(file, ".yml"):
		parsed, err := config.Read(file)
		if f.report(err) {
			f.serviceConfigs = append(f.serviceConfigs, parsed)
		}
	default:
		f.report(diagnostics.List{{
			File:     file,
			Problem:  "is of no known kind",
			Expected: "a name that ends in .json, .yaml or .yml",
		}})
	}
}

// checkCombinations validates each file of service settings against each platform configuration.
func (f *fileChecker) checkCombinations() {
	for _, platformConfig := range f.platformConfigs {
		for _, serviceConfig := range f.serviceConfigs {
			f.report(serviceConfig.ValidateAgainst(platformConfig.Settings, platformConfig.MemoryBytes))
		}
	}
}

// report prints and counts the diagnostics of err. It reports whether err is nil.
func (f *fileChecker) report(err error) bool {
	for _, diagnostic := range diagnostics.FromError(err) {
		f.faultCount++
		printLine(f.out, diagnostic.Error())
	}
	return err == nil
}
