package daemon

import (
	"os"
	"reflect"

	"thistlequay/internal/config"
	"thistlequay/internal/plugin"
	"thistlequay/internal/server"
)

// pluginSubsystem owns the plug-ins of the running server and the section of settings that they were started by.
type pluginSubsystem struct {
	section *config.Plugins
	running *server.Plugins
}

// configure starts a plug-in process where the settings or the bytes of a module differ from those running: the
// process compiles the modules and tries them on their samples, and only then they are asked about requests. State
// that plug-ins keep is taken over from the running server, which may be nil.
func (p *pluginSubsystem) configure(
	section *config.Plugins, serverConfig server.Config, running *server.Server,
) (*server.Plugins, error) {
	if section == nil {
		p.section = nil
		p.running = nil
		return nil, nil // without a section there are no plug-ins, which is no error
	}
	if p.running != nil && reflect.DeepEqual(p.section, section) {
		return p.running, nil
	}
	next := &server.Plugins{
		Policies:  section.Grants(serverConfig.Settings),
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
