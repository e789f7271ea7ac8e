package server

import (
	"thistlequay/admission"
	"thistlequay/internal/plugin"
	"thistlequay/internal/plugin/abi"
	"thistlequay/internal/plugin/chain"
	"thistlequay/timeunit"
)

const (
	verdictTransitTime = timeunit.Ticks(20) // that a verdict may take from the process to the loop
)

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
