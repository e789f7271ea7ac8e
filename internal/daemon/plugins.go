package daemon

import (
	"os"
	"reflect"

	"thistlequay/internal/config"
	"thistlequay/internal/plugin"
	"thistlequay/internal/server"
)

// pluginSubsystem owns the plug-ins of the running server and the section with which they were started.
type pluginSubsystem struct {
	section *config.Plugins
	running *server.Plugins
}

// configure starts a new plug-in process if the section, including the hashes of the modules, differs from that of the
// running process. The new process compiles the modules and checks them with their samples before they are called for
// requests. The state that plug-ins stored is taken over from the running server, which is nil at startup.
func (p *pluginSubsystem) configure(
	section *config.Plugins, serverConfig server.Config, running *server.Server,
) (*server.Plugins, error) {
	if section == nil {
		p.section = nil
		p.running = nil
		return nil, nil // plug-ins are optional, so a missing section is not an error
	}
	if p.running != nil && reflect.DeepEqual(p.section, section) {
		return p.running, nil
	}
	next := &server.Plugins{
		Policies:  section.Policies(serverConfig.Settings),
		DropState: section.DiscardsState(),
		Start: func(state map[string]map[string][]byte) (*plugin.Process, error) {
			return plugin.Start(section.ProcessSpec(state), section.ReadyTimeout, os.Stderr)
		},
	}
	var state map[string]map[string][]byte
	if running != nil {
		state = running.PluginState()
	}
	var err error
	next.Process, err = next.Start(state)
	if err != nil {
		return nil, err
	}
	p.running = next
	p.section = section
	return next, nil
}
