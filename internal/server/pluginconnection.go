package server

import (
	"slices"
	"strings"

	"github.com/panjf2000/gnet/v2"

	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/timeunit"
)

// pluginConnection is the connection to one plug-in process.
type pluginConnection struct {
	outputBuffer
	plugins      *pluginSubsystem
	config       *Plugins
	chain        *chain.Chain
	process      *plugin.Process
	partialFrame []byte // received part of an incomplete frame

	pendingCalls int  // calls without a verdict yet
	requests     int  // requests that were attached to this process and have not ended
	isRetired    bool // new requests are not attached to it any more
	isClosed     bool
	tickTimers   []*timer
}

// opened directs new requests to this process. If the configuration has changed in the meantime, it retires the process
// instead.
func (c *pluginConnection) opened(conn gnet.Conn) {
	c.conn = conn
	if c.plugins.config != c.config {
		c.isRetired = true
		c.closeIfUnused()
		return
	}
	c.plugins.retireCurrent()
	c.plugins.dropState(c.config)
	c.plugins.current = c
	c.plugins.chain = c.chain
	names := make([]string, len(c.chain.Plugins))
	for i, configured := range c.chain.Plugins {
		names[i] = configured.Name
	}
	c.server.log.Event("plugins_ready").Str("plugins", strings.Join(names, " ")).
		Int64("took_ms", c.process.StartupTime.Milliseconds()).Int("process", c.process.Command.Process.Pid).Send()
	for _, configured := range c.chain.Plugins {
		if configured.Hooks[chain.HookTick] {
			c.startTicks(configured)
		}
	}
}

// startTicks sets a timer that calls a plug-in's tick hook at its interval.
func (c *pluginConnection) startTicks(ticked *chain.Plugin) {
	tickTimer := &timer{}
	tickTimer.fire = func() {
		if c.isRetired || c.isClosed {
			return
		}
		c.server.setTimer(tickTimer, c.server.now+ticked.TickInterval)
		c.tick(ticked)
	}
	c.server.setTimer(tickTimer, c.server.now+ticked.TickInterval)
	c.tickTimers = append(c.tickTimers, tickTimer)
}

// tick calls a plug-in's tick hook, unless the chain does not allow a call now.
func (c *pluginConnection) tick(ticked *chain.Plugin) {
	evaluation := c.chain.BeginTick(ticked, c.server.now)
	if evaluation == nil {
		return
	}
	call := &chainEvaluation{
		connection: c,
		evaluation: evaluation,
		hook:       chain.HookTick,
		done:       func(*chain.Evaluation) {},
	}
	if !call.sendCall(ticked, min(ticked.CallTimeout, ticked.TickInterval)) {
		evaluation.RecordFault(chain.FaultUnavailable, 0, c.server.now)
	}
}

// closed is called when the process has ended or is no longer needed. Evaluations that wait for its verdict continue
// without it.
func (c *pluginConnection) closed() {
	if c.isClosed {
		return
	}
	c.isClosed = true
	c.conn = nil
	for _, tickTimer := range c.tickTimers {
		c.server.stopTimer(tickTimer)
	}
	go c.process.Stop() // Stop blocks until the process has ended
	for callID, call := range c.plugins.pendingCalls {
		if call.connection == c {
			delete(c.plugins.pendingCalls, callID)
			c.pendingCalls--
			c.server.stopTimer(&call.timer)
			call.recordFault(chain.FaultProcessDied, 0)
		}
	}
	if c.plugins.current == c || c.plugins.config == c.config && !c.isRetired {
		c.scheduleReplacement()
	}
}

// scheduleReplacement schedules the start of a new process after this one has ended unexpectedly.
func (c *pluginConnection) scheduleReplacement() {
	if c.plugins.current == c {
		c.plugins.current = nil
	}
	if countAndSample(&c.plugins.unexpectedExits) {
		c.server.log.Event("plugin_process_exited").Int("count", c.plugins.unexpectedExits).Send()
	}
	c.plugins.scheduleRestart()
}

