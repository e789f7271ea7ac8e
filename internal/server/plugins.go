package server

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/rs/zerolog"

	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/chain"
)

// Bounds on what plug-ins may take.
const (
	maxPluginCalls      = 256     // that are out at once
	maxRetiredProcesses = 4       // that wait for the last request that began with them
	maxPluginCounters   = 64      // of all plug-ins
	maxPluginStateBytes = 1 << 20 // of what all plug-ins store here for the next process
)

// Plugins is a process of plug-ins that is ready, and what they may do.
type Plugins struct {
	// Process is the process.
	Process *plugin.Process

	// Grants are the plug-ins' policies, in the order of the chain.
	Grants []chain.Policy

	// DropState names plug-ins whose stored state does not pass to this version of them.
	DropState map[string]bool

	// Start starts another such process with what plug-ins have stored, by plug-in and key. It may take its time: it is
	// called off the loop.
	Start func(state map[string]map[string][]byte) (*plugin.Process, error)
}

// pluginPart shows requests and results to plug-ins, which run in a process of their own. It must never wait for a
// plug-in, act on a verdict that the chain did not accept, or keep a request longer than the chain allows.
type pluginPart struct {
	partDefaults
	server  *Server
	config  *Plugins            // nil where there are none
	chain   *chain.Chain        // of config, also while no process is there; nil where there are none
	live    *pluginConnection   // the process that new requests begin with; nil while there is none
	retired []*pluginConnection // that others took the place of

	calls         map[uint64]*chainEvaluation // that are out, by number
	lastCall      uint64
	frameBuffer   []byte   // in which requests are encoded
	categoryNames []string // by category

	state      map[string]map[string][]byte // that plug-ins store, by plug-in and key
	stateBytes int

	exits        int // processes that ended by themselves
	restartTimer timer
	backoff      backoff
	counters     map[string]int64 // that plug-ins count, for the log
	lateVerdicts int
}

func (p *pluginPart) init(server *Server) {
	p.server = server
	p.calls = map[uint64]*chainEvaluation{}
	p.state = map[string]map[string][]byte{}
	p.counters = map[string]int64{}
	p.restartTimer.fire = p.restart
	p.frameBuffer = make([]byte, 0, plugin.MaxFrameSize)
	p.categoryNames = make([]string, len(server.config.Settings.Categories))
	for name, category := range server.config.Settings.CategoryIndex {
		p.categoryNames[category] = name
	}
}

func (p *pluginPart) isEnabled() bool { return p.server.config.Plugins != nil }

func (p *pluginPart) start() { p.adopt(p.server.config.Plugins) }

// reconfigure adopts new plug-ins. The pointer is the same where nothing about them changed.
func (p *pluginPart) reconfigure(next *Config) {
	if next.Plugins != p.server.config.Plugins {
		p.server.config.Plugins = next.Plugins
		p.adopt(next.Plugins)
	}
}

// adopt has a process take the place of the one before, once the loop speaks with it: until then the old one is asked.
// Evaluations under way end where they began.
func (p *pluginPart) adopt(config *Plugins) {
	p.config = config
	if config == nil {
		p.retire()
		p.chain = nil
		return
	}
	dropsState := func(name string) bool { return config.DropState[name] }
	adopted := chain.New(config.Grants, p.chain, dropsState, p.server.random, p.server.now)
	if p.live == nil { // nobody is asked meanwhile
		p.chain = adopted
	}
	p.connect(config, adopted)
}

// retire has no new request begin with the live process.
func (p *pluginPart) retire() {
	old := p.live
	p.live = nil
	if old == nil {
		return
	}
	old.isRetired = true
	p.retired = slices.DeleteFunc(p.retired, func(other *pluginConnection) bool { return other.ended })
	p.retired = append(p.retired, old)
	old.closeIfUnused()
	if len(p.retired) > maxRetiredProcesses { // what began with the oldest goes on without it
		p.retired[0].closeGracefully()
		p.retired[0].closed()
	}
}

// connect has the loop speak with a process.
func (p *pluginPart) connect(config *Plugins, pluginChain *chain.Chain) {
	connection := &pluginConnection{
		outputBuffer: outputBuffer{server: p.server, maxUnread: maxUnreadPerLink},
		part:         p,
		config:       config,
		chain:        pluginChain,
		process:      config.Process,
	}
	go func() { // ends once the loop has the connection
		if err := p.server.enroll(connection.process.Conn, connection); err != nil {
			p.server.submit(connection.closed)
		}
	}()
}

// restart starts another process off the loop.
func (p *pluginPart) restart() {
	config := p.config
	state := p.snapshot()
	if config == nil {
		return
	}
	go func() { // ends once the process is ready, or was refused
		process, err := config.Start(state)
		p.server.submit(func() { p.onRestarted(config, process, err) })
	}()
}

func (p *pluginPart) onRestarted(config *Plugins, process *plugin.Process, err error) {
	isOutdated := p.config != config || p.live != nil // another configuration came meanwhile
	switch {
	case isOutdated && err == nil:
		go process.Stop() // it waits for the process's end
	case isOutdated:
	case err != nil:
		p.server.log.Event("plugin_restart_failed").Str("reason", err.Error()).Send()
		p.scheduleRestart()
	default:
		config.Process = process
		p.connect(config, p.chain)
	}
}

func (p *pluginPart) scheduleRestart() {
	p.server.setTimer(&p.restartTimer, p.server.now+p.backoff.next())
}

// snapshot copies what plug-ins have stored. Values are replaced, never changed, and need no copy.
func (p *pluginPart) snapshot() map[string]map[string][]byte {
	all := map[string]map[string][]byte{}
	for name, values := range p.state {
		all[name] = maps.Clone(values)
	}
	return all
}

// storeState takes what a plug-in stores for the process after this one; an empty value deletes. What is beyond the
// bound is not stored.
func (p *pluginPart) storeState(name, key string, value []byte) {
	values := p.state[name]
	if values == nil {
		values = map[string][]byte{}
		p.state[name] = values
	}
	if before, existed := values[key]; existed {
		p.stateBytes -= len(key) + len(before)
		delete(values, key)
	}
	size := len(key) + len(value)
	if len(value) > 0 && p.stateBytes+size <= maxPluginStateBytes {
		p.stateBytes += size
		values[key] = slices.Clone(value)
	}
}

// dropState forgets what the plug-ins stored that the configuration names.
func (p *pluginPart) dropState(config *Plugins) {
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

// addCounters takes what a plug-in counted since it last said so, as a JSON object. What is none is passed over.
func (p *pluginPart) addCounters(name string, text []byte) {
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

func (p *pluginPart) addState(event *zerolog.Event) {
	if p.chain == nil {
		return
	}
	calls := 0
	faults := 0
	inactive := 0
	for _, one := range p.chain.Plugins {
		calls += one.Calls
		for _, count := range one.Faults {
			faults += count
		}
		if one.State != chain.StateActive {
			inactive++
		}
	}
	event.Int("plugin_calls", calls).Int("plugin_faults", faults).Int("plugins_quarantined", inactive).
		Int("plugin_verdicts_late", p.lateVerdicts)
	for _, key := range slices.Sorted(maps.Keys(p.counters)) {
		event.Int64(key, p.counters[key])
	}
}
