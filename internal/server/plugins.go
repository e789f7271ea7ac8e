package server

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/chain"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"
)

const (
	maxPluginCalls      = 256 // calls out at once
	maxRetiredProcesses = 4   // processes that wait for the last work item that began with them
	maxPluginCounters   = 64
	maxPluginStateBytes = 1 << 20 // bytes of all plug-ins' memories that are kept here for the next process
)

// Plugins is a process that is ready and what its plug-ins may do, in its order.
type Plugins struct {
	Process   *plugin.Process
	Grants    []chain.Policy
	DropState map[string]bool                                                  // plug-ins whose memory does not pass to this version
	Start     func(kept map[string]map[string][]byte) (*plugin.Process, error) // another such process; may take its time
}

type pluginPart struct {
	server        *Server
	categoryNames []string // of categories
	frameBuffer   []byte   // that requests are written in
	retired       []*pluginConnection
	live          *pluginConnection // that new walks are asked at
	config        *Plugins
	chain         *chain.Chain // of the terms, also while no process is there
	calls         map[uint64]*chainEvaluation
	lastCall      uint64
	state         map[string]map[string][]byte
	stateBytes    int
	counters      map[string]int64
	lateVerdicts  int // late verdicts
	exits         int
	restartTimer  timer
	backoff       backoff
}

func (p *pluginPart) start(a *Server) {
	p.server, p.calls, p.state, p.counters = a, map[uint64]*chainEvaluation{}, map[string]map[string][]byte{}, map[string]int64{}
	p.restartTimer.fire, p.frameBuffer = p.restart, make([]byte, 0, plugin.MaxFrameSize)
	p.categoryNames = make([]string, len(a.config.Settings.Categories))
	for name, i := range a.config.Settings.CategoryIndex {
		p.categoryNames[i] = name
	}
}

// adopt has a process take the place of the one before, once the loop speaks with it: until then the old one is asked.
// Walks under way end where they began.
func (p *pluginPart) adopt(t *Plugins) {
	if p.config = t; t == nil {
		p.retire()
		p.chain = nil
		return
	}
	fresh := func(name string) bool { return t.DropState[name] }
	pluginChain := chain.New(t.Grants, p.chain, fresh, p.server.random, p.server.now)
	if p.live == nil { // nobody is asked meanwhile
		p.chain = pluginChain
	}
	p.enrol(t, pluginChain)
}

// retire has no new work item begin with the live process.
func (p *pluginPart) retire() {
	old := p.live
	if p.live = nil; old == nil {
		return
	}
	old.retired = true
	p.retired = append(slices.DeleteFunc(p.retired, func(h *pluginConnection) bool { return h.ended }), old)
	if old.closeIfUnused(); len(p.retired) > maxRetiredProcesses { // what began with the oldest goes on without it
		p.retired[0].closeGracefully()
		p.retired[0].closed()
	}
}

// enrol has the loop speak with a process.
func (p *pluginPart) enrol(t *Plugins, pluginChain *chain.Chain) {
	h := &pluginConnection{part: p, config: t, chain: pluginChain, process: t.Process}
	h.outputBuffer = outputBuffer{server: p.server, maxUnread: maxUnreadPerLink}
	go func() {
		enrolled, err := p.server.loop.Enroll(gnet.NewContext(context.Background(), h), h.process.Conn)
		if err == nil {
			err = (<-enrolled).Err
		}
		if err != nil {
			p.server.submit(func() { h.closed() })
		}
	}()
}

// restart has another process begun beside the loop.
func (p *pluginPart) restart() {
	t, kept := p.config, p.snapshot()
	if t == nil {
		return
	}
	go func() {
		process, err := t.Start(kept)
		p.server.submit(func() {
			switch {
			case p.config != t || p.live != nil: // other terms came meanwhile
				if err == nil {
					go process.Stop()
				}
			case err != nil:
				p.server.log.Event("plugin_restart_failed").Str("reason", err.Error()).Send()
				p.server.setTimer(&p.restartTimer, p.server.now+p.backoff.next())
			default:
				t.Process = process
				p.enrol(t, p.chain)
			}
		})
	}()
}

// snapshot copies what plug-ins keep.
func (p *pluginPart) snapshot() map[string]map[string][]byte {
	all := map[string]map[string][]byte{}
	for name, values := range p.state {
		all[name] = map[string][]byte{}
		for key, value := range values {
			all[name][key] = value // replaced, never changed
		}
	}
	return all
}

// keepState holds what a plug-in wants kept, for the process after this one.
func (p *pluginPart) keepState(name, key string, value []byte) {
	of := p.state[name]
	if of == nil {
		of = map[string][]byte{}
		p.state[name] = of
	}
	if before, had := of[key]; had {
		p.stateBytes -= len(key) + len(before)
		delete(of, key)
	}
	if len(value) > 0 && p.stateBytes+len(key)+len(value) <= maxPluginStateBytes {
		p.stateBytes += len(key) + len(value)
		of[key] = append([]byte(nil), value...)
	}
}

func (p *pluginPart) addCounters(name string, text []byte) {
	var moved map[string]int64
	if json.Unmarshal(text, &moved) != nil {
		return
	}
	for counter, by := range moved {
		if key := name + "." + counter; len(p.counters) < maxPluginCounters || p.counters[key] != 0 {
			p.counters[key] += by
		}
	}
}

// logState adds how plug-ins do to the line on the state.
func (p *pluginPart) logState(e *zerolog.Event) {
	if p.chain == nil {
		return
	}
	calls, bad, off := 0, 0, 0
	for _, one := range p.chain.Plugins {
		calls += one.Calls
		for _, n := range one.Faults {
			bad += n
		}
		if one.State != chain.StateActive {
			off++
		}
	}
	e.Int("plugin_calls", calls).Int("plugin_faults", bad).Int("plugins_quarantined", off).Int("plugin_verdicts_late", p.lateVerdicts)
	for _, key := range slices.Sorted(maps.Keys(p.counters)) {
		e.Int64(key, p.counters[key])
	}
}
