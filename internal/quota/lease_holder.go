package quota

import "thistlequay/timeunit"

// requestsPerLease is how often a lease is requested in its duration, so that some requests or responses may be lost.
const requestsPerLease = 4

// LeaseHolder is one server's side of one limit: what it may use at this moment, and what it asks for. Its methods
// take the time by the server's clock and allocate nothing.
//
// Whether a lease is in force is worked out anew at each use, so that a process that was stopped finds its lease
// expired before it uses it. The holder never uses more than its guaranteed minimum without a lease, nor says that it
// keeps to a lease while it has more in use.
type LeaseHolder struct {
	config     LimitConfig
	serverName string

	// hasSlot says that the server has a guaranteed minimum, usable from minimumFrom on.
	hasSlot     bool
	minimumFrom timeunit.Milliseconds

	// The lease. logID is the log that version belongs to.
	logID     uint64
	version   uint64
	amount    Amount
	expiresAt timeunit.Milliseconds

	demand        demandMeter
	bucket        tokenBucket // of a limit of units per second
	nextRequestAt timeunit.Milliseconds
}

// NewLeaseHolder returns a holder without a lease. Where it has a slot it may use its guaranteed minimum from the
// given time on: until then, work that an earlier incarnation of the server began may still go on.
func NewLeaseHolder(
	serverName string, config LimitConfig, hasSlot bool, minimumFrom timeunit.Milliseconds,
) *LeaseHolder {
	return &LeaseHolder{config: config, serverName: serverName, hasSlot: hasSlot, minimumFrom: minimumFrom}
}

// Usable returns what the server may have in use now, in all.
func (h *LeaseHolder) Usable(now timeunit.Milliseconds) Amount {
	usable := Amount(0)
	if now >= h.minimumFrom {
		usable = h.guaranteedMinimum()
	}
	if now < h.expiresAt {
		usable += h.amount
	}
	return usable
}

func (h *LeaseHolder) guaranteedMinimum() Amount {
	if !h.hasSlot {
		return 0
	}
	return h.config.GuaranteedMinimum
}

// LeaseDuration returns the duration of a lease.
func (h *LeaseHolder) LeaseDuration() timeunit.Milliseconds { return h.config.LeaseDuration }

// ExpiresAt returns when Usable falls back to the guaranteed minimum unless the lease is renewed. It lies in the past
// where there is no lease.
func (h *LeaseHolder) ExpiresAt() timeunit.Milliseconds { return h.expiresAt }

// TakeToken takes one unit of a limit of units per second, and reports whether there was one.
func (h *LeaseHolder) TakeToken(now timeunit.Milliseconds) bool {
	if !h.bucket.take(h.Usable(now), now) {
		h.demand.ranShort = true
		return false
	}
	return true
}

// ReportUsage tells what is in use and what waits to be, for callers that count it themselves.
func (h *LeaseHolder) ReportUsage(inUse, waiting Amount, now timeunit.Milliseconds) {
	h.demand.accumulate(now)
	h.demand.setInUse(inUse)
	h.demand.waiting = waiting
}

// TryAcquire takes an amount into use, and reports whether there was room. What is rejected is asked for.
func (h *LeaseHolder) TryAcquire(amount Amount, now timeunit.Milliseconds) bool {
	h.demand.accumulate(now)
	inUse := h.demand.inUse + amount
	if inUse > h.Usable(now) {
		h.demand.ranShort = true
		return false
	}
	h.demand.setInUse(inUse)
	return true
}

// Release gives an amount back.
func (h *LeaseHolder) Release(amount Amount) { h.demand.inUse = max(0, h.demand.inUse-amount) }

// NextRequest returns the request to be sent now, if one is due.
func (h *LeaseHolder) NextRequest(now timeunit.Milliseconds) (request LimitRequest, due bool) {
	if now < h.nextRequestAt {
		return request, false
	}
	interval := max(1, h.config.LeaseDuration/requestsPerLease)
	h.nextRequestAt = now + interval
	h.demand.accumulate(now)
	mean := h.demand.mean(now)
	if h.config.IsRate {
		mean = h.bucket.meanRate(interval)
	}
	required, desired := h.demand.estimate(mean)
	h.demand.startPeriod(now)
	minimum := h.guaranteedMinimum()
	request = LimitRequest{
		Server:      h.serverName,
		RequestedAt: now,
		Desired:     max(0, desired-minimum),
		Required:    max(0, required-minimum),
		LogID:       h.logID,
	}
	if h.demand.inUse <= minimum+h.amount {
		request.HeldVersion = h.version
	}
	return request, true
}

// HandleResponse takes up a lease. It holds from when it was requested, less what clocks may run apart. A response
// with a later version replaces the lease, a smaller amount at once; one with the same version renews it.
func (h *LeaseHolder) HandleResponse(response LimitResponse, now timeunit.Milliseconds) {
	// A later log leases nothing before all leases of the last log have expired.
	if response.LogID > h.logID && now >= h.expiresAt {
		h.logID = response.LogID
		h.version = 0
		h.amount = 0
	}
	if !h.accepts(response, now) {
		return
	}
	shortest := timeunit.Milliseconds(float64(h.config.LeaseDuration) * (1 - h.config.ClockDrift))
	expiresAt := response.RequestedAt + shortest
	if response.LeaseVersion > h.version {
		h.version = response.LeaseVersion
		h.amount = response.Amount
		h.expiresAt = expiresAt
	}
	h.expiresAt = max(h.expiresAt, expiresAt)
}

// accepts reports whether a response is of the present log, not out of date, and of the same configuration.
func (h *LeaseHolder) accepts(response LimitResponse, now timeunit.Milliseconds) bool {
	isCurrent := response.LogID == h.logID && response.LeaseVersion >= h.version
	isPossible := response.RequestedAt <= now && response.Amount >= 0
	return isCurrent && isPossible && response.LeaseDuration == h.config.LeaseDuration
}
