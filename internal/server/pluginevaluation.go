package server

import (
	"thistlequay/admission"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/timeunit"
)

// verdictTransitTime is the time allowed for a verdict to get from the plug-in process to the event loop.
const verdictTransitTime timeunit.Ticks = 20

// chainEvaluation is an evaluation in progress: of a request, of a result, or of a tick, which belongs to no request.
type chainEvaluation struct {
	request    *request // nil for a tick
	connection *pluginConnection
	evaluation *chain.Evaluation
	hook       chain.Hook
	done       func(evaluation *chain.Evaluation)

	// The pending call.
	plugin    *chain.Plugin
	call      uint64
	timer     timer
	timeLimit timeunit.Ticks
}

// attach assigns a request that was read to the current plug-in process, which then evaluates the request and its
// result even if a new configuration takes effect in between.
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

// detach undoes attach. It is called when a request has ended or will never be admitted.
func (p *pluginPart) detach(detached *request) {
	connection := detached.pluginConnection
	if connection == nil {
		return
	}
	detached.pluginConnection = nil
	connection.requests--
	connection.closeIfUnused()
}

// describe returns the description of a request that the chain works with.
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

// appliesTo reports whether at least one plug-in evaluates a request that has been read.
func (p *pluginPart) appliesTo(read *request) bool {
	if p.chain == nil {
		return false
	}
	description := p.describe(read)
	return p.chain.Applies(chain.HookRead, &description)
}

// evaluateRequest starts the evaluation of a request by the plug-ins. It calls done when the evaluation ends, which may
// be before it returns.
func (p *pluginPart) evaluateRequest(read *request, done func(evaluation *chain.Evaluation)) {
	connection := read.pluginConnection
	if connection == nil { // no process is running: every call fails and the plug-ins' fallback policies apply
		connection = &pluginConnection{part: p, chain: p.chain, ended: true}
	}
	started := &chainEvaluation{request: read, connection: connection, hook: chain.HookRead, done: done}
	started.evaluation = connection.chain.Begin(chain.HookRead, p.describe(read), nil, p.server.now)
	started.step()
}

// evaluateResult starts the evaluation of a result and reports whether it did. It does not if no plug-in applies, or if
// the result is neither sent to a router nor stored in an idempotency entry. If it did, it calls done when the
// evaluation ends, which may be before it returns.
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

// step calls the next plug-in. If there is none, it ends the evaluation.
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

// send calls a plug-in and sets the timer for its verdict. It reports false if the call could not be made.
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

// question returns the request that is sent to the plug-in.
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

// unlink removes the call from the pending calls and stops its timer.
func (e *chainEvaluation) unlink() {
	part := e.connection.part
	delete(part.calls, e.call)
	e.connection.pendingCalls--
	part.server.stopTimer(&e.timer)
}

// onTimeout is called when no verdict has arrived in time.
func (e *chainEvaluation) onTimeout() {
	e.unlink()
	e.failed(chain.FaultTimeout, e.timeLimit)
}

// failed records that the call ended with a fault after the time took, and continues the evaluation.
func (e *chainEvaluation) failed(fault chain.Fault, took timeunit.Ticks) {
	if e.evaluation.RecordFault(fault, took, e.connection.part.server.now) {
		e.logQuarantine(fault)
	}
	e.step()
}

// logQuarantine logs that the plug-in is quarantined.
func (e *chainEvaluation) logQuarantine(fault chain.Fault) {
	server := e.connection.part.server
	server.log.Event("plugin_quarantined").Str("name", e.plugin.Name).Str("fault", fault.String()).
		Int64("wait_ms", (e.plugin.QuarantineEnd() - server.now).Milliseconds()).Send()
}
