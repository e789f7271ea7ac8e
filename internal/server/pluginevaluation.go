package server

import (
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
	calledPlugin *chain.Plugin
	callID       uint64
	timer        timer
	timeLimit    timeunit.Ticks
}

// attachRequest assigns a request that was read to the current plug-in process, which then evaluates the request and
// its result even if a new configuration takes effect in between.
func (p *pluginSubsystem) attachRequest(req *request) {
	if p.chain == nil {
		return
	}
	req.pluginTenant = string(req.tenant)
	req.pluginConnection = p.current
	if p.current != nil {
		p.current.requests++
	}
}

// detachRequest undoes attachRequest. It is called when a request has ended or will never be admitted.
func (p *pluginSubsystem) detachRequest(req *request) {
	connection := req.pluginConnection
	if connection == nil {
		return
	}
	req.pluginConnection = nil
	connection.requests--
	connection.closeIfUnused()
}

// chainRequest returns the description of a request that the chain works with.
func (p *pluginSubsystem) chainRequest(req *request) chain.Request {
	deadline := min(req.deadline, p.server.shutdownDeadline)
	return chain.Request{
		Category:      req.category,
		Tenant:        req.pluginTenant,
		TimeLeft:      max(0, deadline-p.server.now),
		CategoryFixed: !p.server.requests.isIdempotent(req),
	}
}

// appliesTo reports whether at least one plug-in evaluates a request that has been read.
func (p *pluginSubsystem) appliesTo(req *request) bool {
	if p.chain == nil {
		return false
	}
	description := p.chainRequest(req)
	return p.chain.Applies(chain.HookRead, &description)
}

// evaluateRequest starts the evaluation of a request by the plug-ins. It calls done when the evaluation ends, which may
// be before it returns.
func (p *pluginSubsystem) evaluateRequest(req *request, done func(evaluation *chain.Evaluation)) {
	connection := req.pluginConnection
	if connection == nil { // no process is running: every call fails and the plug-ins' fallback policies apply
		connection = &pluginConnection{plugins: p, chain: p.chain, isClosed: true}
	}
	running := &chainEvaluation{request: req, connection: connection, hook: chain.HookRead, done: done}
	running.evaluation = connection.chain.Begin(chain.HookRead, p.chainRequest(req), nil, p.server.now)
	running.callNext()
}

// evaluateResult starts the evaluation of a result and reports whether it did. It does not if no plug-in applies, or if
// the result is neither sent to a router nor stored in an idempotency entry. If it did, it calls done when the
// evaluation ends, which may be before it returns.
func (p *pluginSubsystem) evaluateResult(req *request, result []byte, done func(evaluation *chain.Evaluation)) bool {
	connection := req.pluginConnection
	isWanted := req.router != nil || req.entry != nil
	if connection == nil || !isWanted {
		return false
	}
	description := p.chainRequest(req)
	if !connection.chain.Applies(chain.HookResult, &description) {
		return false
	}
	running := &chainEvaluation{request: req, connection: connection, hook: chain.HookResult, done: done}
	running.evaluation = connection.chain.Begin(chain.HookResult, description, result, p.server.now)
	running.callNext()
	return true
}

// callNext calls the next plug-in. If there is none, it ends the evaluation.
func (e *chainEvaluation) callNext() {
	server := e.connection.plugins.server
	for {
		next, timeLimit := e.evaluation.Next(server.now)
		if next == nil {
			e.done(e.evaluation)
			e.connection.closeIfUnused()
			return
		}
		if e.sendCall(next, timeLimit) {
			return
		}
		e.evaluation.RecordFault(chain.FaultUnavailable, 0, server.now)
	}
}

// sendCall calls a plug-in and sets the timer for its verdict. It reports false if the call could not be made.
func (e *chainEvaluation) sendCall(called *chain.Plugin, timeLimit timeunit.Ticks) bool {
	connection := e.connection
	plugins := connection.plugins
	if connection.isClosed || connection.conn == nil || len(plugins.pendingCalls) >= maxPendingPluginCalls {
		return false
	}
	plugins.lastCallID++
	e.calledPlugin = called
	e.callID = plugins.lastCallID
	e.timeLimit = timeLimit
	plugins.pendingCalls[e.callID] = e
	connection.pendingCalls++
	e.timer.fire = e.onTimeout
	plugins.server.setTimer(&e.timer, plugins.server.now+timeLimit+verdictTransitTime)
	callRequest := e.callRequest()
	encoded := callRequest.Append(plugins.requestBuffer[:0])
	connection.output = plugin.AppendCall(
		connection.buffer(), called.Index, int(e.hook), e.callID, int64(timeLimit), encoded)
	return true
}

// callRequest returns the request that is sent to the plug-in.
func (e *chainEvaluation) callRequest() abi.Request {
	plugins := e.connection.plugins
	callRequest := abi.Request{Hook: int(e.hook), UnixMS: plugins.server.now.Milliseconds()}
	if e.request == nil {
		return callRequest
	}
	description := e.evaluation.Request()
	callRequest.TimeLeftMS = uint32(description.TimeLeft.Milliseconds())
	callRequest.Category = plugins.categoryNames[e.request.category]
	callRequest.Tenant = description.Tenant
	callRequest.Tag = e.request.tag
	if e.evaluation.Tag != "" {
		callRequest.Tag = e.evaluation.Tag
	}
	callRequest.Body = e.request.body
	if e.hook == chain.HookResult {
		callRequest.Body = e.evaluation.Body
	}
	return callRequest
}

// removePending removes the call from the pending calls and stops its timer.
func (e *chainEvaluation) removePending() {
	plugins := e.connection.plugins
	delete(plugins.pendingCalls, e.callID)
	e.connection.pendingCalls--
	plugins.server.stopTimer(&e.timer)
}

// onTimeout is called when no verdict has arrived in time.
func (e *chainEvaluation) onTimeout() {
	e.removePending()
	e.recordFault(chain.FaultTimeout, e.timeLimit)
}

// recordFault records a fault that ended the call after the time took, and continues the evaluation.
func (e *chainEvaluation) recordFault(fault chain.Fault, took timeunit.Ticks) {
	if e.evaluation.RecordFault(fault, took, e.connection.plugins.server.now) {
		e.logQuarantine(fault)
	}
	e.callNext()
}

// logQuarantine logs that the plug-in is quarantined.
func (e *chainEvaluation) logQuarantine(fault chain.Fault) {
	server := e.connection.plugins.server
	server.log.Event("plugin_quarantined").Str("name", e.calledPlugin.Name).Str("fault", fault.String()).
		Int64("wait_ms", (e.calledPlugin.QuarantineEnd() - server.now).Milliseconds()).Send()
}
