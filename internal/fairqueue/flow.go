package fairqueue

import "thistlequay/timeunit"

// flowKind says which tenants a flow accounts for.
type flowKind int

const (
	namedFlow       flowKind = iota // one tenant named in the configuration
	heavyHitterFlow                 // one tenant that is not named and is among those that use the most
	sharedFlow                      // all other tenants whose hash selects the flow
)

// neverSeen is the lastSeen time of a flow without requests and the lastReport time of a server without reports. It is
// so far in the past that either counts as long inactive.
const neverSeen timeunit.Ticks = -1 << 60

// minRate is a lower bound on a flow's expected rate, in core time per tick. It only keeps divisions finite.
const minRate = 1e-9

// flow holds the scheduling state and the usage of one tenant, or of all tenants that share the flow. Core time is in
// ticks of one core.
type flow struct {
	scheduler        *Scheduler
	kind             flowKind
	configuredWeight float64 // set for a named flow only
	tenantHash       uint64  // set for a heavy hitter only

	// finishTag is the virtual time at which everything charged to the flow so far is served. It is the start tag of
	// the flow's next request, apart from the burst allowance and the overrun.
	finishTag float64

	// queuedCost is the expected cost of the open reservations that are not charged yet.
	queuedCost float64

	openReservations int
	runningRequests  int     // started requests that need a core, so not the suspended ones
	startTimeSum     float64 // sum of the running requests' start times on the core clock
	expectedCostSum  float64 // sum of the running requests' expected costs

	costFactor float64 // exponential moving average of request cost divided by the category's typical cost

	localUsageSinceMeasured  float64 // core time used on this server since the last measurement
	remoteUsageSinceMeasured float64 // core time used on other servers since the last measurement
	pendingRemoteUsage       float64 // core time used on other servers that is not charged yet
	recentLocalRate          float64 // core time per tick used here, as an exponential moving average
	recentRemoteRate         float64 // the same on other servers
	recentUsage              float64 // core time used on this server, decaying exponentially
	totalLocalUsage          float64 // core time used on this server since the process started

	lastSeen    timeunit.Ticks
	isActive    bool
	lastRetryAt timeunit.Ticks // latest time at which a rejected request was told to retry
}

// newFlow returns an idle flow whose finish tag allows it a full burst.
func (s *Scheduler) newFlow(kind flowKind) *flow {
	return &flow{
		scheduler:  s,
		kind:       kind,
		finishTag:  s.MinStartTag(s.virtualTime),
		costFactor: 1,
		lastSeen:   neverSeen,
	}
}

// weight returns the flow's share of the server's core time relative to the other weights. All tenants that are not
// named split OthersWeight. The shared flows, which hold the tenants without a history, get only NewcomerFraction of
// it, so that a client gains nothing by switching to a new tenant name.
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

// expectedRate returns the core time per tick that the flow can count on here: its share among the active flows less
// what it uses on other servers, or the measured rate if that is higher because other flows leave part of their share
// unused.
func (f *flow) expectedRate(measuredRate float64) float64 {
	s := f.scheduler
	weight := f.weight()
	return max(measuredRate, s.serviceRate*weight/max(weight, s.activeWeight)-f.recentRemoteRate, minRate)
}

// servedRate returns the core time per tick at which the flow's queue on this server is served. While other servers
// report their usage, that rate changes with each report and is averaged over several of them.
func (f *flow) servedRate() float64 {
	if len(f.scheduler.remoteServers) > 0 {
		return f.longTermRate()
	}
	return f.recentLocalRate
}

// subtractQueuedCost removes the expected cost of a reservation that is charged or released. Rounding must not leave a
// negative sum.
func (f *flow) subtractQueuedCost(cost float64) { f.queuedCost = max(0, f.queuedCost-cost) }

// startTag returns the virtual time at which the next request of the flow becomes eligible.
func (f *flow) startTag() float64 {
	s := f.scheduler
	return max(f.finishTag, s.MinStartTag(s.virtualTime)) + f.overrun()/f.weight()
}

// longTermRate returns the core time per tick that the flow got on this server, averaged over several seconds.
// Retry-After times are computed from it because they must not follow short-lived changes of the rate.
func (f *flow) longTermRate() float64 { return f.recentUsage * (1 - usageDecay) / measureInterval }

// overrun returns the core time by which the flow's running requests, taken together, have exceeded their expected
// cost. It delays the flow's next start tag immediately rather than only once those requests have ended.
func (f *flow) overrun() float64 {
	return max(0, float64(f.runningRequests)*f.scheduler.coreClock-f.startTimeSum-f.expectedCostSum)
}

// updateUsage adds the core time used since the last measurement, elapsedTicks ago, to the flow's recent rate and
// usage. rateRetained and usageRetained are the fractions of the previous values that are retained.
func (f *flow) updateUsage(elapsedTicks, rateRetained, usageRetained float64) {
	f.recentLocalRate = f.recentLocalRate*rateRetained + f.localUsageSinceMeasured/elapsedTicks*(1-rateRetained)
	f.recentRemoteRate = f.recentRemoteRate*rateRetained + f.remoteUsageSinceMeasured/elapsedTicks*(1-rateRetained)
	f.recentUsage = (f.recentUsage + f.localUsageSinceMeasured) * usageRetained
	f.localUsageSinceMeasured = 0
	f.remoteUsageSinceMeasured = 0
}
