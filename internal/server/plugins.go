package server

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/chain"
)

// Limits on the resources that plug-ins use.
const (
	maxPendingPluginCalls = 256     // pending calls to all plug-ins
	maxRetiredProcesses   = 4       // retired processes that wait for their last requests to end
	maxPluginCounters     = 64      // distinct counters of all plug-ins
	maxPluginStateBytes   = 1 << 20 // state that all plug-ins store for the next process
)

// Plugins configures the plug-ins: the process that runs them and the policy of each.
type Plugins struct {
	// Process is the plug-in process, which is ready for calls.
	Process *plugin.Process

	// Policies holds the policies of the plug-ins in the order of the chain.
	Policies []chain.Policy

	// DropState is true for each plug-in whose stored state is dropped when this configuration takes effect.
	DropState map[string]bool

	// Start starts a new plug-in process with the stored state of the plug-ins, by plug-in and key. It may block
	// because it is not called on the event loop.
	Start func(state map[string]map[string][]byte) (*plugin.Process, error)
}

// pluginSubsystem has requests and results evaluated by plug-ins, which run in a separate process. It must never block
// on a plug-in, apply a verdict that the chain did not accept, or delay a request longer than the chain allows.
type pluginSubsystem struct {
	subsystemDefaults
	server  *Server
	config  *Plugins            // nil if there are no plug-ins
	chain   *chain.Chain        // kept while no process is running; nil if there are no plug-ins
	current *pluginConnection   // process to which new requests are attached; nil if there is none
	retired []*pluginConnection // replaced processes that still have requests

	pendingCalls  map[uint64]*chainEvaluation // pending calls by call ID
	lastCallID    uint64                      // ID of the last call
	requestBuffer []byte                      // buffer for encoding the request of a call
	categoryNames []string                    // names of the categories, by index

	state      map[string]map[string][]byte // state that plug-ins store, by plug-in and key
	stateBytes int                          // total size of the keys and values in state

	unexpectedExits int // number of processes that ended unexpectedly
	restartTimer    timer
	backoff         backoff
	counters        map[string]int64 // counters of the plug-ins, logged with the server's state
	lateVerdicts    int              // verdicts that matched no pending call
}

// init prepares the subsystem. New calls it before the event loop starts, as it calls the init method of every
// subsystem. It is called even if there are no plug-ins, because a new configuration may add them later.
func (p *pluginSubsystem) init(server *Server) {
	p.server = server
	p.pendingCalls = map[uint64]*chainEvaluation{}
	p.state = map[string]map[string][]byte{}
	p.counters = map[string]int64{}
	p.restartTimer.fire = p.restart
	p.requestBuffer = make([]byte, 0, plugin.MaxFrameSize)
	p.categoryNames = make([]string, len(server.config.Settings.Categories))
	for name, category := range server.config.Settings.CategoryIndex {
		p.categoryNames[category] = name
	}
}

func (p *pluginSubsystem) isEnabled() bool { return p.server.config.Plugins != nil }

func (p *pluginSubsystem) start() { p.applyConfig(p.server.config.Plugins) }

// reconfigure applies the plug-ins of a new configuration. The pointer is unchanged if the plug-ins are.
func (p *pluginSubsystem) reconfigure(next *Config) {
	if next.Plugins != p.server.config.Plugins {
		p.server.config.Plugins = next.Plugins
		p.applyConfig(next.Plugins)
	}
}

// applyConfig replaces the plug-ins by those of config. New requests use the old process until the connection to the
// new one is open. Evaluations in progress are completed on the process that they started on.
func (p *pluginSubsystem) applyConfig(config *Plugins) {
	p.config = config
	if config == nil {
		p.retireCurrent()
		p.chain = nil
		return
	}
	dropsState := func(name string) bool { return config.DropState[name] }
	newChain := chain.New(config.Policies, p.chain, dropsState, p.server.random, p.server.now)
	if p.current == nil { // no process can be called, so the new chain applies at once
		p.chain = newChain
	}
	p.connect(config, newChain)
}

// retireCurrent stops attaching new requests to the current process. If there are then too many retired processes, it
// ends the oldest one.
func (p *pluginSubsystem) retireCurrent() {
	old := p.current
	p.current = nil
	if old == nil {
		return
	}
	old.isRetired = true
	p.retired = slices.DeleteFunc(p.retired, func(other *pluginConnection) bool { return other.isClosed })
	p.retired = append(p.retired, old)
	old.closeIfUnused()
	if len(p.retired) > maxRetiredProcesses { // requests attached to the oldest continue without it
		p.retired[0].closeGracefully()
		p.retired[0].closed()
	}
}

