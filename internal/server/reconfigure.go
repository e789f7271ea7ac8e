package server

import (
	"reflect"
	"strings"
)

// reconfigure applies a new configuration. Changes that require a restart are logged and not applied.
func (s *Server) reconfigure(next Config) {
	s.log.Event("configuration_read").Str("name", s.config.Name).Str("interpreter", next.Interpreter).
		Str("index", next.Index).Str("directory", next.Directory).
		Str("requires_restart", strings.Join(s.changesRequiringRestart(&next), " ")).Send()
	previous := s.config
	s.config.Interpreter = next.Interpreter
	s.config.Index = next.Index
	s.config.Directory = next.Directory
	s.config.Tenancy = next.Tenancy
	for _, optional := range s.optionalSubsystems() {
		optional.reconfigure(&next)
	}
	s.collectEnabledSubsystems()
	if previous.Interpreter != next.Interpreter {
		s.interpreter.reconnect()
	}
	if previous.Index != next.Index {
		s.index.reconnect()
	}
	if previous.Directory != next.Directory {
		s.directory.reconnect()
	}
}

// changesRequiringRestart returns the sorted names, as in the configuration file, of the changed settings that require
// a restart.
func (s *Server) changesRequiringRestart(next *Config) []string {
	var names []string
	for _, setting := range []struct {
		name      string
		isChanged bool
	}{
		{"listen", next.Listen != s.config.Listen},
		{"name", next.Name != s.config.Name},
		{"peers", next.Gossip != s.config.Gossip},
		{"settings", !reflect.DeepEqual(next.Settings.Config, s.config.Settings.Config)},
		{"sockets", next.MaxSockets != s.config.MaxSockets},
		{"stop_ms", next.ShutdownTimeout != s.config.ShutdownTimeout},
		{"store", next.Recovery != s.config.Recovery},
	} {
		if setting.isChanged {
			names = append(names, setting.name)
		}
	}
	return names
}
