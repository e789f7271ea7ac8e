// Package daemon runs an app server process: it reads the configuration, starts the subsystems that the configuration
// enables, serves until a graceful shutdown is complete, and closes the subsystems in reverse order. It handles signals
// and sets limits of the Go runtime, both of which affect the whole process, so a process runs only one daemon.
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
	"thistlequay/internal/signalrecord"
)

// ErrLogged is the error for a failure whose causes have already been logged, one per log line.
var ErrLogged = errors.New("already logged")

// Config defines which files a daemon reads and where it logs.
type Config struct {
	// PlatformFile is the path of the platform's configuration, a JSON file.
	PlatformFile string
	// ServiceFile is the path of the server's own settings, a YAML file. If it is empty, all optional subsystems are
	// disabled.
	ServiceFile string
	// ClockShift is added to the time from which the incarnation number of this server is derived. Tests set it to
	// emulate a machine whose clock is wrong; in production it is 0.
	ClockShift time.Duration
	// Log receives the log lines, in the format LogFormat.
	Log       io.Writer
	LogFormat logs.Format
}

// daemon holds the server of this process and its subsystems.
type daemon struct {
	config  Config
	log     logs.Logger
	server  *server.Server // nil until the initial configuration has been read
	plugins pluginSubsystem
	store   storeSubsystem
	gossip  gossipSubsystem
	quota   quotaSubsystem
}

// Run runs the server until a graceful shutdown is complete. SIGTERM and SIGINT start the shutdown; SIGHUP reloads the
// configuration files. Run returns ErrLogged if the server could not start or failed.
func Run(config Config) error {
	d := &daemon{config: config, log: logs.New(config.Log, config.LogFormat)}
	return d.run()
}

// run implements Run.
func (d *daemon) run() error {
	// The signal channels are registered first, so that a signal that arrives while the files are read does not kill
	// the process. It is handled once the server exists. Each kind of signal has its own channel, so that many signals
	// of one kind cannot displace one of the other kind.
	shutdown := make(chan os.Signal, 1)
	reload := make(chan os.Signal, 1)
	delivery := signalrecord.Notify(shutdown, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	initial, err := d.readConfiguration()
	if err != nil {
		return logDiagnostics(d.log, "cannot_start", err)
	}
	d.server = server.New(initial, d.log)
	d.server.WatchShutdownSignal(delivery)
	go d.shutdownOn(shutdown)
	go d.reloadOn(reload)
	err = d.server.Run()
	d.closeSubsystems()
	if errors.Is(err, server.ErrLoopEnded) {
		return logDiagnostics(d.log, "failed", err)
	}
	if err != nil {
		return logDiagnostics(d.log, "cannot_start", err)
	}
	return nil
}

// closeSubsystems closes the subsystems that do not belong to the event loop, after its end, and logs how long each
// took, and whether the store still waits for the disk.
func (d *daemon) closeSubsystems() {
	startedAt := time.Now()
	d.quota.close()
	quotaClosedAt := time.Now()
	d.gossip.close(d.server.TimeToKill())
	d.log.Event("closed").Int64("quota_ms", quotaClosedAt.Sub(startedAt).Milliseconds()).
		Int64("gossip_ms", time.Since(quotaClosedAt).Milliseconds()).
		Bool("store_busy", d.store.isBusy()).Send()
}

// shutdownOn starts a graceful shutdown when a signal arrives. Further signals have no effect. It runs until the
// process ends.
func (d *daemon) shutdownOn(signals <-chan os.Signal) {
	for range signals {
		d.server.Shutdown()
	}
}

// reloadOn reloads the configuration files whenever a signal arrives. If a file is not valid, the current configuration
// stays in effect. It runs until the process ends.
func (d *daemon) reloadOn(signals <-chan os.Signal) {
	for range signals {
		next, err := d.readConfiguration()
		if err != nil {
			_ = logDiagnostics(d.log, "configuration_rejected", err) // the result is always ErrLogged
			continue
		}
		d.server.Reconfigure(next)
	}
}

// logDiagnostics logs each diagnostic of an error as a separate event. It returns ErrLogged.
func logDiagnostics(log logs.Logger, event string, err error) error {
	for _, diagnostic := range diagnostics.FromError(err) {
		log.Event(event).Str("reason", diagnostic.Error()).Send()
	}
	return ErrLogged
}

// readConfiguration reads and validates both files, starts or updates the subsystems that they enable, and returns the
// server's configuration. If a file is not valid, nothing takes effect.
func (d *daemon) readConfiguration() (server.Config, error) {
	serverConfig, err := ReadPlatformConfig(d.config.PlatformFile)
	if err != nil {
		return serverConfig, err
	}
	serviceConfig, err := config.Read(d.config.ServiceFile)
	if err != nil {
		return serverConfig, err
	}
	if err := serviceConfig.ValidateAgainst(serverConfig.Settings, serverConfig.MemoryBytes); err != nil {
		return serverConfig, err
	}
	serverConfig.FairQueue = serviceConfig.FairQueues.SchedulerConfig(serverConfig.Settings)
	serverConfig.Tenancy = serviceConfig.FairQueues.TenantTable()
	serverConfig.Plugins, err = d.plugins.configure(serviceConfig.Plugins, serverConfig, d.server)
	if err != nil {
		return serverConfig, err
	}
	serverConfig.Recovery, err = d.configureStore(serviceConfig.Store, serverConfig)
	if err != nil {
		return serverConfig, err
	}
	if err := d.configureFleet(serviceConfig.Gossip, serviceConfig.Quota, &serverConfig); err != nil {
		return serverConfig, err
	}
	applyProcessLimits(serverConfig)
	return serverConfig, nil
}

// configureFleet starts gossip and the quota service if their sections are present, or updates the running ones. The
// quota service is created before gossip, which delivers messages to it, and started after gossip, over which it sends
// messages.
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
	d.quota.logIgnoredChange(quotaSection, d.log)
	serverConfig.Quota = d.quota.serverQuota
	return nil
}