// connect adds the connection to a process to the event loop.
func (p *pluginSubsystem) connect(config *Plugins, pluginChain *chain.Chain) {
	connection := &pluginConnection{
		outputBuffer: outputBuffer{server: p.server, maxUnread: maxUnreadPerLink},
		plugins:      p,
		config:       config,
		chain:        pluginChain,
		process:      config.Process,
	}
	go func() { // ends when the loop has the connection
		if err := p.server.enroll(connection.process.Conn, connection); err != nil {
			p.server.submit(connection.closed)
		}
	}()
}

// restart starts a new process on another goroutine.
func (p *pluginSubsystem) restart() {
	config := p.config
	state := p.snapshot()
	if config == nil {
		return
	}
	go func() { // ends when the process is ready or has failed to start
		process, err := config.Start(state)
		p.server.submit(func() { p.onRestarted(config, process, err) })
	}()
}

// onRestarted connects to a process that was started by restart, or schedules another attempt if it failed to start.
func (p *pluginSubsystem) onRestarted(config *Plugins, process *plugin.Process, err error) {
	isOutdated := p.config != config || p.current != nil // the configuration has changed in the meantime
	switch {
	case isOutdated && err == nil:
		go process.Stop() // Stop blocks until the process has ended
	case isOutdated:
	case err != nil:
		p.server.log.Event("plugin_restart_failed").Str("reason", err.Error()).Send()
		p.scheduleRestart()
	default:
		config.Process = process
		p.connect(config, p.chain)
	}
}

// scheduleRestart sets the timer for restart, with an exponential backoff.
func (p *pluginSubsystem) scheduleRestart() {
	p.server.setTimer(&p.restartTimer, p.server.now+p.backoff.next())
}

// snapshot returns a copy of the plug-ins' state. Values are shared with the copy: they are replaced but never
// modified.
func (p *pluginSubsystem) snapshot() map[string]map[string][]byte {
	copied := map[string]map[string][]byte{}
	for name, values := range p.state {
		copied[name] = maps.Clone(values)
	}
	return copied
}

// storeState stores a value of a plug-in for the next process. An empty value deletes the key. A value that would
// exceed maxPluginStateBytes is not stored, and the previous value is deleted.
func (p *pluginSubsystem) storeState(name, key string, value []byte) {
	values := p.state[name]
	if values == nil {
		values = map[string][]byte{}
		p.state[name] = values
	}
	if previous, existed := values[key]; existed {
		p.stateBytes -= len(key) + len(previous)
		delete(values, key)
	}
	size := len(key) + len(value)
	if len(value) > 0 && p.stateBytes+size <= maxPluginStateBytes {
		p.stateBytes += size
		values[key] = slices.Clone(value)
	}
}

// dropState deletes the state of the plug-ins in config.DropState.
func (p *pluginSubsystem) dropState(config *Plugins) {
	for name, isDropped := range config.DropState {
		if !isDropped {
			continue
		}
		for key, value := range p.state[name] {
			p.stateBytes -= len(key) + len(value)
		}
		delete(p.state, name)
	}
}

// addCounters adds the increments of a plug-in's counters, which text holds as a JSON object. It ignores invalid text.
// Once there are maxPluginCounters counters, it ignores increments of new ones.
func (p *pluginSubsystem) addCounters(name string, text []byte) {
	var increments map[string]int64
	if json.Unmarshal(text, &increments) != nil {
		return
	}
	for counter, increment := range increments {
		key := name + "." + counter
		if len(p.counters) < maxPluginCounters || p.counters[key] != 0 {
			p.counters[key] += increment
		}
	}
}

func (p *pluginSubsystem) addState(event *zerolog.Event) {
	if p.chain == nil {
		return
	}
	calls := 0
	faults := 0
	quarantined := 0
	for _, evaluated := range p.chain.Plugins {
		calls += evaluated.Calls
		for _, count := range evaluated.Faults {
			faults += count
		}
		if evaluated.State != chain.StateActive {
			quarantined++
		}
	}
	event.Int("plugin_calls", calls).Int("plugin_faults", faults).Int("plugins_quarantined", quarantined).
		Int("plugin_verdicts_late", p.lateVerdicts)
	for _, key := range slices.Sorted(maps.Keys(p.counters)) {
		event.Int64(key, p.counters[key])
	}
}
