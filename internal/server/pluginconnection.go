package server

import (
	"strings"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/timeunit"

	"github.com/panjf2000/gnet/v2"
)

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

// closeIfUnused closes a retired process once nothing is asked there.
func (h *pluginConnection) closeIfUnused() {
	if h.retired && h.pendingCalls == 0 && h.requests == 0 {
		h.closeGracefully()
		h.closed()
	}
}

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

// how a call ended, as the process tells it, and what that is.
var callFaults = map[byte]chain.Fault{plugin.CallTimedOut: chain.FaultTimeout, plugin.CallTrapped: chain.FaultTrap, plugin.CallMalformed: chain.FaultMalformed,
	plugin.CallNotStarted: chain.FaultUnavailable}
