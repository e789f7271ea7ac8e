package server

import (
	"reflect"
	"slices"
	"strings"
)

// reconfigure takes up the addresses of a new configuration. What a running server can't change is said, and stays.
func (a *Server) reconfigure(p Config) {
	var kept []string
	for name, differs := range map[string]bool{"name": p.Name != a.config.Name, "listen": p.Listen != a.config.Listen,
		"stop_ms": p.ShutdownTimeout != a.config.ShutdownTimeout, "sockets": p.MaxSockets != a.config.MaxSockets,
		"store":    p.Recovery != a.config.Recovery,
		"peers":    p.Gossip != a.config.Gossip,
		"settings": !reflect.DeepEqual(p.Settings.Config, a.config.Settings.Config)} {
		if differs {
			kept = append(kept, name)
		}
	}
	slices.Sort(kept)
	a.log.Event("configuration_read").Str("name", a.config.Name).Str("interpreter", p.Interpreter).Str("index", p.Index).
		Str("directory", p.Directory).Str("requires_restart", strings.Join(kept, " ")).Send()
	before := a.config
	a.config.Interpreter, a.config.Index, a.config.Directory = p.Interpreter, p.Index, p.Directory
	if !reflect.DeepEqual(p.FairQueue, before.FairQueue) {
		a.config.FairQueue = p.FairQueue
		a.configureFairQueue()
	}
	a.config.Tenancy = p.Tenancy
	if p.Plugins != before.Plugins { // the same where nothing about them changed
		a.config.Plugins = p.Plugins
		a.plugins.adopt(p.Plugins)
	}
	if before.Interpreter != p.Interpreter {
		a.interpreter.reconnect()
	}
	if before.Index != p.Index {
		a.index.reconnect()
	}
	if before.Directory != p.Directory {
		a.directory.reconnect()
	}
}
