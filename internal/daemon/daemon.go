// Package daemon runs one app server process: it reads the configuration, starts the subsystems that it asks for,
// serves until a graceful shutdown has been carried out, and closes the subsystems in reverse. It takes effect on the
// whole process (signals, limits of the Go runtime), so a process runs one daemon.
package daemon

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"thistlequay/internal/config"
	"thistlequay/internal/diagnostics"
	"thistlequay/internal/logs"
	"thistlequay/internal/server"
)

// ErrLogged is a failure whose reasons have been logged, each in a line of its own.
var ErrLogged = errors.New("already logged")

// Config says what a daemon reads and where it logs.
type Config struct {
	// PlatformFile is the path of the platform's configuration, JSON.
	PlatformFile string
	// ServiceFile is the path of our own settings, YAML; empty for none.
	ServiceFile string
	// ClockShift is added to the clock that incarnations of this server are numbered by. Tests set it to have a machine
	// whose clock is wrong; 0 in service.
	ClockShift time.Duration
	// Log gets the log lines, in LogFormat.
	Log       io.Writer
	LogFormat logs.Format
}

// daemon is the running process: the server and the owners of its subsystems.
type daemon struct {
	config  Config
	log     logs.Logger
	server  *server.Server // nil until the first configuration has been read
	plugins pluginSubsystem
	store   storeSubsystem
	gossip  gossipSubsystem
	quota   quotaSubsystem
}

// Run serves until a graceful shutdown has been carried out, which SIGTERM and SIGINT start; SIGHUP has it read the
// files again. It returns ErrLogged when the server could not start or failed.
func Run(config Config) error {
	d := &daemon{config: config, log: logs.New(config.Log, config.LogFormat)}
	return d.run()
}

func (d *daemon) run() error {
	// Signals are subscribed to first: one that arrives while the files are read must not end the process; it is
	// carried out once there is a server. Two channels, so that many signals of one kind never crowd out the other.
	shutdown := make(chan os.Signal, 1)
	reload := make(chan os.Signal, 1)
	signal.Notify(shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	first, err := d.readConfiguration()
	if err != nil {
		return logDiagnostics(d.log, "cannot_start", err)
	}
	d.server = server.New(first, d.log)
	go d.shutdownOn(shutdown)
	go d.reloadOn(reload)
	err = d.server.Run()
	d.quota.close()
	d.gossip.close(d.server.TimeToKill())
	if errors.Is(err, server.ErrLoopEnded) {
		return logDiagnostics(d.log, "failed", err)
	}
	if err != nil {
		return logDiagnostics(d.log, "cannot_start", err)
	}
	return nil
}

// shutdownOn starts a graceful shutdown at each signal; all but the first change nothing. It ends with the process.
func (d *daemon) shutdownOn(signals <-chan os.Signal) {
	for range signals {
		d.server.Shutdown()
	}
}

// reloadOn reads the files again at each signal. Where one has a fault, the old configuration stays. It ends with the
// process.
func (d *daemon) reloadOn(signals <-chan os.Signal) {
	for range signals {
		next, err := d.readConfiguration()
		if err != nil {
			_ = logDiagnostics(d.log, "configuration_rejected", err) // its result only says that it was logged
			continue
		}
		d.server.Reconfigure(next)
	}
}

// logDiagnostics logs each diagnostic of an error as a line of its own. It returns ErrLogged.
func logDiagnostics(log logs.Logger, event string, err error) error {
	for _, found := range diagnostics.FromError(err) {
		log.Event(event).Str("reason", found.Error()).Send()
	}
	return ErrLogged
}

// readConfiguration reads both files and starts or updates the subsystems that they ask for: all of what the files say
// takes effect, or nothing.
func (d *daemon) readConfiguration() (server.Config, error) {
	serverConfig, err := ReadPlatformConfig(d.config.PlatformFile)
	if err != nil {
		return serverConfig, err
	}
	own, err := config.Read(d.config.ServiceFile)
	if err != nil {
		return serverConfig, err
	}
	if err := own.ValidateAgainst(serverConfig.Settings, serverConfig.MemoryBytes); err != nil {
		return serverConfig, err
	}
	serverConfig.FairQueue = own.FairQueues.SchedulerConfig(serverConfig.Settings)
	serverConfig.Tenancy = own.FairQueues.TenantTable()
	serverConfig.Plugins, err = d.plugins.configure(own.Plugins, serverConfig, d.server)
	if err != nil {
		return serverConfig, err
	}
	serverConfig.Recovery, err = d.configureStore(own.Store, serverConfig)
	if err != nil {
		return serverConfig, err
	}
	if err := d.configureFleet(own.Gossip, own.Quota, &serverConfig); err != nil {
		return serverConfig, err
	}
	applyProcessLimits(serverConfig)
	return serverConfig, nil
}

// configureFleet starts gossip and the quotas over it where their sections ask for them. The quota service is made
// first, as gossip delivers to it, and started last, as it sends over gossip.
func (d *daemon) configureFleet(
	gossipSection *config.Gossip, quotaSection *config.Quota, serverConfig *server.Config,
) error {
	isFirst := d.gossip.node == nil
	startsQuota := quotaSection != nil && isFirst
	if startsQuota {
		if err := d.createQuotaService(quotaSection, gossipSection, *serverConfig); err != nil {
			return err
		}
	}
	var handlers messageHandlers
	if startsQuota {
		handlers = d.quota.service.Handlers()
	}
	var err error
	serverConfig.Gossip, err = d.configureGossip(gossipSection, *serverConfig, handlers)
	if err != nil {
		return err
	}
	if startsQuota {
		if err := d.quota.start(quotaSection, d.gossip.node); err != nil {
			return fmt.Errorf("start the quota service: %w", err)
		}
	}
	if isFirst && gossipSection != nil && gossipSection.StatusAddress != "" {
		if err := d.serveStatus(gossipSection.StatusAddress); err != nil {
			return fmt.Errorf("start gossip: %w", err)
		}
	}
	if !startsQuota {
		d.quota.updateTotals(quotaSection)
	}
	d.quota.logIfUnchanged(quotaSection, d.log)
	serverConfig.Quota = d.quota.onServer
	return nil
}
