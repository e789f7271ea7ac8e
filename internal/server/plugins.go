// This file owns the link to the process of plug-ins: which work items are on their walk past them, what is asked and
// what comes back, and which process is asked. It must never wait for a plug-in, believe a verdict that the walk did not
// take, or let a work item stay aside longer than the walk allows.
package server

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"thistlequay/admission"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/timeunit"
)

const (
	maxPluginCalls      = 256                // calls out at once
	verdictTransitTime  = timeunit.Ticks(20) // that a verdict may take from the process to the loop
	maxRetiredProcesses = 4                  // processes that wait for the last work item that began with them
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

// pluginConnection is one process as a connection.
type pluginConnection struct {
	outputBuffer
	part         *pluginPart
	config       *Plugins
	process      *plugin.Process
	chain        *chain.Chain
	partial      []byte
	pendingCalls int  // calls that are out
	requests     int  // work items that began with it and are not over
	retired      bool // another took its place
	tickTimers   []*timer
	ended        bool
}

// chainEvaluation is one walk under way, at a work item or at none.
type chainEvaluation struct {
	request    *request
	connection *pluginConnection
	evaluation *chain.Evaluation
	point      chain.Hook
	plugin     *chain.Plugin
	call       uint64
	timer      timer
	timeLimit  timeunit.Ticks
	done       func(w *chain.Evaluation)
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

func (h *pluginConnection) opened(c gnet.Conn) {
	p := h.part
	if h.conn = c; p.config != h.config { // others came meanwhile
		h.retired = true
		h.closeIfUnused()
		return
	}
	p.retire()
	for name := range h.config.DropState {
		if h.config.DropState[name] {
			for key, value := range p.state[name] {
				p.stateBytes -= len(key) + len(value)
			}
			delete(p.state, name)
		}
	}
	p.live, p.chain = h, h.chain
	names := make([]string, len(h.chain.Plugins))
	for i, one := range h.chain.Plugins {
		names[i] = one.Name
	}
	p.server.log.Event("plugins_ready").Str("plugins", strings.Join(names, " ")).Int64("took_ms", h.process.StartupTime.Milliseconds()).
		Int("process", h.process.Command.Process.Pid).Send()
	for _, one := range h.chain.Plugins {
		if !one.Hooks[chain.HookTick] {
			continue
		}
		tick := &timer{}
		tick.fire = func() {
			if h.retired || h.ended {
				return
			}
			h.part.server.setTimer(tick, h.part.server.now+one.TickInterval)
			if w := h.chain.BeginTick(one, h.part.server.now); w != nil {
				k := &chainEvaluation{connection: h, evaluation: w, point: chain.HookTick, done: func(*chain.Evaluation) {}}
				if !k.send(one, min(one.CallTimeout, one.TickInterval)) {
					w.RecordFault(chain.FaultUnavailable, 0, h.part.server.now)
				}
			}
		}
		h.part.server.setTimer(tick, h.part.server.now+one.TickInterval)
		h.tickTimers = append(h.tickTimers, tick)
	}
}

// closed: the process ended, or was retired. What it was asked about goes on without it.
func (h *pluginConnection) closed() {
	if h.ended {
		return
	}
	h.ended, h.conn = true, nil
	p := h.part
	for _, tick := range h.tickTimers {
		p.server.stopTimer(tick)
	}
	go h.process.Stop()
	for call, k := range p.calls {
		if k.connection == h {
			delete(p.calls, call)
			h.pendingCalls--
			p.server.stopTimer(&k.timer)
			k.failed(chain.FaultProcessDied, 0)
		}
	}
	if p.live == h || p.config == h.config && !h.retired {
		if p.live == h {
			p.live = nil
		}
		if countAndSample(&p.exits) {
			p.server.log.Event("plugin_process_exited").Int("count", p.exits).Send()
		}
		p.server.setTimer(&p.restartTimer, p.server.now+p.backoff.next())
	}
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

// closeIfUnused closes a retired process once nothing is asked there.
func (h *pluginConnection) closeIfUnused() {
	if h.retired && h.pendingCalls == 0 && h.requests == 0 {
		h.closeGracefully()
		h.closed()
	}
}

// attach has a work item that was read end with the plug-ins that it began with.
func (p *pluginPart) attach(it *request) {
	if p.chain == nil {
		return
	}
	it.pluginTenant = string(it.tenant)
	if it.pluginConnection = p.live; it.pluginConnection != nil {
		it.pluginConnection.requests++
	}
}

// detach: it is over, or will never be taken.
func (p *pluginPart) detach(it *request) {
	if h := it.pluginConnection; h != nil {
		it.pluginConnection = nil
		h.requests--
		h.closeIfUnused()
	}
}

// describe makes what a walk needs to know.
func (p *pluginPart) describe(it *request) chain.Request {
	return chain.Request{Category: it.category, Tenant: it.pluginTenant, TimeLeft: max(0, min(it.deadline, p.server.shutdownDeadline)-p.server.now),
		CategoryFixed: p.server.config.Settings.Categories[it.category].Idempotency != admission.Idempotent}
}

// evaluateRequest begins the walk of a work item that has been read; false where no plug-in sees it.
func (p *pluginPart) evaluateRequest(it *request, begin func(), done func(w *chain.Evaluation)) bool {
	about := p.describe(it)
	if !p.chain.Applies(chain.HookRead, &about) {
		return false
	}
	begin()
	k := &chainEvaluation{request: it, connection: it.pluginConnection, point: chain.HookRead, done: done}
	if k.connection == nil { // no process is there: the walk passes over all as their settings say
		k.connection = &pluginConnection{part: p, chain: p.chain, ended: true}
	}
	k.evaluation = k.connection.chain.Begin(chain.HookRead, about, nil, p.server.now)
	k.step()
	return true
}

// evaluateResult begins the walk of a result that is to be answered; false where no plug-in sees it.
func (p *pluginPart) evaluateResult(it *request, result []byte, done func(w *chain.Evaluation)) bool {
	h := it.pluginConnection
	if h == nil || it.router == nil && it.entry == nil {
		return false
	}
	about := p.describe(it)
	if !h.chain.Applies(chain.HookResult, &about) {
		return false
	}
	k := &chainEvaluation{request: it, connection: h, point: chain.HookResult, done: done, evaluation: h.chain.Begin(chain.HookResult, about, result, p.server.now)}
	k.step()
	return true
}

// step asks the next plug-in, or ends the walk.
func (k *chainEvaluation) step() {
	a := k.connection.part.server
	for {
		one, within := k.evaluation.Next(a.now)
		if one == nil {
			k.done(k.evaluation)
			k.connection.closeIfUnused()
			return
		}
		if k.send(one, within) {
			return
		}
		k.evaluation.RecordFault(chain.FaultUnavailable, 0, a.now)
	}
}

// send asks one plug-in; false where that can't be.
func (k *chainEvaluation) send(one *chain.Plugin, within timeunit.Ticks) bool {
	h := k.connection
	p := h.part
	if h.ended || h.conn == nil || len(p.calls) >= maxPluginCalls {
		return false
	}
	q := abi.Request{Hook: int(k.point), UnixMS: int64(p.server.now / 10)}
	if it := k.request; it != nil {
		about := k.evaluation.Request()
		q.TimeLeftMS, q.Category, q.Tenant, q.Tag = uint32(about.TimeLeft/10), p.categoryNames[it.category], about.Tenant, it.tag
		if q.Body = it.body; k.point == chain.HookResult {
			q.Body = k.evaluation.Body
		}
		if k.evaluation.Tag != "" {
			q.Tag = k.evaluation.Tag
		}
	}
	p.lastCall++
	k.plugin, k.call, k.timeLimit = one, p.lastCall, within
	p.calls[k.call] = k
	h.pendingCalls++
	k.timer.fire = func() {
		k.unlink()
		k.failed(chain.FaultTimeout, k.timeLimit)
	}
	p.server.setTimer(&k.timer, p.server.now+within+verdictTransitTime)
	h.outputBuffer.output = plugin.AppendCall(h.buffer(), one.Index, int(k.point), k.call, int64(within), q.Append(p.frameBuffer[:0]))
	return true
}

// unlink: the call is out no more.
func (k *chainEvaluation) unlink() {
	p := k.connection.part
	delete(p.calls, k.call)
	k.connection.pendingCalls--
	p.server.stopTimer(&k.timer)
}

func (k *chainEvaluation) failed(f chain.Fault, took timeunit.Ticks) {
	k.logQuarantine(k.evaluation.RecordFault(f, took, k.connection.part.server.now), f)
	k.step()
}

func (k *chainEvaluation) logQuarantine(quarantined bool, f chain.Fault) {
	if a := k.connection.part.server; quarantined {
		a.log.Event("plugin_quarantined").Str("name", k.plugin.Name).Str("fault", chain.FaultNames[f]).
			Int64("wait_ms", int64((k.plugin.QuarantineEnd()-a.now)/10)).Send()
	}
}

// how a call ended, as the process tells it, and what that is.
var callFaults = map[byte]chain.Fault{plugin.CallTimedOut: chain.FaultTimeout, plugin.CallTrapped: chain.FaultTrap, plugin.CallMalformed: chain.FaultMalformed,
	plugin.CallNotStarted: chain.FaultUnavailable}

func (h *pluginConnection) receive(data []byte) error {
	if len(h.partial) > 0 {
		data = append(h.partial, data...)
	}
	for {
		f, rest, whole, err := plugin.ParseFrame(data)
		if err != nil {
			return err
		}
		if !whole {
			h.partial = append(h.partial[:0:0], data...)
			return nil
		}
		data = rest
		if f.PluginIndex >= len(h.chain.Plugins) {
			return errConnectionDone
		}
		name := h.chain.Plugins[f.PluginIndex].Name
		switch f.Kind {
		case plugin.FrameVerdict:
			h.onVerdict(f)
		case plugin.FrameState:
			if key, value, ok := f.StateEntry(); ok && !h.retired {
				h.part.keepState(name, key, value)
			}
		case plugin.FrameLog:
			h.part.server.log.Event("plugin_log").Str("name", name).Str("text", string(f.Payload)).Send()
		case plugin.FrameCounters:
			h.part.addCounters(name, f.Payload)
		}
	}
}

func (h *pluginConnection) onVerdict(f plugin.Frame) {
	p := h.part
	how, spent, bytes, ok := f.Verdict()
	k := p.calls[f.CallID]
	if !ok || k == nil || k.connection != h {
		p.lateVerdicts++ // it comes late: its work item went on
		return
	}
	k.unlink()
	took := timeunit.Ticks(spent.Microseconds()/100) + 1
	if how != plugin.CallSucceeded {
		k.failed(callFaults[how], took)
		return
	}
	said, err := abi.ParseVerdict(bytes)
	if err != nil {
		k.failed(chain.FaultMalformed, took)
		return
	}
	v := chain.Verdict{Reject: said.Actions&abi.ActionReject != 0, Status: said.Status, Category: -1, HasTag: said.Actions&abi.ActionTag != 0,
		Tag: said.Tag, Replace: said.Actions&abi.ActionReplace != 0, Body: append([]byte(nil), said.Body...)}
	if said.Actions&abi.ActionCategorize != 0 {
		to, known := p.server.config.Settings.CategoryIndex[said.Category]
		if v.Category = to; !known {
			v.Category = len(p.categoryNames)
		}
	}
	if fault, wrong, quarantined := k.evaluation.ApplyVerdict(v, took, p.server.now); wrong {
		k.logQuarantine(quarantined, fault)
	}
	k.step()
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
