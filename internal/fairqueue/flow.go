package fairqueue

import "thistlequay/timeunit"

// flowKind says whose requests a flow accounts for.
type flowKind int

const (
	namedFlow       flowKind = iota // one tenant of the configuration
	heavyHitterFlow                 // one other tenant, among those that use most
	sharedFlow                      // all other tenants that hash into it
)

// neverSeen is the time of the last request of a flow that had none.
const neverSeen timeunit.Ticks = -1 << 60

// minRate is the lowest rate, in core time per tick, that a flow can expect; it only keeps divisions finite.
const minRate = 1e-9

// flow is the account of one tenant, or of all tenants that share it.
type flow struct {
	scheduler        *Scheduler
	kind             flowKind
	configuredWeight float64 // of a named flow
	tenantHash       uint64  // of a heavy hitter

	// finishTag is the virtual time after everything that was charged to the flow.
	finishTag float64

	openReservations int
	runningRequests  int     // that need a core
	startSum         float64 // sum of the running requests' starts on the core clock
	expectedCostSum  float64 // and of their expected costs

	costFactor float64 // running mean of a request's cost over the typical cost of its category

	localSinceMeasured  float64 // core time used here since the last measurement
	remoteSinceMeasured float64 // core time used at other servers since then; it counts towards the rate
	recentRate          float64 // core time per tick, of late
	recentUsage         float64 // core time used here, decaying
	localTotal          float64 // core time used here since the start of the process

	lastSeen   timeunit.Ticks
	active     bool
	lastReturn timeunit.Ticks // the latest time at which a rejected request was asked to come back
}

func (s *Scheduler) newFlow(kind flowKind) *flow {
	return &flow{
		scheduler:  s,
		kind:       kind,
		finishTag:  s.MinStartTag(s.virtualTime),
		costFactor: 1,
		lastSeen:   neverSeen,
	}
}

// weight is the flow's share of the server's work relative to the other weights. All tenants that are not named split
// one weight, and those without a history a bounded part of that: a fresh name gains nothing.
func (f *flow) weight() float64 {
	config := &f.scheduler.config
	switch f.kind {
	case namedFlow:
		return f.configuredWeight
	case heavyHitterFlow:
		return config.OthersWeight * (1 - config.NewcomerFraction) / float64(max(1, f.scheduler.activeHeavyHitters))
	default:
		return config.OthersWeight * config.NewcomerFraction / float64(max(1, f.scheduler.activeSharedFlows))
	}
}

// expectedRate is the core time per tick that the flow can count on: its part among the active flows, or the rate it
// was measured to get where other flows leave theirs unused.
func (f *flow) expectedRate(measured float64) float64 {
	s := f.scheduler
	weight := f.weight()
	return max(measured, s.serviceRate*weight/max(weight, s.activeWeight), minRate)
}

// longTermRate is the core time per tick that the flow got over some seconds. Retry-After times are computed from it,
// as they must not follow a rate that holds for a moment only.
func (f *flow) longTermRate() float64 { return f.recentUsage * (1 - usageDecay) / measureInterval }

// overrun is the core time by which the running requests together have exceeded their expected cost. It counts at once
// and not only when the requests end.
func (f *flow) overrun() float64 {
	return max(0, float64(f.runningRequests)*f.scheduler.coreClock-f.startSum-f.expectedCostSum)
}

// measure takes the usage of an interval of the given span into the flow's rate and usage.
func (f *flow) measure(span, rateLeft, usageLeft float64) {
	f.recentRate = f.recentRate*rateLeft + (f.localSinceMeasured+f.remoteSinceMeasured)/span*(1-rateLeft)
	f.recentUsage = (f.recentUsage + f.localSinceMeasured) * usageLeft
	f.localSinceMeasured = 0
	f.remoteSinceMeasured = 0
}
