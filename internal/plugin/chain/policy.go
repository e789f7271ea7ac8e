package chain

import "thistlequay/timeunit"

// Hook is a point in the processing of requests at which plug-ins are called. Its values equal the hook numbers of the
// plug-in ABI.
type Hook int

// The hooks.
const (
	HookRead   Hook = iota // a request has been read but not yet passed to admission
	HookResult             // a request has succeeded but has not yet been answered
	HookTick               // at regular intervals, without a request
)

// hookCount is the number of hooks.
const hookCount = 3

// FallbackPolicy determines what happens to a request when a plug-in gives no accepted verdict.
type FallbackPolicy int

// The fallback policies.
const (
	FallbackPass   FallbackPolicy = iota // the request continues as if the plug-in had changed nothing
	FallbackReject                       // the request is rejected, unless it has already been started
)

// Policy configures one plug-in: when it is called, what its verdicts may do, which resources it may use, and when it
// is quarantined.
type Policy struct {
	Name string

	// Hooks holds, indexed by Hook, whether the plug-in is called there.
	Hooks [hookCount]bool

	// Categories holds, indexed by request category, whether the plug-in is called for such requests.
	Categories []bool

	// Tenants are the tenants for whose requests the plug-in is called. If empty, it is called for all tenants.
	Tenants map[string]bool

	MayReject  bool // may reject requests at HookRead
	MayTag     bool // may set the tag that later plug-ins and fair queueing use
	MayRewrite bool // may replace a result with a shorter one, at HookResult

	// TargetCategories holds, indexed by category, whether the plug-in may move requests there.
	TargetCategories []bool

	// CallTimeout is the longest time that one call may take.
	CallTimeout timeunit.Ticks

	// MaxTimeFraction bounds the duration of a call, as a fraction of the time until the request's deadline.
	MaxTimeFraction float64

	// CoreFraction is the fraction of one core that the plug-in may use, averaged over a second.
	CoreFraction float64

	// TickInterval is the time between two calls at HookTick.
	TickInterval timeunit.Ticks

	// Fallback applies to requests for which the plug-in gave no accepted verdict.
	Fallback FallbackPolicy

	// FaultsByTenant makes a fault count first against the tenant whose request caused it.
	FaultsByTenant bool

	// MaxConsecutiveFaults is the number of consecutive faults that lead to a quarantine.
	MaxConsecutiveFaults int

	// MaxFaultRate is the fraction of calls ending in a fault above which the plug-in is quarantined.
	MaxFaultRate float64

	// MinQuarantine is the length of the first quarantine. Each further one is twice as long as the last, up to
	// MaxQuarantine.
	MinQuarantine timeunit.Ticks
	MaxQuarantine timeunit.Ticks
}

// appliesTo reports whether the plug-in is to be called for a request at a hook.
func (p *Policy) appliesTo(hook Hook, request *Request) bool {
	return p.Hooks[hook] && request.Category < len(p.Categories) && p.Categories[request.Category] &&
		(len(p.Tenants) == 0 || p.Tenants[request.Tenant])
}
