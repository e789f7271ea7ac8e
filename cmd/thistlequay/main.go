// Command thistlequay is one app server and the tools around it. This file owns the command line, signals and exit codes:
// 0 where all went well, 1 where it could not start, failed or a file has faults, 2 where the command line is wrong. It
// must never serve with a configuration that it did not understand.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"thistlequay/internal/config"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/gossip"
	"thistlequay/internal/logs"
	"thistlequay/internal/plugin"
	"thistlequay/internal/quota/service"
	"thistlequay/internal/segmentlog"
	"thistlequay/internal/server"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type commands struct {
	Serve   serve     `cmd:"" default:"withargs" help:"Serve work items. This is also what the program does without a command."`
	Check   check     `cmd:"" help:"Check files and tell each fault with its place: the platform's JSON and our YAML."`
	Try     try       `cmd:"" help:"Start servers with stand-ins on this machine, send ten seconds of work from four tenants, print what came of it."`
	Plugin  plugins   `cmd:"" help:"Check and run plug-ins."`
	Store   stores    `cmd:"" help:"Look at a store, verify it, make it small."`
	Members membersOf `cmd:"" help:"Ask a running server who is there, who has failed and how it stands."`
	Shares  sharesOf  `cmd:"" help:"Ask a running server who holds what of the fleet's limits, or draw that over time from a log."`
	Version version   `cmd:"" help:"Tell the version."`
}

const about = `An app server that decides which work items it takes, runs and turns away.

First steps: "thistlequay try" needs nothing but this machine. "thistlequay serve --config FILE" serves; SIGTERM has it
leave, SIGHUP read its files again. Exit codes: 0 all went well, 1 it could not start, failed or found faults, 2 the command
line is wrong.`

func main() {
	if len(os.Args) == 2 && os.Args[1] == plugin.HostVerb { // begun by a server, see internal/plugin
		if err := plugin.RunHost(plugin.HostDescriptor()); err != nil {
			os.Exit(exitFailed)
		}
		return
	}
	os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
}

// command carries out one command line and gives the exit code.
func command(args []string, out, errs io.Writer) (code int) {
	var c commands
	left := -1
	parser, err := kong.New(&c, kong.Name("thistlequay"), kong.Description(about), kong.Writers(out, errs),
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Exit(func(code int) { left = code }))
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	line, err := parser.Parse(args)
	if left >= 0 { // --help has been answered
		return left
	}
	if err != nil {
		fmt.Fprintf(errs, "thistlequay: %s\nthistlequay --help tells what there is\n", err)
		return exitUsage
	}
	line.BindTo(out, (*io.Writer)(nil))
	if err := line.Run(); err != nil {
		if !errors.Is(err, errSaid) {
			fmt.Fprintf(errs, "thistlequay: %s\n", err)
		}
		return exitFailed
	}
	return 0
}

// errSaid is a failure that has been told already.
var errSaid = errors.New("said")

type serve struct {
	Config     string `env:"PROXY_CONFIG" placeholder:"FILE" help:"The platform's configuration, JSON."`
	Service    string `env:"THISTLEQUAY_SERVICE" placeholder:"FILE" help:"Our own settings, YAML; a section a subsystem. Without it all of them are off."`
	app        *server.Server
	section    *config.Plugins // that the running ones were begun by
	running    *server.Plugins
	kept       *config.Store // that the open one was opened by
	lasting    *server.Recovery
	peers      *gossip.Node
	heard      *server.Gossip
	sharing    *service.Service
	shares     *server.Quota
	granted    *config.Quota // that the running ones were begun by
	ClockShift time.Duration `hidden:"" help:"For tests: how wrong this machine's clock is."`
	Log        logs.Format   `enum:"text,json" default:"text" help:"How log lines look: ${enum}."`
}

