package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"thistlequay/internal/config"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/logs"
	"thistlequay/internal/server"
)

// serveCommand is the verb serve: it runs one app server until a graceful shutdown has been carried out.
type serveCommand struct {
	Config     string        `env:"PROXY_CONFIG" placeholder:"FILE" help:"The platform's configuration, JSON."`
	Service    string        `env:"THISTLEQUAY_SERVICE" placeholder:"FILE" help:"Our own settings, YAML, a section for each optional subsystem; without it all are off."`
	ClockShift time.Duration `hidden:"" help:"For tests: how wrong this machine's clock is."`
	Log        logs.Format   `enum:"text,json" default:"text" help:"Format of log lines: ${enum}."`

	log     logs.Logger
	server  *server.Server // nil until the first configuration has been read
	plugins pluginSubsystem
	store   storeSubsystem
	gossip  gossipSubsystem
	quota   quotaSubsystem
}

// Run serves until a graceful shutdown has been carried out.
func (s *serveCommand) Run() error {
	s.log = logs.New(os.Stderr, s.Log)
	// Signals are subscribed to first: one that arrives while the files are read must not end the process; it is carried
	// out once there is a server. The channels are apart so that many signals of one kind never crowd out the other.
	shutdown := make(chan os.Signal, 1)
	reload := make(chan os.Signal, 1)
	signal.Notify(shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	first, err := s.readConfiguration()
	if err != nil {
		return logDiagnostics(s.log, "cannot_start", err)
	}
	s.server = server.New(first, s.log)
	go s.shutdownOn(shutdown)
	go s.reloadOn(reload)
	err = s.server.Run()
	s.quota.close()
	s.gossip.close()
	if errors.Is(err, server.ErrLoopEnded) {
		return logDiagnostics(s.log, "failed", err)
	}
	if err != nil {
		return logDiagnostics(s.log, "cannot_start", err)
	}
	return nil
}

// shutdownOn starts a graceful shutdown at each signal; all but the first change nothing. It ends with the process.
func (s *serveCommand) shutdownOn(signals <-chan os.Signal) {
	for range signals {
		s.server.Shutdown()
	}
}

// reloadOn reads the files again at each signal. Where one has a fault, the old configuration stays. It ends with the
// process.
func (s *serveCommand) reloadOn(signals <-chan os.Signal) {
	for range signals {
		next, err := s.readConfiguration()
		if err != nil {
			_ = logDiagnostics(s.log, "configuration_rejected", err) // its result only says that it was logged
			continue
		}
		s.server.Reconfigure(next)
	}
}

// logDiagnostics logs each diagnostic of an error as a line of its own. It returns errAlreadyReported.
func logDiagnostics(log logs.Logger, event string, err error) error {
	for _, found := range diagnostics.FromError(err) {
		log.Event(event).Str("reason", found.Error()).Send()
	}
	return errAlreadyReported
}

// readConfiguration reads both files and starts or updates the subsystems that they ask for: all of what the files say
// takes effect, or nothing.
func (s *serveCommand) readConfiguration() (server.Config, error) {
	c, err := readPlatformConfig(s.Config)
	if err != nil {
		return c, err
	}
	own, err := config.Read(s.Service)
	if err != nil {
		return c, err
	}
	if err := own.ValidateAgainst(c.Settings, c.MemoryBytes); err != nil {
		return c, err
	}
	c.FairQueue = own.FairQueues.SchedulerConfig(c.Settings)
	c.Tenancy = own.FairQueues.TenantTable()
	c.Plugins, err = s.plugins.configure(own.Plugins, c, s.server)
	if err != nil {
		return c, err
	}
	c.Recovery, err = s.configureStore(own.Store, c)
	if err != nil {
		return c, err
	}
	if err := s.configureFleet(own.Gossip, own.Quota, &c); err != nil {
		return c, err
	}
	applyProcessLimits(c)
	return c, nil
}

// configureFleet starts gossip and the quotas over it where their sections ask for them. The quota service is made
// first, as gossip delivers to it, and started last, as it sends over gossip.
func (s *serveCommand) configureFleet(gossipSection *config.Gossip, quotaSection *config.Quota, c *server.Config) error {
	isFirst := s.gossip.node == nil
	startsQuota := quotaSection != nil && isFirst
	if startsQuota {
		if err := s.createQuotaService(quotaSection, gossipSection, *c); err != nil {
			return err
		}
	}
	var handlers messageHandlers
	if startsQuota {
		handlers = s.quota.service.Handlers()
	}
	var err error
	c.Gossip, err = s.configureGossip(gossipSection, *c, handlers)
	if err != nil {
		return err
	}
	if startsQuota {
		if err := s.quota.start(quotaSection, s.gossip.node); err != nil {
			return fmt.Errorf("start the quota service: %w", err)
		}
	}
	if isFirst && gossipSection != nil && gossipSection.StatusAddress != "" {
		if err := s.serveStatus(gossipSection.StatusAddress); err != nil {
			return fmt.Errorf("start gossip: %w", err)
		}
	}
	if !startsQuota {
		s.quota.updateTotals(quotaSection)
	}
	s.quota.logIfUnchanged(quotaSection, s.log)
	c.Quota = s.quota.onServer
	return nil
}
