package command

import (
	"os"
	"time"

	"thistlequay/internal/daemon"
	"thistlequay/internal/logs"
)

// serveCommand implements the serve command, which runs one app server.
type serveCommand struct {
	Config     string        `env:"PROXY_CONFIG" placeholder:"FILE" help:"The platform's configuration, JSON."`
	Service    string        `env:"THISTLEQUAY_SERVICE" placeholder:"FILE" help:"Our own settings, YAML."`
	ClockShift time.Duration `hidden:"" help:"For tests: how wrong this machine's clock is."`
	Log        logs.Format   `enum:"text,json" default:"text" help:"Format of log lines: ${enum}."`
}

// Run serves requests until a graceful shutdown has completed.
func (s *serveCommand) Run() error {
	return daemon.Run(daemon.Config{
		PlatformFile: s.Config,
		ServiceFile:  s.Service,
		ClockShift:   s.ClockShift,
		Log:          os.Stderr,
		LogFormat:    s.Log,
	})
}
