package chain

import "thistlequay/timeunit"

// Hook is a point at which plug-ins are called. Its values are those of the plug-in ABI.
type Hook int

// The hooks.
const (
	HookRead   Hook = iota // a request has been read and not been handed to admission yet
	HookResult             // a request has succeeded and not been answered yet
	HookTick               // at intervals, about no request
)

// hookCount is the number of hooks.
const hookCount = 3

// FallbackPolicy says what happens to a request when a plug-in gives no verdict that counts.
type FallbackPolicy int

// The fallback policies.
const (
	FallbackPass   FallbackPolicy = iota // the request goes on as if the plug-in had said nothing
	FallbackReject                       // the request is rejected, if it was not started yet
)

// Policy says when one plug-in is called, what its verdicts may do, what resources it has, and when it is quarantined.
type Policy struct {
	Name string

	// Hooks are the hooks at which it is called, by Hook.
	Hooks [hookCount]bool

	// Categories are the categories of request that it sees, by category.
	Categories []bool

	// Tenants are the tenants whose requests it sees; all of them if empty.
	Tenants map[string]bool

	MayReject  bool // reject requests that have been read
	MayTag     bool // set the tag that later plug-ins and fair queueing see
	MayRewrite bool // replace a result by a shorter one

	// TargetCategories are the categories that it may move requests to, by category.
	TargetCategories []bool

	// CallTimeout is the longest that one call may take.
	CallTimeout timeunit.Ticks

	// MaxTimeFraction bounds a call by this part of the time that is left to the request.
	MaxTimeFraction float64

	// CoreFraction is the part of one core that it may use, averaged over a second.
	CoreFraction float64

	// TickInterval is the time between two calls of the hook tick.
	TickInterval timeunit.Ticks

	// Fallback applies to requests for which it gave no verdict.
	Fallback FallbackPolicy

	// FaultsByTenant makes faults count for the tenant whose request provoked them first.
	FaultsByTenant bool

	// MaxConsecutiveFaults is the number of faults in a row that lead to quarantine.
	MaxConsecutiveFaults int

	// MaxFaultRate is the fraction of calls that end in a fault above which it is quarantined.
	MaxFaultRate float64

	// MinQuarantine is the length of the first quarantine. Each further one is twice as long, up to MaxQuarantine.
	MinQuarantine timeunit.Ticks
	MaxQuarantine timeunit.Ticks
}

// appliesTo reports whether the plug-in is to be called about a request at a hook.
func (p *Policy) appliesTo(hook Hook, request *Request) bool {
	return p.Hooks[hook] && request.Category < len(p.Categories) && p.Categories[request.Category] &&
		(len(p.Tenants) == 0 || p.Tenants[request.Tenant])
}
