package chain

import "thistlequay/timeunit"

// maxEvaluationTime is the longest total time of all calls for one request at one hook: 250 ms in ticks of 100 us.
const maxEvaluationTime = 2_500

// Request holds the properties of a request that an evaluation needs.
type Request struct {
	Category int
	Tenant   string

	// TimeLeft is the time until the request's deadline.
	TimeLeft timeunit.Ticks

	// CategoryFixed forbids plug-ins to change the category. It is set if the request carries an idempotency key or is
	// not idempotent, because its category is then part of its identity.
	CategoryFixed bool
}

// Evaluation passes one request through a chain at one hook. The caller calls Next to learn which plug-in to call, and
// then reports the outcome of that call with ApplyVerdict or RecordFault. It repeats this until Next returns nil; the
// exported fields then hold the result.
type Evaluation struct {
	Rejected  bool
	Status    int    // status of the response, if Rejected
	Category  int    // category that the request is to be treated as
	Tag       string // empty if no plug-in set one
	Body      []byte // the current result, at HookResult
	Rewritten bool   // whether a plug-in replaced Body

	chain         *Chain // nil once the evaluation has ended
	hook          Hook
	request       Request
	nextIndex     int
	deadline      timeunit.Ticks
	currentPlugin *Plugin // plug-in whose call is in progress, or nil
}

// Begin begins an evaluation of a request. The body is the result at HookResult, and nil at other hooks. All calls
// together may take half of the request's remaining time, and maxEvaluationTime at most.
func (c *Chain) Begin(hook Hook, request Request, body []byte, now timeunit.Ticks) *Evaluation {
	c.OpenEvaluations++
	return &Evaluation{
		Category: request.Category,
		Body:     body,
		chain:    c,
		hook:     hook,
		request:  request,
		deadline: now + min(maxEvaluationTime, request.TimeLeft/2),
	}
}

// BeginTick begins an evaluation at HookTick, for which there is no request. The call of the given plug-in counts as
// already in progress. BeginTick returns nil if the plug-in may not be called now.
func (c *Chain) BeginTick(plugin *Plugin, now timeunit.Ticks) *Evaluation {
	if !plugin.allow("", now, &plugin.Policy) {
		return nil
	}
	c.OpenEvaluations++
	return &Evaluation{Category: NoCategory, chain: c, hook: HookTick, nextIndex: len(c.Plugins), currentPlugin: plugin}
}

// Request returns the request that is evaluated.
func (e *Evaluation) Request() Request { return e.request }

// Next returns the plug-in to call now and the timeout of the call, or nil if the evaluation has ended. For each
// plug-in that applies to the request but may not be called, Next applies the fallback policy instead.
func (e *Evaluation) Next(now timeunit.Ticks) (plugin *Plugin, timeout timeunit.Ticks) {
	if e.chain == nil {
		return nil, 0
	}
	for e.nextIndex < len(e.chain.Plugins) && !e.Rejected {
		plugin := e.chain.Plugins[e.nextIndex]
		e.nextIndex++
		if !plugin.appliesTo(e.hook, &e.request) {
			continue
		}
		fraction := timeunit.Ticks(float64(e.request.TimeLeft) * plugin.MaxTimeFraction)
		timeout = min(plugin.CallTimeout, fraction, e.deadline-now)
		if timeout <= 0 || !plugin.allow(e.request.Tenant, now, &plugin.Policy) {
			e.applyFallback(plugin)
			continue
		}
		e.currentPlugin = plugin
		return plugin, timeout
	}
	e.chain.OpenEvaluations--
	e.chain = nil
	return nil, 0
}

// applyFallback applies the fallback policy of a plug-in that gave no accepted verdict. Only a request that has not
// been started, at HookRead, can be rejected.
func (e *Evaluation) applyFallback(plugin *Plugin) {
	if plugin.Fallback == FallbackReject && e.hook == HookRead {
		e.Rejected = true
		e.Status = statusUnavailable
	}
}

// RecordFault records that the call in progress ended in a fault after the given time. It reports whether the plug-in
// is quarantined because of it. Without a call in progress, RecordFault does nothing.
func (e *Evaluation) RecordFault(fault Fault, elapsed, now timeunit.Ticks) (isQuarantined bool) {
	plugin := e.currentPlugin
	if plugin == nil {
		return false
	}
	e.currentPlugin = nil
	e.applyFallback(plugin)
	return plugin.recordFault(e.request.Tenant, fault, elapsed, now, &plugin.Policy)
}

// ApplyVerdict applies the verdict of the call in progress, which took the given time. A verdict that is invalid or not
// permitted has no effect, not even in part, and counts as a fault: isFault is then true, and isQuarantined reports
// whether the plug-in is quarantined because of it. Without a call in progress, ApplyVerdict does nothing.
func (e *Evaluation) ApplyVerdict(v Verdict, elapsed, now timeunit.Ticks) (fault Fault, isFault, isQuarantined bool) {
	plugin := e.currentPlugin
	if plugin == nil {
		return 0, false, false
	}
	fault, isFault = plugin.validate(e, &v)
	if isFault {
		return fault, true, e.RecordFault(fault, elapsed, now)
	}
	e.currentPlugin = nil
	if v.HasTag {
		e.Tag = v.Tag
	}
	if v.Category >= 0 {
		e.Category = v.Category
	}
	if v.Replace {
		e.Body = v.Body
		e.Rewritten = true
	}
	if v.Reject {
		e.Rejected = true
		e.Status = v.Status
	}
	plugin.recordSuccess(e.request.Tenant, elapsed, now, &plugin.Policy)
	return 0, false, false
}
