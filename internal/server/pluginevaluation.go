package server

import (
	"thistlequay/admission"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/timeunit"
)

// verdictTransitTime is what a verdict may take from the process to the loop.
const verdictTransitTime timeunit.Ticks = 20

// chainEvaluation is the evaluation of a chain under way: for a request, for a result, or at an interval for none.
type chainEvaluation struct {
	request    *request // nil for none
	connection *pluginConnection
	evaluation *chain.Evaluation
	hook       chain.Hook
	done       func(evaluation *chain.Evaluation)

	// The call that is out.
	plugin    *chain.Plugin
	call      uint64
	timer     timer
	timeLimit timeunit.Ticks
}

// attach has a request that was read end with the plug-ins that it began with.
func (p *pluginPart) attach(attached *request) {
	if p.chain == nil {
		return
	}
	attached.pluginTenant = string(attached.tenant)
	attached.pluginConnection = p.live
	if p.live != nil {
		p.live.requests++
	}
}

// detach is called when a request is over, or will never be admitted.
func (p *pluginPart) detach(detached *request) {
	connection := detached.pluginConnection
	if connection == nil {
		return
	}
	detached.pluginConnection = nil
	connection.requests--
	connection.closeIfUnused()
}

// describe makes what the chain needs to know of a request.
func (p *pluginPart) describe(described *request) chain.Request {
	settings := p.server.config.Settings
	deadline := min(described.deadline, p.server.shutdownDeadline)
	return chain.Request{
		Category:      described.category,
		Tenant:        described.pluginTenant,
		TimeLeft:      max(0, deadline-p.server.now),
		CategoryFixed: settings.Categories[described.category].Idempotency != admission.Idempotent,
	}
}

// appliesTo reports whether a plug-in is to see a request that has been read.
func (p *pluginPart) appliesTo(read *request) bool {
	if p.chain == nil {
		return false
	}
	description := p.describe(read)
	return p.chain.Applies(chain.HookRead, &description)
}

// evaluateRequest shows a request to the plug-ins; done is called when they are through, at once or later.
func (p *pluginPart) evaluateRequest(read *request, done func(evaluation *chain.Evaluation)) {
	connection := read.pluginConnection
	if connection == nil { // no process is there: the chain passes over all plug-ins as their policies say
		connection = &pluginConnection{part: p, chain: p.chain, ended: true}
	}
	started := &chainEvaluation{request: read, connection: connection, hook: chain.HookRead, done: done}
	started.evaluation = connection.chain.Begin(chain.HookRead, p.describe(read), nil, p.server.now)
	started.step()
}

// evaluateResult shows a result that is to be answered to the plug-ins, and reports whether one is to see it.
func (p *pluginPart) evaluateResult(ran *request, result []byte, done func(evaluation *chain.Evaluation)) bool {
	connection := ran.pluginConnection
	isWanted := ran.router != nil || ran.entry != nil
	if connection == nil || !isWanted {
		return false
	}
	description := p.describe(ran)
	if !connection.chain.Applies(chain.HookResult, &description) {
		return false
	}
	started := &chainEvaluation{request: ran, connection: connection, hook: chain.HookResult, done: done}
	started.evaluation = connection.chain.Begin(chain.HookResult, description, result, p.server.now)
	started.step()
	return true
}

// step calls the next plug-in, or ends the evaluation.
func (e *chainEvaluation) step() {
	server := e.connection.part.server
	for {
		next, timeLimit := e.evaluation.Next(server.now)
		if next == nil {
			e.done(e.evaluation)
			e.connection.closeIfUnused()
			return
		}
		if e.send(next, timeLimit) {
			return
		}
		e.evaluation.RecordFault(chain.FaultUnavailable, 0, server.now)
	}
}

// send calls a plug-in and reports whether that could be done.
func (e *chainEvaluation) send(called *chain.Plugin, timeLimit timeunit.Ticks) bool {
	connection := e.connection
	part := connection.part
	if connection.ended || connection.conn == nil || len(part.calls) >= maxPluginCalls {
		return false
	}
	part.lastCall++
	e.plugin = called
	e.call = part.lastCall
	e.timeLimit = timeLimit
	part.calls[e.call] = e
	connection.pendingCalls++
	e.timer.fire = e.onTimeout
	part.server.setTimer(&e.timer, part.server.now+timeLimit+verdictTransitTime)
	question := e.question()
	encoded := question.Append(part.frameBuffer[:0])
	connection.output = plugin.AppendCall(
		connection.buffer(), called.Index, int(e.hook), e.call, int64(timeLimit), encoded)
	return true
}

// question returns what the plug-in is asked.
func (e *chainEvaluation) question() abi.Request {
	part := e.connection.part
	question := abi.Request{Hook: int(e.hook), UnixMS: part.server.now.Milliseconds()}
	if e.request == nil {
		return question
	}
	description := e.evaluation.Request()
	question.TimeLeftMS = uint32(description.TimeLeft.Milliseconds())
	question.Category = part.categoryNames[e.request.category]
	question.Tenant = description.Tenant
	question.Tag = e.request.tag
	if e.evaluation.Tag != "" {
		question.Tag = e.evaluation.Tag
	}
	question.Body = e.request.body
	if e.hook == chain.HookResult {
		question.Body = e.evaluation.Body
	}
	return question
}

// unlink: the call is out no more.
func (e *chainEvaluation) unlink() {
	part := e.connection.part
	delete(part.calls, e.call)
	e.connection.pendingCalls--
	part.server.stopTimer(&e.timer)
}

func (e *chainEvaluation) onTimeout() {
	e.unlink()
	e.failed(chain.FaultTimeout, e.timeLimit)
}

// failed records that the call came to nothing after so long, and goes on.
func (e *chainEvaluation) failed(fault chain.Fault, took timeunit.Ticks) {
	if e.evaluation.RecordFault(fault, took, e.connection.part.server.now) {
		e.logQuarantine(fault)
	}
	e.step()
}

// logQuarantine logs that the plug-in is not called for a while.
func (e *chainEvaluation) logQuarantine(fault chain.Fault) {
	server := e.connection.part.server
	server.log.Event("plugin_quarantined").Str("name", e.plugin.Name).Str("fault", fault.String()).
		Int64("wait_ms", (e.plugin.QuarantineEnd() - server.now).Milliseconds()).Send()
}
