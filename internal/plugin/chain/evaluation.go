package chain

import "thistlequay/timeunit"

// maxEvaluationTime bounds all calls about one request at one hook, 250 ms in ticks.
const maxEvaluationTime = 2_500

// Request is what an evaluation needs to know of a request.
type Request struct {
	Category int
	Tenant   string

	// TimeLeft is the time until the request's deadline.
	TimeLeft timeunit.Ticks

	// CategoryFixed forbids plug-ins to change the category: the request carries an idempotency key or is not
	// idempotent, and its category is part of its identity.
	CategoryFixed bool
}

// Evaluation takes one request through a chain at one hook. The caller alternates Next, which tells which plug-in to
// call, with ApplyVerdict or RecordFault, which take what the call came to, until Next returns nil; then the exported
// fields are the result.
type Evaluation struct {
	Rejected  bool
	Status    int    // of the answer, if Rejected
	Category  int    // that the request is to be treated as
	Tag       string // empty for none
	Body      []byte // the result as it is now, at HookResult
	Rewritten bool   // whether a plug-in replaced Body

	chain     *Chain // nil once the evaluation has ended
	hook      Hook
	request   Request
	nextIndex int
	deadline  timeunit.Ticks
	current   *Plugin // that is being called
}

// Begin begins an evaluation of a request. The body is the result at HookResult and nil otherwise.
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

// BeginTick begins an evaluation in which one plug-in is being called about no request. It returns nil if the plug-in
// may not be called now.
func (c *Chain) BeginTick(plugin *Plugin, now timeunit.Ticks) *Evaluation {
	if !plugin.allow("", now, &plugin.Policy) {
		return nil
	}
	c.OpenEvaluations++
	return &Evaluation{Category: NoCategory, chain: c, hook: HookTick, nextIndex: len(c.Plugins), current: plugin}
}

// Request returns what the evaluation is about.
func (e *Evaluation) Request() Request { return e.request }

// Next returns the plug-in to call now and the longest that the call may take, or nil when the evaluation has ended.
// The fallback policy decides for each plug-in that would see the request but may not be called.
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
		e.current = plugin
		return plugin, timeout
	}
	e.chain.OpenEvaluations--
	e.chain = nil
	return nil, 0
}

func (e *Evaluation) applyFallback(plugin *Plugin) {
	if plugin.Fallback == FallbackReject && e.hook == HookRead {
		e.Rejected = true
		e.Status = statusUnavailable
	}
}

// RecordFault takes that the call which was under way ended without a verdict, after it took that long. It reports
// whether the plug-in is quarantined because of it.
func (e *Evaluation) RecordFault(fault Fault, took, now timeunit.Ticks) (quarantined bool) {
	plugin := e.current
	if plugin == nil {
		return false
	}
	e.current = nil
	e.applyFallback(plugin)
	return plugin.recordFault(e.request.Tenant, fault, took, now, &plugin.Policy)
}

// ApplyVerdict takes the verdict of the call which was under way, after it took that long. A verdict that is not
// plausible or not permitted is a fault and has no effect, not even in part; isFault reports that, and quarantined
// whether the plug-in is quarantined because of it.
func (e *Evaluation) ApplyVerdict(verdict Verdict, took, now timeunit.Ticks) (fault Fault, isFault, quarantined bool) {
	plugin := e.current
	if plugin == nil {
		return 0, false, false
	}
	fault, isFault = plugin.validate(e, &verdict)
	if isFault {
		return fault, true, e.RecordFault(fault, took, now)
	}
	e.current = nil
	if verdict.HasTag {
		e.Tag = verdict.Tag
	}
	if verdict.Category >= 0 {
		e.Category = verdict.Category
	}
	if verdict.Replace {
		e.Body = verdict.Body
		e.Rewritten = true
	}
	if verdict.Reject {
		e.Rejected = true
		e.Status = verdict.Status
	}
	plugin.recordSuccess(e.request.Tenant, took, now, &plugin.Policy)
	return 0, false, false
}