// Run serves until the notice to leave has been carried out.
func (s *serve) Run() error {
	log := logs.New(os.Stderr, s.Log)
	// First of all: a notice that comes while the files are read ends nothing, it is carried out once there is a server.
	leave, again := make(chan os.Signal, 1), make(chan os.Signal, 1) // apart: many of one never crowd out the other
	signal.Notify(leave, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(again, syscall.SIGHUP)
	place, err := s.place()
	if err != nil {
		return said(log, "cannot_start", err)
	}
	app := server.New(place, log)
	s.app = app
	go func() {
		for range leave {
			app.Shutdown()
		}
	}()
	go func() {
		for range again {
			if place, err := s.place(); err != nil {
				_ = said(log, "configuration_rejected", err)
			} else {
				app.Reconfigure(place)
			}
		}
	}()
	err = app.Run()
	if s.sharing != nil {
		s.sharing.Close()
	}
	if s.peers != nil {
		s.peers.Close()
	}
	if errors.Is(err, server.ErrLoopEnded) {
		return said(log, "failed", err)
	} else if err != nil {
		return said(log, "cannot_start", err)
	}
	return nil
}

// said logs each fault as a line of its own.
func said(log logs.Logger, event string, err error) error {
	for _, f := range diagnostics.FromError(err) {
		log.Event(event).Str("reason", f.Error()).Send()
	}
	return errSaid
}

// place reads both files: all of what they say takes hold, or nothing.
func (s *serve) place() (p server.Config, err error) {
	p, err = configure(s.Config)
	if err != nil {
		return p, err
	}
	own, err := config.Read(s.Service)
	if err != nil {
		return p, err
	}
	if err := own.ValidateAgainst(p.Settings, p.MemoryBytes); err != nil {
		return p, err
	}
	p.FairQueue, p.Tenancy = own.FairQueues.SchedulerConfig(p.Settings), own.FairQueues.TenantTable()
	if p.Plugins, err = s.plugins(own.Plugins, p); err != nil {
		return p, err
	}
	if p.Recovery, err = s.store(own.Store, p); err != nil {
		return p, err
	}
	if err = s.share(own.Quota, own.Gossip, &p, logs.New(os.Stderr, s.Log)); err != nil {
		return p, err
	}
	apply(p)
	return p, nil
}

// store opens the store at the start. What is open stays: another section is told as one that can't change while running.
func (s *serve) store(of *config.Store, p server.Config) (*server.Recovery, error) {
	if s.app != nil {
		if reflect.DeepEqual(of, s.kept) {
			return s.lasting, nil
		}
		return nil, nil
	}
	if s.kept = of; of == nil {
		return nil, nil
	}
	files, err := segmentlog.OpenDirectory(of.DirectoryPath(s.Service))
	if err != nil {
		return nil, fmt.Errorf("the store in %s: %w", of.DirectoryPath(s.Service), err)
	}
	var tell atomic.Pointer[func([]segmentlog.WriteResult)]
	terms := of.LogConfig(p.Settings, p.MemoryBytes)
	terms.OnWritten = func(done []segmentlog.WriteResult) {
		if to := tell.Load(); to != nil {
			(*to)(done)
		}
	}
	opened, err := segmentlog.Open(files, terms)
	if err != nil {
		return nil, fmt.Errorf("the store in %s: %w", of.DirectoryPath(s.Service), err)
	}
	log := logs.New(os.Stderr, s.Log)
	for _, f := range opened.Findings {
		log.Event("store_corruption").Str("file", f.File).Int64("offset", f.Offset).Str("kind", f.Corruption.String()).Bool("lost", f.DataLoss).Send()
	}
	wait := max(0, opened.RejectUntil-terms.Now().Wall)
	if opened.RejectUntil == 0 {
		wait = 0
	}
	log.Event("store_open").Str("directory", of.DirectoryPath(s.Service)).Int("records", opened.RecordCount).Int("idempotency_entries", len(opened.Outcomes)).
		Int64("rejects_for_ms", int64(wait/10)).Send()
	s.lasting = &server.Recovery{Store: opened, OnDurable: func(f func([]segmentlog.WriteResult)) { tell.Store(&f) }}
	return s.lasting, nil
}

// plugins begins a process of plug-ins where the settings or a module's bytes are others than before: it compiles them
// and tries them on their samples, and only then anything is asked there.
func (s *serve) plugins(of *config.Plugins, p server.Config) (*server.Plugins, error) {
	if of == nil {
		s.running, s.section = nil, nil
		return nil, nil
	}
	if s.running != nil && reflect.DeepEqual(s.section, of) {
		return s.running, nil
	}
	t := &server.Plugins{Grants: of.Grants(p.Settings), DropState: of.DiscardsState(),
		Start: func(kept map[string]map[string][]byte) (*plugin.Process, error) {
			return plugin.Start(of.ProcessSpec(kept), of.ReadyTimeout, os.Stderr)
		}}
	var kept map[string]map[string][]byte
	if s.app != nil {
		kept = s.app.PluginState()
	}
	var err error
	if t.Process, err = t.Start(kept); err != nil {
		return nil, err
	}
	s.running, s.section = t, of
	return t, nil
}

type check struct {
	Files []string `arg:"" name:"FILE" help:"Files that end in .json are the platform's, those in .yaml or .yml ours. Where one of each is given, they are checked against each other."`
}

// Run checks the files; each fault is a line.
func (c *check) Run(out io.Writer) error {
	found := 0
	tell := func(err error) bool {
		for _, f := range diagnostics.FromError(err) {
			found++
			fmt.Fprintln(out, f.Error())
		}
		return err == nil
	}
	var places []server.Config
	var own []*config.Config
	for _, file := range c.Files {
		switch {
		case strings.HasSuffix(file, ".json"):
			if p, err := configure(file); tell(err) {
				places = append(places, p)
			}
		case strings.HasSuffix(file, ".yaml"), strings.HasSuffix(file, ".yml"):
			if t, err := config.Read(file); tell(err) {
				own = append(own, t)
			}
		default:
			tell(diagnostics.List{{File: file, Problem: "is of no known kind", Expected: "a name that ends in .json, .yaml or .yml"}})
		}
	}
	for _, p := range places {
		for _, t := range own {
			tell(t.ValidateAgainst(p.Settings, p.MemoryBytes))
		}
	}
	if found > 0 {
		fmt.Fprintf(out, "%d faults in %d files\n", found, len(c.Files))
		return errSaid
	}
	fmt.Fprintf(out, "%d files, no fault\n", len(c.Files))
	return nil
}

type version struct{}

// Run tells the version as the build recorded it.
func (version) Run(out io.Writer) error {
	info, _ := debug.ReadBuildInfo()
	revision := "of no recorded revision"
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	_, err := fmt.Fprintf(out, "thistlequay %s, %s\n", revision, info.GoVersion)
	return err
}
