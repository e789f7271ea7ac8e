// Package command implements the command line of thistlequay, which runs an app server and provides tools for operating
// it. Each command has a file of its own.
//
// The exit code is 0 on success, 1 if the server could not start, the command failed or a file is invalid, and 2 if the
// command line is invalid. The server never runs with a configuration that it could not parse and validate completely.
package command

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"thistlequay/internal/daemon"
	"thistlequay/internal/plugin"
)

// Exit codes of the program; 0 is success.
const (
	ExitFailed = 1 // the server could not start, the command failed or a file is invalid
	ExitUsage  = 2 // the command line is invalid
)

// commandLine defines the commands of the program. Kong derives the command line parser from the struct tags.
type commandLine struct {
	Serve   serveCommand   `cmd:"" default:"withargs" help:"${serveHelp}"`
	Check   checkCommand   `cmd:"" help:"Check files, the platform's JSON and our YAML, and report each fault."`
	Try     tryCommand     `cmd:"" help:"Start servers with emulators on this machine, send load, print the results."`
	Plugin  pluginCommand  `cmd:"" help:"Check and run plug-ins."`
	Store   storeCommand   `cmd:"" help:"Inspect, verify or compact a store."`
	Members membersCommand `cmd:"" help:"Ask a running server which servers are alive and for its quorum status."`
	Shares  sharesCommand  `cmd:"" help:"Ask a running server who holds the fleet's quotas, or chart them from logs."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

const serveHelp = "Serve requests. This is also what the program does without a command."

const description = `An app server that decides which requests it admits, runs and rejects.

First steps: "thistlequay try" needs nothing but this machine. "thistlequay serve --config FILE" serves; SIGTERM starts
a graceful shutdown, SIGHUP reads the files again. Exit codes: 0 all went well, 1 it could not start, failed or found
faults, 2 the command line is wrong.`

// Main runs the command line of this process and returns the exit code. If plugin.HostVerb is the only argument, the
// process serves as a plug-in host instead.
func Main() int {
	startedAsPluginHost := len(os.Args) == 2 && os.Args[1] == plugin.HostVerb
	if !startedAsPluginHost {
		return Run(os.Args[1:], os.Stdout, os.Stderr)
	}
	if err := plugin.RunHost(plugin.HostDescriptor()); err != nil {
		return ExitFailed
	}
	return 0
}

// Run parses and runs one command line and returns the exit code. The arguments do not include the program name. Output
// goes to stdout and errors go to stderr.
func Run(args []string, stdout, stderr io.Writer) int {
	const notExited = -1
	helpExitCode := notExited
	var grammar commandLine
	parser, err := kong.New(&grammar, kong.Name("thistlequay"), kong.Description(description),
		kong.Writers(stdout, stderr), kong.Vars{"serveHelp": serveHelp}, kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Exit(func(code int) { helpExitCode = code }))
	if err != nil {
		printLine(stderr, err)
		return ExitUsage
	}
	parsed, err := parser.Parse(args)
	if helpExitCode != notExited { // kong has printed the help text
		return helpExitCode
	}
	if err != nil {
		printf(stderr, "thistlequay: %s\nthistlequay --help lists the commands\n", err)
		return ExitUsage
	}
	parsed.BindTo(stdout, (*io.Writer)(nil))
	err = parsed.Run()
	if err == nil {
		return 0
	}
	if !errors.Is(err, errAlreadyReported) && !errors.Is(err, daemon.ErrLogged) {
		printf(stderr, "thistlequay: %s\n", err)
	}
	return ExitFailed
}

// errAlreadyReported is returned by commands that have already printed the reasons for their failure.
var errAlreadyReported = errors.New("already reported")

// printf writes formatted text to the output of a command. It ignores write errors, because there is no other place to
// report them.
func printf(out io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) }

// printLine writes a value and a newline. It ignores write errors, as printf does.
func printLine(out io.Writer, value any) { _, _ = fmt.Fprintln(out, value) }