// closeIfUnused ends the process if it is retired and has no pending calls and no attached requests.
func (c *pluginConnection) closeIfUnused() {
	if c.isRetired && c.pendingCalls == 0 && c.requests == 0 {
		c.closeGracefully()
		c.closed()
	}
}

// receive handles the complete frames in data and keeps an incomplete frame for the next call.
func (c *pluginConnection) receive(data []byte) error {
	if len(c.partialFrame) > 0 {
		data = append(c.partialFrame, data...)
	}
	for {
		frame, rest, isComplete, err := plugin.ParseFrame(data)
		if err != nil {
			return err
		}
		if !isComplete {
			c.partialFrame = slices.Clone(data)
			return nil
		}
		data = rest
		if frame.PluginIndex >= len(c.chain.Plugins) {
			return errConnectionDone
		}
		c.handleFrame(frame)
	}
}

func (c *pluginConnection) handleFrame(frame plugin.Frame) {
	name := c.chain.Plugins[frame.PluginIndex].Name
	switch frame.Kind {
	case plugin.FrameVerdict:
		c.handleVerdict(frame)
	case plugin.FrameState:
		key, value, isEntry := frame.StateEntry()
		if isEntry && !c.isRetired {
			c.plugins.storeState(name, key, value)
		}
	case plugin.FrameLog:
		c.server.log.Event("plugin_log").Str("name", name).Str("text", string(frame.Payload)).Send()
	case plugin.FrameCounters:
		c.plugins.addCounters(name, frame.Payload)
	}
}

// callFaults maps the outcomes of failed calls to faults.
var callFaults = map[plugin.CallOutcome]chain.Fault{
	plugin.CallTimedOut:   chain.FaultTimeout,
	plugin.CallTrapped:    chain.FaultTrap,
	plugin.CallMalformed:  chain.FaultMalformed,
	plugin.CallNotStarted: chain.FaultUnavailable,
}

// handleVerdict handles the end of a call. A verdict that arrives after its call has timed out is only counted, because
// its request has continued without it.
func (c *pluginConnection) handleVerdict(frame plugin.Frame) {
	outcome, elapsed, encoded, isValid := frame.Verdict()
	call := c.plugins.pendingCalls[frame.CallID]
	if !isValid || call == nil || call.connection != c {
		c.plugins.lateVerdicts++
		return
	}
	call.removePending()
	took := timeunit.TicksOf(elapsed) + 1
	if outcome != plugin.CallSucceeded {
		call.recordFault(callFaults[outcome], took)
		return
	}
	parsed, err := abi.ParseVerdict(encoded)
	if err != nil {
		call.recordFault(chain.FaultMalformed, took)
		return
	}
	call.applyVerdict(&parsed, took)
}

// applyVerdict passes a verdict to the chain, which validates it, and continues the evaluation.
func (e *chainEvaluation) applyVerdict(parsed *abi.Verdict, took timeunit.Ticks) {
	plugins := e.connection.plugins
	verdict := chain.Verdict{
		Reject:   parsed.Actions&abi.ActionReject != 0,
		Status:   parsed.Status,
		Category: -1, // unchanged
		HasTag:   parsed.Actions&abi.ActionTag != 0,
		Tag:      parsed.Tag,
		Replace:  parsed.Actions&abi.ActionReplace != 0,
		Body:     append([]byte(nil), parsed.Body...),
	}
	if parsed.Actions&abi.ActionCategorize != 0 {
		verdict.Category = plugins.categoryIndex(parsed.Category)
	}
	fault, isFault, isQuarantined := e.evaluation.ApplyVerdict(verdict, took, plugins.server.now)
	if isFault && isQuarantined {
		e.logQuarantine(fault)
	}
	e.callNext()
}

// categoryIndex returns the index of a category. For an unknown name it returns an index past the last category, which
// the chain rejects.
func (p *pluginSubsystem) categoryIndex(name string) int {
	category, isKnown := p.server.config.Settings.CategoryIndex[name]
	if !isKnown {
		return len(p.categoryNames)
	}
	return category
}
